import { Diagnostics, sleep } from '@pomeloroad/core';
import type { Clock, Log, Milliseconds } from '@pomeloroad/core';
import type { BudgetClient, Keepers } from '@pomeloroad/budgets';
import type { PeerNetwork } from '@pomeloroad/peers';
import type { AnswerStore, RequestRegistry } from '@pomeloroad/requests';
import { transferAnswers } from './answerSource';
import type { CallerServer } from './callerServer';
import type { Fleet } from './fleet';
import type { OperatorServer } from './operators';
import type { Runner } from './runner';
import type { Settings } from './settings';

/** Interval between checks for open requests and unclosed grants. */
const POLL_INTERVAL_MS = 100;
/** Interval between checks for grants of lost instances, each of which reads their rows. */
const ADOPTION_POLL_INTERVAL_MS = 500;
/** Longer than a successor takes to notice that a holder is lost and to take over its grants. */
const ADOPTION_TIMEOUT_MS = 30_000;

/** Parts and settings of an instance that a drain uses. */
export interface DrainHost {
  clock: Clock;
  log: Log;
  settings: Pick<Settings, 'instance' | 'drainTimeout' | 'drainNotice'>;
  fleet: Fleet;
  callers: CallerServer;
  operators: OperatorServer;
  runner: Runner;
  budgets: BudgetClient;
  keepers: Keepers;
  answers: AnswerStore;
  registry: RequestRegistry;
  network: PeerNetwork;
  /** Stops the instance's periodic tasks. */
  stopLoops(): void;
}

/**
 * Shuts the instance down: announces that it is leaving, finishes its open requests, waits until a successor
 * has read what it witnessed of lost instances, closes its grants, hands over its finished answers and stops
 * its servers. Resolves to `false` if requests or grants were still open when the drain timeout had passed.
 */
export async function drainInstance(host: DrainHost): Promise<boolean> {
  const { clock, log, settings, fleet, callers, operators, network } = host;
  log(Diagnostics.instanceDraining);
  const deadline = clock.elapsed() + settings.drainTimeout;
  await fleet.leave();
  // Readiness fails already, but connections are accepted until the notice has passed.
  await sleep(clock, settings.drainNotice);
  const callersClosed = callers.close();
  while (!isIdle(host) && clock.elapsed() < deadline) await sleep(clock, POLL_INTERVAL_MS);
  await waitForAdoption(host, deadline);
  const isClosed = await closeGrants(host, deadline);
  await handOverAnswers(host);
  const isClean = isClosed && isIdle(host);
  if (!isClean) {
    log(Diagnostics.drainTimedOut);
    callers.cut();
  }
  host.stopLoops();
  await fleet.withdraw();
  await Promise.all([callersClosed, operators.close(), network.close()]);
  log(Diagnostics.instanceStopped);
  return isClean;
}

function isIdle({ callers, runner, budgets }: DrainHost): boolean {
  return callers.open() === 0 && runner.running() === 0 && budgets.countPendingSettlements() === 0;
}

// What this instance witnessed of a lost holder is gone with it, so a successor must have read it.
async function waitForAdoption({ clock, keepers }: DrainHost, deadline: Milliseconds) {
  const until = Math.min(deadline, clock.elapsed() + ADOPTION_TIMEOUT_MS);
  while ((await keepers.countOrphanedLogs()) > 0 && clock.elapsed() < until) {
    await sleep(clock, ADOPTION_POLL_INTERVAL_MS);
  }
}

// Tries at least once, even after the deadline. Settles first, because only settled grants close.
async function closeGrants(
  { clock, keepers }: DrainHost,
  deadline: Milliseconds,
): Promise<boolean> {
  for (;;) {
    await keepers.settle();
    if (await keepers.close()) return true;
    if (clock.elapsed() >= deadline) return false;
    await sleep(clock, POLL_INTERVAL_MS);
  }
}

// Transfers finished answers to another instance of this data centre, if there is one, so that a
// retried request still finds its answer.
async function handOverAnswers(host: DrainHost): Promise<void> {
  const { fleet, network, answers, registry, settings } = host;
  const [successor] = fleet.getLocalInstances().filter((name) => name !== settings.instance);
  const identity = successor === undefined ? undefined : network.getIdentity(successor);
  if (!identity) return;
  const handedOver = await transferAnswers(network, answers, identity.instance);
  await registry.reassign(handedOver, identity);
}
