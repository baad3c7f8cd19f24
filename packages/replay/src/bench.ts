import sade from 'sade';
import { createSystemClock, MS_PER_SECOND } from '@pomeloroad/core';
import type { Clock, Milliseconds } from '@pomeloroad/core';
import { createMetrics } from '@pomeloroad/telemetry';
import type { Histogram } from '@pomeloroad/telemetry';
import { BENCH_ACCOUNT, BENCH_MODEL, runClosedLoop, runStream } from './benchStreams';
import type { Deployment } from './deployments';
import { topUp } from './operatorActions';
import { pause } from './pause';
import { createLauncher } from './programs';
import type { Launcher } from './programs';
import { startTestbed } from './testbed';
import type { Testbed, TestbedInstance } from './testbed';

const BUDGET_TOKENS = 1_000_000_000;
const WARM_UP_MS = 1500;
const WARM_UP_CONCURRENCY = 16;
const POLL_INTERVAL_MS = 100;
const MEASURE_MS = 6000;
const OPEN_STREAMS = 2000;
const OPEN_STREAM_TOKENS = 40;
const ANSWER_TOKENS = 24;
/** Concurrent streams while the peak rate is measured. */
const PEAK_RATE_CONCURRENCY = 400;
/** Time between the tokens of an engine's stream. */
const TOKEN_INTERVAL_MS = 20;
/** Time between tokens with many open streams, slow enough that the token rate is no bottleneck. */
const SLOW_TOKEN_INTERVAL_MS = 500;

/** Targets for the latency that an instance adds, printed beside the measured figures. */
const TARGET_FIRST_TOKEN_P99_MS = 5;
const TARGET_PER_TOKEN_P99_MS = 1;

/** One data centre with one instance and two engines. */
const benchDeployment: Deployment = {
  name: 'bench',
  model: BENCH_MODEL,
  service: 'boards',
  sites: [{ name: 'kent', instances: 1, engines: 2, services: 0 }],
  accounts: [{ name: BENCH_ACCOUNT, share: 1, budgets: [{ name: 'all', tokens: BUDGET_TOKENS }] }],
  tasks: [],
  reads: [],
  orders: [],
};

/** Latencies of the streams over one path: first token and average time between tokens. */
interface LatencySeries {
  first: Histogram;
  between: Histogram;
}

sade('bench', true)
  .describe('Measure what an instance adds to calling an engine directly, in one run.')
  .option('--json', 'print one JSON line')
  .action((flags: Record<string, boolean>) => runBench(Boolean(flags.json)))
  .parse(process.argv);

async function runBench(isJson: boolean): Promise<void> {
  const clock = createSystemClock();
  const launcher = createLauncher(() => undefined);
  try {
    const rates = await measureRates(clock, await startBenchTestbed(launcher, TOKEN_INTERVAL_MS));
    const streams = await measureStreams(
      clock,
      await startBenchTestbed(launcher, SLOW_TOKEN_INTERVAL_MS),
    );
    const figures = { ...rates, ...streams };
    if (isJson) process.stdout.write(`${JSON.stringify(figures)}\n`);
    else console.table(figures); // eslint-disable-line no-console -- the command's output
  } finally {
    launcher.stopAll();
  }
  process.exit(0);
}

/** The bench's testbed, its instance and the URLs of the two paths to an engine. */
interface BenchTestbed {
  testbed: Testbed;
  instance: TestbedInstance;
  /** URL of the instance. */
  routed: string;
  /** URL of an engine. */
  direct: string;
}

async function startBenchTestbed(
  launcher: Launcher,
  tokenInterval: Milliseconds,
): Promise<BenchTestbed> {
  const testbed = await startTestbed(launcher, benchDeployment, {
    grants: 'adaptive',
    seed: 1,
    settings: ['--queue-limit', '10000', '--default-deadline', '60000'],
    engineArgs: ['--slots', '4000', '--step', String(tokenInterval), '--prefill-rate', '100000'],
    concurrency: 4000,
    isDirect: true,
  });
  const [instance] = testbed.instances;
  const [engine] = testbed.endpoints;
  if (!instance || !engine) throw new Error('the bench needs an instance and an engine');
  await prepareTestbed(testbed, instance);
  return { testbed, instance, routed: instance.callersUrl, direct: engine.url };
}

async function measureRates(clock: Clock, bench: BenchTestbed) {
  await runClosedLoop(clock, WARM_UP_MS, WARM_UP_CONCURRENCY, () =>
    runStream(clock, bench.routed, ANSWER_TOKENS),
  );
  const peak = await measurePeakRate(clock, bench);
  const latency = await measureLatency(clock, bench, peak.requestsPerSecond / 2);
  return { ...latency, ...peak };
}

async function prepareTestbed(testbed: Testbed, instance: TestbedInstance): Promise<void> {
  await testbed.callOperator(instance, 'PUT', '/v1/configuration', testbed.renderConfiguration(1));
  await topUp(testbed, 'bench/all', BUDGET_TOKENS, 'first');
  while (!(await isReady(testbed, instance))) await pause(POLL_INTERVAL_MS);
}

