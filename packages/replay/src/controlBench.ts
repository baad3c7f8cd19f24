import sade from 'sade';
import { createSystemClock, MS_PER_SECOND } from '@pomeloroad/core';
import type { Clock, Milliseconds } from '@pomeloroad/core';
import type { Deployment } from './deployments';
import { topUp } from './operatorActions';
import { pause } from './pause';
import { createLauncher } from './programs';
import type { Launcher } from './programs';
import { startTestbed } from './testbed';
import type { Testbed } from './testbed';

const SETTLE_DELAY_MS = 4000;
const MEASURE_MS = 8000;
const CONNECT_POLL_MS = 250;
const CONNECT_TIMEOUT_MS = 60_000;
const BUDGET_TOKENS = 1_000_000;
/** Number of instances and of data centres in each run. */
const FLEET_SIZES = [
  { instances: 4, sites: 1 },
  { instances: 8, sites: 2 },
  { instances: 16, sites: 4 },
  { instances: 32, sites: 4 },
];
/** Number of budgets in each run; the lines are fitted to the runs with the first number. */
const BUDGET_COUNTS = [10, 400];

/** Cost of control traffic per instance of an idle fleet; table operations are of the whole fleet. */
interface ControlCost {
  instances: number;
  sites: number;
  budgets: number;
  /** Bytes sent to peers; in a full mesh an instance receives as many. */
  bytesSentPerSecond: number;
  /** Processor time as a share of one core. */
  processorShare: number;
  memoryMegabytes: number;
  tableReadsPerSecond: number;
  tableWritesPerSecond: number;
}

/** A measured cost of a fleet. */
interface Point {
  instances: number;
  cost: number;
}

/** A line fitted to the measured points: cost = base + slope x instances. */
interface Fit {
  base: number;
  slope: number;
  /** Largest residual, as a share of the largest value. */
  error: number;
}

sade('bench:control', true)
  .describe('Measure what instances spend on control, and fit slopes over the size of the fleet.')
  .option('--json', 'print one JSON line')
  .action((flags: Record<string, boolean>) => run(Boolean(flags.json)))
  .parse(process.argv);

async function run(isJson: boolean): Promise<void> {
  const clock = createSystemClock();
  const launcher = createLauncher(() => undefined);
  const costs: ControlCost[] = [];
  try {
    for (const size of FLEET_SIZES) {
      for (const budgets of BUDGET_COUNTS) {
        costs.push(await measureSize(clock, launcher, size.instances, size.sites, budgets));
        launcher.stopAll();
      }
    }
  } finally {
    launcher.stopAll();
  }
  const fits = fitAll(costs.filter((cost) => cost.budgets === BUDGET_COUNTS[0]));
  const report = { costs, fits };
  // eslint-disable-next-line no-console -- the command's output
  if (!isJson) console.table(costs);
  process.stdout.write(`${JSON.stringify(report)}\n`);
  process.exit(0);
}

async function measureSize(
  clock: Clock,
  launcher: Launcher,
  instances: number,
  sites: number,
  budgets: number,
): Promise<ControlCost> {
  const deployment = createDeployment(instances, sites, budgets);
  const testbed = await startTestbed(launcher, deployment, {
    grants: 'adaptive',
    seed: 1,
    settings: ['--log-level', 'error'],
  });
  await waitForMesh(clock, testbed, instances);
  await applyUntilInForce(testbed);
  await topUp(testbed, 'bench/b0', BUDGET_TOKENS, 'first');
  await pause(SETTLE_DELAY_MS);
  const before = await readUsage(testbed);
  const startedAt = clock.elapsed();
  await pause(MEASURE_MS);
  const after = await readUsage(testbed);
  const seconds = (clock.elapsed() - startedAt) / MS_PER_SECOND;
  const rate = (key: keyof UsageReading) => (after[key] - before[key]) / seconds;
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

// An apply fails until the membership list, which lags, shows the first instances.
async function applyUntilInForce(testbed: Testbed): Promise<void> {
  const [first] = testbed.instances;
  let status: number | undefined;
  while (first && status !== 200) {
    const file = testbed.renderConfiguration(1);
    const answer = await testbed.callOperator(first, 'PUT', '/v1/configuration', file);
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

interface InstanceDump {
  memoryBytes: number;
  processorSeconds: number;
  peers: { state: string; bytesSent: number; bytesReceived: number }[];
}

interface UsageReading {
  sent: number;
  processor: number;
  memory: number;
  reads: number;
  writes: number;
}

async function readDumps(testbed: Testbed): Promise<InstanceDump[]> {
  const answers = await Promise.all(
    testbed.instances.map((instance) => testbed.callOperator(instance, 'GET', '/dump')),
  );
  return answers.map((answer) => answer?.body as InstanceDump);
}

async function waitForMesh(clock: Clock, testbed: Testbed, instances: number): Promise<void> {
  const deadline: Milliseconds = clock.elapsed() + CONNECT_TIMEOUT_MS;
  const isMeshed = (dump: InstanceDump) =>
    dump.peers.filter((peer) => peer.state === 'connected').length === instances - 1;
  while (clock.elapsed() < deadline && !(await readDumps(testbed)).every(isMeshed)) {
    await pause(CONNECT_POLL_MS);
  }
}

// Only the dialer counts the bytes of a connection, so sums over the fleet count each byte once.
async function readUsage(testbed: Testbed): Promise<UsageReading> {
  const dumps = await readDumps(testbed);
  const counts = await readTableCounts(testbed);
  const sum = (pick: (dump: InstanceDump) => number) =>
    dumps.reduce((all, dump) => all + pick(dump), 0);
  const peers = (key: 'bytesSent' | 'bytesReceived') =>
    sum((dump) => dump.peers.reduce((all, peer) => all + peer[key], 0));
  return {
    sent: peers('bytesSent') + peers('bytesReceived'),
    processor: sum((dump) => dump.processorSeconds),
    memory: sum((dump) => dump.memoryBytes),
    ...counts,
  };
}

async function readTableCounts(testbed: Testbed): Promise<{ reads: number; writes: number }> {
  const answer = await fetch(`${testbed.platform.table}/standin/counts`);
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
  const fits = keys.map((key) => [
    key,
    fitLine(costs.map((cost) => ({ instances: cost.instances, cost: cost[key] }))),
  ]);
  return Object.fromEntries(fits) as Record<string, Fit>;
}

// Fits a line by least squares.
function fitLine(points: Point[]): Fit {
  const mean = (values: number[]) => values.reduce((a, b) => a + b, 0) / values.length;
  const meanX = mean(points.map(({ instances }) => instances));
  const meanY = mean(points.map(({ cost }) => cost));
  const spread = points.reduce((sum, { instances: x }) => sum + (x - meanX) ** 2, 0);
  const products = points.map(({ instances, cost }) => (instances - meanX) * (cost - meanY));
  const slope = products.reduce((sum, product) => sum + product, 0) / spread;
  const base = meanY - slope * meanX;
  const largest = Math.max(...points.map(({ cost }) => Math.abs(cost)), Number.MIN_VALUE);
  const residuals = points.map(({ instances, cost }) => Math.abs(cost - base - slope * instances));
  const worst = Math.max(...residuals);
  return { base: round(base), slope: round(slope), error: round(worst / largest) };
}

function round(value: number): number {
  return Math.round(value * 10_000) / 10_000;
}
