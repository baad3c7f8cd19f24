import sade from 'sade';
import { createSystemClock } from '@pomeloroad/core';
import type { Clock, Milliseconds } from '@pomeloroad/core';
import type { Deployment } from './deployments';
import { topUp } from './operatorActions';
import { pause } from './pause';
import { createPrograms } from './programs';
import type { Programs } from './programs';
import { startStage } from './stage';
import type { Stage } from './stage';

const MS_PER_SECOND = 1000;
const SETTLE_MS = 4000;
const MEASURE_MS = 8000;
const CONNECT_POLL_MS = 250;
const CONNECT_TIMEOUT_MS = 60_000;
const BUDGET_TOKENS = 1_000_000;
/** Instances of each run, spread over the data centres of the same position. */
const SIZES = [
  { instances: 4, sites: 1 },
  { instances: 8, sites: 2 },
  { instances: 16, sites: 4 },
  { instances: 32, sites: 4 },
];
const BUDGETS = [10, 400];

/** What an idle instance spends on control. */
interface ControlCost {
  instances: number;
  sites: number;
  budgets: number;
  /** Sent; in a full mesh an instance receives as much. */
  bytesSentPerSecond: number;
  /** Share of one core. */
  processorShare: number;
  memoryMegabytes: number;
  tableReadsPerSecond: number;
  tableWritesPerSecond: number;
}

/** A line through measured points: cost = base + slope x size. */
interface Fit {
  base: number;
  slope: number;
  /** Largest distance of a point from the line, as a share of the largest value. */
  error: number;
}

sade('bench:control', true)
  .describe('Measure what instances spend on control, and fit slopes over the size of the fleet.')
  .option('--json', 'print one JSON line')
  .action((flags: Record<string, boolean>) => run(Boolean(flags.json)))
  .parse(process.argv);

async function run(isJson: boolean): Promise<void> {
  const clock = createSystemClock();
  const programs = createPrograms(() => undefined);
  const costs: ControlCost[] = [];
  try {
    for (const size of SIZES) {
      for (const budgets of BUDGETS) {
        costs.push(await measureSize(clock, programs, size.instances, size.sites, budgets));
        programs.stopAll();
      }
    }
  } finally {
    programs.stopAll();
  }
  const fits = fitAll(costs.filter((cost) => cost.budgets === BUDGETS[0]));
  const report = { costs, fits };
  // eslint-disable-next-line no-console -- a table for people
  if (!isJson) console.table(costs);
  process.stdout.write(`${JSON.stringify(report)}\n`);
  process.exit(0);
}

async function measureSize(
  clock: Clock,
  programs: Programs,
  instances: number,
  sites: number,
  budgets: number,
): Promise<ControlCost> {
  const deployment = createDeployment(instances, sites, budgets);
  const stage = await startStage(programs, deployment, {
    grants: 'adaptive',
    seed: 1,
    settings: ['--log-level', 'error'],
  });
  await waitForMesh(clock, stage, instances);
  await applyUntilInForce(stage);
  await topUp(stage, 'bench/b0', BUDGET_TOKENS, 'first');
  await pause(SETTLE_MS);
  const before = await read(stage);
  const startedAt = clock.elapsed();
  await pause(MEASURE_MS);
  const after = await read(stage);
  const seconds = (clock.elapsed() - startedAt) / MS_PER_SECOND;
  const rate = (key: keyof Reading) => (after[key] - before[key]) / seconds;
  return {
    instances,
    sites,
    budgets,
    bytesSentPerSecond: Math.round(rate('sent') / instances),
    processorShare: round(rate('processor') / instances),
    memoryMegabytes: Math.round(after.memory / instances / 1e6),
    tableReadsPerSecond: round(rate('reads')),
    tableWritesPerSecond: round(rate('writes')),
  };
}