async function isReady(testbed: Testbed, instance: TestbedInstance): Promise<boolean> {
  const answer = await testbed.callOperator(instance, 'GET', '/health/ready');
  return answer?.status === 200;
}

// Closed loop with enough concurrent streams to keep the instance's core busy.
async function measurePeakRate(clock: Clock, { testbed, instance, routed }: BenchTestbed) {
  const before = await readProcessorSeconds(testbed, instance);
  const startedAt = clock.elapsed();
  const results = await runClosedLoop(clock, MEASURE_MS, PEAK_RATE_CONCURRENCY, () =>
    runStream(clock, routed, ANSWER_TOKENS),
  );
  const seconds = (clock.elapsed() - startedAt) / MS_PER_SECOND;
  const used = (await readProcessorSeconds(testbed, instance)) - before;
  const whole = results.filter((result) => result.isWhole);
  const tokens = whole.reduce((sum, result) => sum + result.tokens, 0);
  const cores = used / seconds;
  return {
    requestsPerSecond: Math.round(whole.length / seconds),
    tokensPerSecond: Math.round(tokens / seconds),
    coresUsed: round(cores),
    requestsPerSecondPerCore: Math.round(whole.length / seconds / cores),
    tokensPerSecondPerCore: Math.round(tokens / seconds / cores),
    failedStreams: results.length - whole.length,
  };
}

// Open loop at the given rate; direct and routed streams are interleaved in the same run.
async function measureLatency(clock: Clock, bench: BenchTestbed, rate: number) {
  const metrics = createMetrics();
  const create = (name: string): LatencySeries => ({
    first: metrics.histogram(`${name}_first_milliseconds`, ''),
    between: metrics.histogram(`${name}_between_milliseconds`, ''),
  });
  const routed = create('routed');
  const plain = create('plain');
  const interval = MS_PER_SECOND / rate;
  const work: Promise<void>[] = [];
  const endAt = clock.elapsed() + MEASURE_MS;
  let next = clock.elapsed();
  for (let turn = 0; clock.elapsed() < endAt; turn += 1) {
    next += interval;
    work.push(recordStream(clock, bench.routed, routed));
    // One direct stream in four is enough to compare with, and leaves the instance its rate.
    if (turn % 4 === 0) work.push(recordStream(clock, bench.direct, plain));
    const wait = next - clock.elapsed();
    if (wait > 0) await pause(wait);
  }
  await Promise.all(work);
  const added = (series: 'first' | 'between', percentile: number) =>
    round(routed[series].percentile(percentile) - plain[series].percentile(percentile));
  return {
    offeredPerSecond: Math.round(rate),
    addedFirstTokenP50Ms: added('first', 50),
    addedFirstTokenP99Ms: added('first', 99),
    addedFirstTokenTargetMs: TARGET_FIRST_TOKEN_P99_MS,
    addedPerTokenP50Ms: added('between', 50),
    addedPerTokenP99Ms: added('between', 99),
    addedPerTokenTargetMs: TARGET_PER_TOKEN_P99_MS,
    directFirstTokenP99Ms: round(plain.first.percentile(99)),
    firstTokenRatioP99: round(routed.first.percentile(99) / plain.first.percentile(99)),
    perTokenRatioP99: round(routed.between.percentile(99) / plain.between.percentile(99)),
  };
}

async function recordStream(clock: Clock, url: string, series: LatencySeries): Promise<void> {
  const times = await runStream(clock, url, ANSWER_TOKENS);
  if (!times.isWhole) return;
  series.first.record(times.first);
  series.between.record(times.between);
}

async function measureStreams(clock: Clock, { testbed, instance, routed }: BenchTestbed) {
  const before = await readMemoryBytes(testbed, instance);
  const work = Array.from({ length: OPEN_STREAMS }, () =>
    runStream(clock, routed, OPEN_STREAM_TOKENS),
  );
  let open = 0;
  let memory = before;
  const watch = setInterval(async () => {
    const state = await readState(testbed, instance);
    open = Math.max(open, state.requests.running);
    memory = Math.max(memory, state.memoryBytes);
  }, POLL_INTERVAL_MS);
  const results = await Promise.all(work);
  clearInterval(watch);
  return {
    concurrentStreams: open,
    wholeStreams: results.filter((result) => result.isWhole).length,
    bytesPerStream: Math.round((memory - before) / OPEN_STREAMS),
  };
}

interface InstanceState {
  memoryBytes: number;
  processorSeconds: number;
  requests: { running: number };
}

async function readState(testbed: Testbed, instance: TestbedInstance): Promise<InstanceState> {
  const answer = await testbed.callOperator(instance, 'GET', '/dump');
  return answer?.body as InstanceState;
}

async function readProcessorSeconds(testbed: Testbed, instance: TestbedInstance): Promise<number> {
  return (await readState(testbed, instance)).processorSeconds;
}

async function readMemoryBytes(testbed: Testbed, instance: TestbedInstance): Promise<number> {
  return (await readState(testbed, instance)).memoryBytes;
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
