import http from 'node:http';
import sade from 'sade';
import { createParser } from 'eventsource-parser';
import { createSystemClock } from '@pomeloroad/core';
import type { Clock, Milliseconds } from '@pomeloroad/core';
import { createMetrics } from '@pomeloroad/telemetry';
import type { Histogram } from '@pomeloroad/telemetry';
import type { Deployment } from './deployments';
import { getSecret } from './deployments';
import { topUp } from './operatorActions';
import { pause } from './pause';
import { createPrograms } from './programs';
import type { Programs } from './programs';
import { startStage } from './stage';
import type { Stage, StageInstance } from './stage';

const MS_PER_SECOND = 1000;
const BUDGET_TOKENS = 1_000_000_000;
const WARM_UP_MS = 1500;
const WARM_UP_LANES = 16;
const READY_POLL_MS = 100;
const MEASURE_MS = 6000;
const PEAK_STREAMS = 2000;
const PEAK_STREAM_TOKENS = 40;
const ANSWER_TOKENS = 24;
/** Streams that are open at a time while the peak rate is looked for. */
const PEAK_LANES = 400;
/** Time between tokens of the engines. */
const STEP_MS = 20;
/** The same for the many open streams, which must not be bound by the token rate. */
const SLOW_STEP_MS = 500;

/** Targets of the brief's issue, in milliseconds. */
const TARGET_FIRST_P99_MS = 5;
const TARGET_TOKEN_P99_MS = 1;

/** One instance, one data centre, two engines with many slots. */
const site: Deployment = {
  name: 'bench',
  model: 'planner',
  service: 'boards',
  sites: [{ name: 'kent', instances: 1, engines: 2, services: 0 }],
  accounts: [{ name: 'bench', share: 1, budgets: [{ name: 'all', tokens: BUDGET_TOKENS }] }],
  tasks: [],
  reads: [],
  orders: [],
};

/** Times of one stream. */
interface StreamTimes {
  first: Milliseconds;
  /** Average time between its tokens. */
  between: Milliseconds;
  tokens: number;
  isWhole: boolean;
}

/** A series of streams through one path. */
interface Series {
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
  const programs = createPrograms(() => undefined);
  try {
    const rates = await measureRates(clock, await openStage(programs, STEP_MS));
    const streams = await measureStreams(clock, await openStage(programs, SLOW_STEP_MS));
    const figures = { ...rates, ...streams };
    if (isJson) process.stdout.write(`${JSON.stringify(figures)}\n`);
    else console.table(figures); // eslint-disable-line no-console -- a table for people
  } finally {
    programs.stopAll();
  }
  process.exit(0);
}

/** The stage of the bench and its parts that are measured. */
interface BenchStage {
  stage: Stage;
  instance: StageInstance;
  /** URL of the instance. */
  routed: string;
  /** URL of an engine. */
  direct: string;
}

async function openStage(programs: Programs, step: Milliseconds): Promise<BenchStage> {
  const stage = await startStage(programs, site, {
    grants: 'adaptive',
    seed: 1,
    settings: ['--queue-limit', '10000', '--default-deadline', '60000'],
    engineArgs: ['--slots', '4000', '--step', String(step), '--prefill-rate', '100000'],
    concurrency: 4000,
    isDirect: true,
  });
  const [instance] = stage.instances;
  const [engine] = stage.endpoints;
  if (!instance || !engine) throw new Error('the bench needs an instance and an engine');
  await prepare(stage, instance);
  return { stage, instance, routed: instance.callersUrl, direct: engine.url };
}

async function measureRates(clock: Clock, bench: BenchStage) {
  await runFor(clock, WARM_UP_MS, WARM_UP_LANES, () => stream(clock, bench.routed, ANSWER_TOKENS));
  const peak = await measurePeakRate(clock, bench);
  const latency = await measureLatency(clock, bench, peak.requestsPerSecond / 2);
  return { ...latency, ...peak };
}

async function prepare(stage: Stage, instance: StageInstance): Promise<void> {
  await stage.callOperator(instance, 'PUT', '/v1/configuration', stage.createFile(1));
  await topUp(stage, 'bench/all', BUDGET_TOKENS, 'first');
  while (!(await isReady(stage, instance))) await pause(READY_POLL_MS);
}

async function isReady(stage: Stage, instance: StageInstance): Promise<boolean> {
  const answer = await stage.callOperator(instance, 'GET', '/health/ready');
  return answer?.status === 200;
}

