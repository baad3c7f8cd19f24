import type { Clock, Milliseconds } from '@pomeloroad/core';
import { createCallers } from './callers';
import type { Attempt, Callers } from './callers';
import type { Deployment } from './deployments';
import type { Evidence, ActionLog } from './evidence';
import { createFaultPlan } from './faultPlan';
import type { Fault } from './faultNames';
import { judgeReplay } from './judge';
import type { Judgement } from './judge';
import { createLauncher } from './programs';
import { readRecord } from './record';
import { startTestbed } from './testbed';
import { applyWeight, drainEndpoint, topUp } from './operatorActions';
import { pause } from './pause';
import type { Testbed } from './testbed';
import type { TraceEvent } from './trace';
import { isRequest } from './trace';
import { startWatcher } from './watcher';

const READY_TIMEOUT_MS = 20_000;
const IDLE_TIMEOUT_MS = 40_000;
const POLL_INTERVAL_MS = 250;
/** Consecutive polls that must find the fleet idle before the ledger is read. */
const IDLE_POLLS_REQUIRED = 16;

/** The trace, the faults and the settings of a replay. */
export interface ReplayOptions {
  deployment: Deployment;
  events: TraceEvent[];
  seed: number;
  faults: Fault[];
  /** How grants are sized: `adaptive`, `even` or `central`. */
  grants: string;
  /** Length of a partition or outage. */
  partition: Milliseconds;
  /** Extra settings of every instance. */
  settings: string[];
  onLog(name: string, line: string): void;
}

/** Dependencies of a replay. */
export interface ReplayHost {
  clock: Clock;
}

/** The judgement of a replay and the evidence that it is based on. */
export interface ReplayResult {
  judgement: Judgement;
  evidence: Evidence;
}

/**
 * Starts a deployment, replays a trace with faults against it and judges the outcome. Throws if the
 * fleet does not become ready. Kills all processes before it returns.
 */
export async function runReplay(host: ReplayHost, options: ReplayOptions): Promise<ReplayResult> {
  const launcher = createLauncher(options.onLog);
  try {
    const { deployment, grants, seed, settings } = options;
    const testbed = await startTestbed(launcher, deployment, { grants, seed, settings });
    const evidence = await playTrace(host, options, testbed);
    return { judgement: judgeReplay(evidence), evidence };
  } finally {
    launcher.stopAll();
  }
}

async function playTrace(
  host: ReplayHost,
  options: ReplayOptions,
  testbed: Testbed,
): Promise<Evidence> {
  const { clock } = host;
  const { deployment, events } = options;
  const actionLog = createActionLog();
  await prepareFleet(clock, testbed, actionLog);
  const watcher = startWatcher(testbed);
  const callers = createCallers(testbed);
  const plan = createFaultPlan(testbed, actionLog, options);
  const eventRuns = events.map((event) => playEvent(testbed, callers, actionLog, event));
  await Promise.all([...eventRuns, plan.run()]);
  await waitUntilIdle(clock, testbed);
  watcher.stop();
  const record = await readRecord(testbed, events);
  return { deployment, events, record, observations: watcher.observations, ...actionLog };
}

function createActionLog(): ActionLog {
  return { attempts: [], leaving: [], shutdowns: [], applied: [], partitions: [] };
}

async function prepareFleet(clock: Clock, testbed: Testbed, actionLog: ActionLog): Promise<void> {
  await waitUntil(clock, READY_TIMEOUT_MS, async () => isFullyConnected(testbed));
  const isApplied = async () => {
    await applyWeight(testbed, actionLog, 1);
    return actionLog.applied.length > 0;
  };
  // An apply fails until the membership list, which lags, shows the first instances.
  await waitUntil(clock, READY_TIMEOUT_MS, isApplied);
  const budgets = testbed.deployment.accounts.flatMap((client) =>
    client.budgets.map((budget) => ({ budget: `${client.name}/${budget.name}`, ...budget })),
  );
  for (const { budget, tokens } of budgets) await topUp(testbed, budget, tokens, 'first');
  const isReady = await waitUntil(clock, READY_TIMEOUT_MS, async () => hasConfiguration(testbed));
  if (!isReady) throw new Error('some instances have no configuration in force; replay aborted');
}

async function isFullyConnected(testbed: Testbed): Promise<boolean> {
  const dumps = await readDumps(testbed);
  const count = testbed.instances.length;
  return dumps.every(
    (dump) => dump.peers.filter((peer) => peer.state === 'connected').length === count - 1,
  );
}

async function hasConfiguration(testbed: Testbed): Promise<boolean> {
  const dumps = await readDumps(testbed);
  return dumps.every((dump) => dump.configuration.version > 0);
}

interface InstanceDump {
  peers: { state: string }[];
  configuration: { version: number };
  requests: { open: number; running: number };
  pendingSettlements: number;
  provisionalRuns: number;
  isFleetComplete: boolean;
  budgets: { reservations: number; unsettled: number; waiting: number }[];
}

async function readDumps(testbed: Testbed): Promise<InstanceDump[]> {
  const running = testbed.instances.filter((instance) => instance.program.isRunning());
  const answers = await Promise.all(
    running.map((instance) => testbed.callOperator(instance, 'GET', '/dump')),
  );
  return answers.map((answer) => answer?.body as InstanceDump);
}

async function playEvent(
  testbed: Testbed,
  callers: Callers,
  actionLog: ActionLog,
  event: TraceEvent,
): Promise<void> {
  await pause(event.at);
  if (isRequest(event)) {
    const sends = [callers.send(event, event.site)];
    event.repeats.forEach((repeat) => {
      sends.push(pause(repeat.after).then(() => callers.send(event, repeat.site)));
    });
    const attempts: Attempt[][] = await Promise.all(sends);
    actionLog.attempts.push(...attempts.flat());
    return;
  }
  if (event.kind === 'apply') await applyWeight(testbed, actionLog, event.weight);
  if (event.kind === 'topup') await topUp(testbed, event.budget, event.tokens, event.id);
  if (event.kind === 'drain') await drainEndpoint(testbed, actionLog, event.endpoint);
}

async function waitUntilIdle(clock: Clock, testbed: Testbed): Promise<void> {
  let idlePolls = 0;
  await waitUntil(clock, IDLE_TIMEOUT_MS, async () => {
    const dumps = await readDumps(testbed);
    idlePolls = dumps.every(isIdle) ? idlePolls + 1 : 0;
    return idlePolls >= IDLE_POLLS_REQUIRED;
  });
}

function isIdle(dump: InstanceDump | undefined): boolean {
  if (!dump) return false;
  const isSettled = dump.budgets.every(
    (budget) => budget.reservations === 0 && budget.unsettled === 0 && budget.waiting === 0,
  );
  const pending = dump.pendingSettlements + dump.provisionalRuns;
  return isSettled && dump.isFleetComplete && dump.requests.running === 0 && pending === 0;
}

async function waitUntil(
  clock: Clock,
  timeout: Milliseconds,
  condition: () => Promise<boolean>,
): Promise<boolean> {
  const deadline = clock.elapsed() + timeout;
  while (clock.elapsed() < deadline) {
    if (await condition()) return true;
    await pause(POLL_INTERVAL_MS);
  }
  return false;
}