// The membership list may still lag behind the first instances.
async function applyUntilInForce(stage: Stage): Promise<void> {
  const [first] = stage.instances;
  let status: number | undefined;
  while (first && status !== 200) {
    const file = stage.createFile(1);
    const answer = await stage.callOperator(first, 'PUT', '/v1/configuration', file);
    status = answer?.status;
    if (status !== 200) await pause(CONNECT_POLL_MS);
  }
}

function createDeployment(instances: number, sites: number, budgets: number): Deployment {
  const names = Array.from({ length: budgets }, (_, index) => `b${index}`);
  return {
    name: 'control',
    model: 'planner',
    service: 'boards',
    sites: Array.from({ length: sites }, (_, index) => ({
      name: `site-${index + 1}`,
      instances: instances / sites,
      engines: 1,
      services: 0,
    })),
    accounts: [
      { name: 'bench', share: 1, budgets: names.map((name) => ({ name, tokens: BUDGET_TOKENS })) },
    ],
    tasks: [],
    reads: [],
    orders: [],
  };
}

interface Dump {
  memoryBytes: number;
  processorSeconds: number;
  peers: { state: string; bytesSent: number; bytesReceived: number }[];
}

interface Reading {
  sent: number;
  processor: number;
  memory: number;
  reads: number;
  writes: number;
}

async function readDumps(stage: Stage): Promise<Dump[]> {
  const answers = await Promise.all(
    stage.instances.map((instance) => stage.callOperator(instance, 'GET', '/dump')),
  );
  return answers.map((answer) => answer?.body as Dump);
}

async function waitForMesh(clock: Clock, stage: Stage, instances: number): Promise<void> {
  const deadline: Milliseconds = clock.elapsed() + CONNECT_TIMEOUT_MS;
  const isMeshed = (dump: Dump) =>
    dump.peers.filter((peer) => peer.state === 'connected').length === instances - 1;
  while (clock.elapsed() < deadline && !(await readDumps(stage)).every(isMeshed)) {
    await pause(CONNECT_POLL_MS);
  }
}

// Each connection is counted by its dialer, so sums over the fleet count it once.
async function read(stage: Stage): Promise<Reading> {
  const dumps = await readDumps(stage);
  const counts = await readTableCounts(stage);
  const sum = (pick: (dump: Dump) => number) => dumps.reduce((all, dump) => all + pick(dump), 0);
  const peers = (key: 'bytesSent' | 'bytesReceived') =>
    sum((dump) => dump.peers.reduce((all, peer) => all + peer[key], 0));
  return {
    sent: peers('bytesSent') + peers('bytesReceived'),
    processor: sum((dump) => dump.processorSeconds),
    memory: sum((dump) => dump.memoryBytes),
    ...counts,
  };
}

async function readTableCounts(stage: Stage): Promise<{ reads: number; writes: number }> {
  const answer = await fetch(`${stage.platform.table}/standin/counts`);
  return (await answer.json()) as { reads: number; writes: number };
}

function fitAll(costs: ControlCost[]): Record<string, Fit> {
  const keys = [
    'bytesSentPerSecond',
    'processorShare',
    'memoryMegabytes',
    'tableReadsPerSecond',
    'tableWritesPerSecond',
  ] as const;
  const fits = keys.map((key) => [key, fitLine(costs.map((cost) => [cost.instances, cost[key]]))]);
  return Object.fromEntries(fits) as Record<string, Fit>;
}

// Least squares.
function fitLine(points: [number, number][]): Fit {
  const mean = (values: number[]) => values.reduce((a, b) => a + b, 0) / values.length;
  const meanX = mean(points.map(([x]) => x));
  const meanY = mean(points.map(([, y]) => y));
  const spread = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const slope = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0) / spread;
  const base = meanY - slope * meanX;
  const largest = Math.max(...points.map(([, y]) => Math.abs(y)), Number.MIN_VALUE);
  const worst = Math.max(...points.map(([x, y]) => Math.abs(y - base - slope * x)));
  return { base: round(base), slope: round(slope), error: round(worst / largest) };
}

function round(value: number): number {
  return Math.round(value * 10_000) / 10_000;
}