// Closed loop: as many streams as keep the instance's core busy.
async function measurePeakRate(clock: Clock, { stage, instance, routed }: BenchStage) {
  const before = await readProcessor(stage, instance);
  const startedAt = clock.elapsed();
  const results = await runFor(clock, MEASURE_MS, PEAK_LANES, () =>
    stream(clock, routed, ANSWER_TOKENS),
  );
  const seconds = (clock.elapsed() - startedAt) / MS_PER_SECOND;
  const used = (await readProcessor(stage, instance)) - before;
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

// Open loop at half of the peak rate; direct and routed streams take turns in the same run.
async function measureLatency(clock: Clock, bench: BenchStage, rate: number) {
  const metrics = createMetrics();
  const create = (name: string): Series => ({
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
    work.push(record(clock, bench.routed, routed));
    // A few direct streams are enough to compare with, and leave the instance its rate.
    if (turn % 4 === 0) work.push(record(clock, bench.direct, plain));
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
    addedFirstTokenTargetMs: TARGET_FIRST_P99_MS,
    addedPerTokenP50Ms: added('between', 50),
    addedPerTokenP99Ms: added('between', 99),
    addedPerTokenTargetMs: TARGET_TOKEN_P99_MS,
    directFirstTokenP99Ms: round(plain.first.percentile(99)),
    firstTokenRatioP99: round(routed.first.percentile(99) / plain.first.percentile(99)),
    perTokenRatioP99: round(routed.between.percentile(99) / plain.between.percentile(99)),
  };
}

async function record(clock: Clock, url: string, series: Series): Promise<void> {
  const times = await stream(clock, url, ANSWER_TOKENS);
  if (!times.isWhole) return;
  series.first.record(times.first);
  series.between.record(times.between);
}

async function measureStreams(clock: Clock, { stage, instance, routed }: BenchStage) {
  const before = await readMemory(stage, instance);
  const work = Array.from({ length: PEAK_STREAMS }, () =>
    stream(clock, routed, PEAK_STREAM_TOKENS),
  );
  let open = 0;
  let memory = before;
  const watch = setInterval(async () => {
    const state = await readState(stage, instance);
    open = Math.max(open, state.requests.running);
    memory = Math.max(memory, state.memoryBytes);
  }, READY_POLL_MS);
  const results = await Promise.all(work);
  clearInterval(watch);
  return {
    concurrentStreams: open,
    wholeStreams: results.filter((result) => result.isWhole).length,
    bytesPerStream: Math.round((memory - before) / PEAK_STREAMS),
  };
}

interface State {
  memoryBytes: number;
  processorSeconds: number;
  requests: { running: number };
}

async function readState(stage: Stage, instance: StageInstance): Promise<State> {
  const answer = await stage.callOperator(instance, 'GET', '/dump');
  return answer?.body as State;
}

async function readProcessor(stage: Stage, instance: StageInstance): Promise<number> {
  return (await readState(stage, instance)).processorSeconds;
}

async function readMemory(stage: Stage, instance: StageInstance): Promise<number> {
  return (await readState(stage, instance)).memoryBytes;
}

// Keeps the given number of streams going until the time is over.
async function runFor(
  clock: Clock,
  time: Milliseconds,
  lanes: number,
  start: () => Promise<StreamTimes>,
): Promise<StreamTimes[]> {
  const endAt = clock.elapsed() + time;
  const results: StreamTimes[] = [];
  const runLane = async () => {
    while (clock.elapsed() < endAt) results.push(await start());
  };
  await Promise.all(Array.from({ length: lanes }, runLane));
  return results;
}

const agent = new http.Agent({ keepAlive: true, maxSockets: Infinity });
let prompts = 0;

function stream(clock: Clock, url: string, maxTokens: number): Promise<StreamTimes> {
  prompts += 1;
  const messages = [{ role: 'user', content: `[bench ${prompts}] Plan a route.` }];
  const content = { model: site.model, messages, max_tokens: maxTokens, stream: true };
  const body = JSON.stringify(content);
  const startedAt = clock.elapsed();
  const times: StreamTimes = { first: 0, between: 0, tokens: 0, isWhole: false };
  return new Promise((resolve) => {
    const finish = () => resolve(times);
    const request = http.request(`${url}/v1/chat/completions`, {
      method: 'POST',
      agent,
      headers: {
        authorization: `Bearer ${getSecret('bench')}`,
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(body),
      },
    });
    request.on('error', finish);
    request.on('response', (response) => {
      response.setEncoding('utf8');
      const parser = createParser({
        onEvent({ data }) {
          if (data === '[DONE]') times.isWhole = true;
          else if (data.includes('"content"')) noteToken(clock, startedAt, times);
        },
      });
      response.on('data', (text: string) => parser.feed(text));
      response.on('end', finish);
      response.on('error', finish);
    });
    request.end(body);
  });
}

function noteToken(clock: Clock, startedAt: Milliseconds, times: StreamTimes): void {
  const noted = times;
  const passed = clock.elapsed() - startedAt;
  if (times.tokens === 0) noted.first = passed;
  else noted.between = (passed - times.first) / times.tokens;
  noted.tokens += 1;
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
