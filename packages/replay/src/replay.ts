import type { Clock, Milliseconds } from '@pomeloroad/core';
import { createCallers } from './callers';
import type { Attempt, Callers } from './callers';
import type { Deployment } from './deployments';
import type { Evidence, Notes } from './evidence';
import { createFaultPlan } from './faultPlan';
import type { Fault } from './faultPlan';
import { judge } from './judge';
import type { Judgement } from './judge';
import { createPrograms } from './programs';
import { readRecord } from './record';
import { startStage } from './stage';
import { applyWeight, drainEndpoint, topUp } from './operatorActions';
import { pause } from './pause';
import type { Stage } from './stage';
import type { TraceEvent } from './trace';
import { isRequest } from './trace';
import { startWatcher } from './watcher';

const READY_TIMEOUT_MS = 20_000;
const SETTLE_TIMEOUT_MS = 40_000;
const SETTLE_POLL_MS = 250;
/** How often in a row the ledger must be at rest before it is judged. */
const RESTING_POLLS = 16;

/** What to replay. */
export interface ReplayOptions {
  deployment: Deployment;
  events: TraceEvent[];
  seed: number;
  faults: Fault[];
  grants: string;
  partition: Milliseconds;
  /** Extra settings of every instance. */
  settings: string[];
  onLog(name: string, line: string): void;
}

/** What a replay needs from its surroundings. */
export interface ReplayHost {
  clock: Clock;
}

/** The judgement of a replay with what it was drawn from. */
export interface ReplayResult {
  judgement: Judgement;
  evidence: Evidence;
}

/** Replays a trace against real processes. */
export async function runReplay(host: ReplayHost, options: ReplayOptions): Promise<ReplayResult> {
  const programs = createPrograms(options.onLog);
  try {
    const { deployment, grants, seed, settings } = options;
    const stage = await startStage(programs, deployment, { grants, seed, settings });
    const evidence = await play(host, options, stage);
    return { judgement: judge(evidence), evidence };
  } finally {
    programs.stopAll();
  }
}

async function play(host: ReplayHost, options: ReplayOptions, stage: Stage): Promise<Evidence> {
  const { clock } = host;
  const { deployment, events } = options;
  const notes = createNotes();
  await prepare(clock, stage, notes);
  const watcher = startWatcher(stage);
  const callers = createCallers(stage);
  const plan = createFaultPlan(stage, notes, options);
  const work = events.map((event) => playEvent(stage, callers, notes, event));
  await Promise.all([...work, plan.run()]);
  await waitForRest(clock, stage);
  watcher.stop();
  const record = await readRecord(stage, events);
  return { deployment, events, record, observations: watcher.observations, ...notes };
}

function createNotes(): Notes {
  return { attempts: [], leaving: [], shutdowns: [], applied: [], partitions: [] };
}

async function prepare(clock: Clock, stage: Stage, notes: Notes): Promise<void> {
  await waitUntil(clock, READY_TIMEOUT_MS, async () => isConnected(stage));
  const isApplied = async () => {
    await applyWeight(stage, notes, 1);
    return notes.applied.length > 0;
  };
  // The membership list may still lag behind the first instances.
  await waitUntil(clock, READY_TIMEOUT_MS, isApplied);
  const budgets = stage.deployment.accounts.flatMap((client) =>
    client.budgets.map((budget) => ({ budget: `${client.name}/${budget.name}`, ...budget })),
  );
  for (const { budget, tokens } of budgets) await topUp(stage, budget, tokens, 'first');
  const isReady = await waitUntil(clock, READY_TIMEOUT_MS, async () => isServing(stage));
  if (!isReady) throw new Error('the fleet does not serve: nothing to judge');
}

async function isConnected(stage: Stage): Promise<boolean> {
  const dumps = await readDumps(stage);
  const count = stage.instances.length;
  return dumps.every(
    (dump) => dump.peers.filter((peer) => peer.state === 'connected').length === count - 1,
  );
}

async function isServing(stage: Stage): Promise<boolean> {
  const dumps = await readDumps(stage);
  return dumps.every((dump) => dump.configuration.version > 0);
}

interface Dump {
  peers: { state: string }[];
  configuration: { version: number };
  requests: { open: number; running: number };
  pendingSettlements: number;
  provisionalRuns: number;
  isFleetComplete: boolean;
  budgets: { reservations: number; unsettled: number; waiting: number }[];
}

async function readDumps(stage: Stage): Promise<Dump[]> {
  const running = stage.instances.filter((instance) => instance.program.isRunning());
  const answers = await Promise.all(
    running.map((instance) => stage.callOperator(instance, 'GET', '/dump')),
  );
  return answers.map((answer) => answer?.body as Dump);
}

async function playEvent(
  stage: Stage,
  callers: Callers,
  notes: Notes,
  event: TraceEvent,
): Promise<void> {
  await pause(event.at);
  if (isRequest(event)) {
    const sends = [callers.send(event, event.site)];
    event.repeats.forEach((repeat) => {
      sends.push(pause(repeat.after).then(() => callers.send(event, repeat.site)));
    });
    const attempts: Attempt[][] = await Promise.all(sends);
    notes.attempts.push(...attempts.flat());
    return;
  }
  if (event.kind === 'apply') await applyWeight(stage, notes, event.weight);
  if (event.kind === 'topup') await topUp(stage, event.budget, event.tokens, event.id);
  if (event.kind === 'drain') await drainEndpoint(stage, notes, event.endpoint);
}

async function waitForRest(clock: Clock, stage: Stage): Promise<void> {
  let resting = 0;
  await waitUntil(clock, SETTLE_TIMEOUT_MS, async () => {
    const dumps = await readDumps(stage);
    resting = dumps.every(isResting) ? resting + 1 : 0;
    return resting >= RESTING_POLLS;
  });
}

function isResting(dump: Dump | undefined): boolean {
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
  test: () => Promise<boolean>,
): Promise<boolean> {
  const deadline = clock.elapsed() + timeout;
  while (clock.elapsed() < deadline) {
    if (await test()) return true;
    await pause(SETTLE_POLL_MS);
  }
  return false;
}
