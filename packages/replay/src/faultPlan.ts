import { match } from 'ts-pattern';
import { callHttp, checkDefined, createRandom } from '@pomeloroad/core';
import type { Milliseconds, Random } from '@pomeloroad/core';
import type { Notes } from './evidence';
import type { Rule } from './faultProxy';
import { PLATFORM_GROUP } from './groups';
import { readHeld } from './record';
import { pause } from './pause';
import type { ReplayOptions } from './replay';
import type { Stage, StageInstance } from './stage';
import { applyThrough, drainEndpoint, topUp } from './operatorActions';

/** Faults that a replay can bring about. */
export const FaultNames = [
  'partition',
  'platform-cut',
  'platform-slow',
  'lost-answers',
  'router-death',
  'pause',
  'silent',
  'retries',
  'topup-during-partition',
  'conflicting-applies',
  'endpoint-leaving',
  'rolling-restart',
] as const;

/** One kind of fault. */
export type Fault = (typeof FaultNames)[number];

/** Reads `none`, `all` or comma-joined faults; `undefined` if one is unknown. */
export function parseFaults(text: string): Fault[] | undefined {
  if (text === 'none') return [];
  if (text === 'all') return [...FaultNames];
  const names = text.split(',');
  const known = FaultNames.filter((name) => names.includes(name));
  return known.length === names.length ? known : undefined;
}

/** Part of the replay that passes before the first fault. */
const START_SHARE = 0.15;
/** Faults that put the membership list out of reach for the length of a partition. */
const LIST_FAULTS: Fault[] = ['partition', 'platform-cut'];
const LIST_MARGIN_MS = 2000;
const SLOW_ANSWER_MS = 700;
const LOST_ANSWER_SHARE = 0.15;
const RESTART_DELAY_MS = 2000;
const DEATHS = 2;
const DEATH_INTERVAL_MS = 6000;
const PAUSE_MS = 12_000;
const SILENCES = 5;
const SILENCE_INTERVAL_MS = 3000;
const CONFLICTS = 4;
const CONFLICT_INTERVAL_MS = 2500;
const RESTART_GAP_MS = 300;
const READY_TIMEOUT_MS = 15_000;
const TOP_UP_TOKENS = 5000;
const HTTP_TIMEOUT_MS = 5000;

/** The faults of one replay, on their schedule. */
export interface FaultPlan {
  /** Resolves once all faults are over and healed. */
  run(): Promise<void>;
}

/** Creates the plan; the same seed gives the same schedule. */
export function createFaultPlan(stage: Stage, notes: Notes, options: ReplayOptions): FaultPlan {
  const random = createRandom(options.seed * 7919 + 17);
  const length = Math.max(...options.events.map((event) => event.at));
  const start = length * START_SHARE;
  const rules = createRules(stage);
  const hidesList = options.faults.some((fault) => LIST_FAULTS.includes(fault));
  const listedAt = hidesList ? start + options.partition + LIST_MARGIN_MS : start;
  const context: Context = {
    stage,
    notes,
    random,
    start,
    partition: options.partition,
    listedAt,
    rules,
  };
  return {
    async run() {
      await Promise.all(options.faults.map((fault) => runFault(context, fault)));
    },
  };
}

interface Context {
  stage: Stage;
  notes: Notes;
  random: Random;
  start: Milliseconds;
  partition: Milliseconds;
  /** When an endpoint leaves by the membership list: nobody can know while it is out of reach. */
  listedAt: Milliseconds;
  rules: Rules;
}

function runFault(context: Context, fault: Fault): Promise<void> {
  return match(fault)
    .with('partition', () => partition(context))
    .with('platform-cut', () => cutPlatform(context))
    .with('platform-slow', () => slowPlatform(context))
    .with('lost-answers', () => loseAnswers(context))
    .with('router-death', () => killInstances(context))
    .with('pause', () => pauseInstance(context))
    .with('silent', () => silenceConnections(context))
    .with('retries', async () => undefined)
    .with('topup-during-partition', () => topUpDuringPartition(context))
    .with('conflicting-applies', () => applyInConflict(context))
    .with('endpoint-leaving', () => leaveEndpoints(context))
    .with('rolling-restart', () => restartAll(context))
    .exhaustive();
}

/** Rules of the proxy, contributed by several faults at the same time. */
interface Rules {
  add(rules: Rule[]): Promise<void>;
  remove(rules: Rule[]): Promise<void>;
}

function createRules(stage: Stage): Rules {
  let active: Rule[] = [];
  return {
    async add(rules) {
      active = [...active, ...rules];
      await stage.setRules(active);
    },
    async remove(rules) {
      active = active.filter((rule) => !rules.includes(rule));
      await stage.setRules(active);
    },
  };
}

/** Rules that cut two groups off from each other. */
export function cutBetween(left: string[], right: string[]): Rule[] {
  return left.flatMap((from) =>
    right.flatMap((to): Rule[] => [
      { from, to, effect: { kind: 'blackhole' } },
      { from: to, to: from, effect: { kind: 'blackhole' } },
    ]),
  );
}

// A few data centres lose the others and the platform.
async function partition({ stage, random, start, partition: length, rules, notes }: Context) {
  const sites = stage.deployment.sites.map((site) => site.name);
  const from = random.integer(0, sites.length - 1);
  const size = random.integer(1, Math.floor(sites.length / 2));
  const cut = sites.filter((_, index) => (index - from + sites.length) % sites.length < size);
  const others = sites.filter((site) => !cut.includes(site));
  const added = cutBetween(cut, [...others, PLATFORM_GROUP]);
  await pause(start);
  await rules.add(added);
  const cutAt = new Date();
  const held = await readHeld(stage, cut);
  await pause(length);
  await rules.remove(added);
  notes.partitions.push({ sites: cut, from: cutAt, to: new Date(), held });
}

async function cutPlatform({ stage, start, partition: length, rules }: Context) {
  const sites = stage.deployment.sites.map((site) => site.name);
  const added = cutBetween(sites, [PLATFORM_GROUP]);
  await pause(start);
  await rules.add(added);
  await pause(length);
  await rules.remove(added);
}

async function slowPlatform({ stage, start, partition: length }: Context) {
  await pause(start);
  await stage.setPlatformFaults(['table', 'objects'], { latency: SLOW_ANSWER_MS });
  await pause(length);
  await stage.setPlatformFaults(['table', 'objects'], { latency: 0 });
}

async function loseAnswers({ stage, start, partition: length }: Context) {
  await pause(start);
  await stage.setPlatformFaults(['table', 'objects'], { lostAnswerShare: LOST_ANSWER_SHARE });
  await pause(length);
  await stage.setPlatformFaults(['table', 'objects'], { lostAnswerShare: 0 });
}

// Faults that stop processes take turns on each instance.
async function takeInHand(
  instance: StageInstance,
  step: (instance: StageInstance) => Promise<void>,
): Promise<void> {
  const held = instance;
  held.isInHand = true;
  await step(instance);
  held.isInHand = false;
}

async function killInstances({ stage, random, start }: Context) {
  await pause(start);
  for (let death = 0; death < DEATHS; death += 1) {
    await takeInHand(pickRunning(stage, random), async (instance) => {
      instance.program.child.kill('SIGKILL');
      await instance.program.exited;
      await pause(RESTART_DELAY_MS);
      await stage.restart(instance);
    });
    await pause(DEATH_INTERVAL_MS);
  }
}

function pickRunning(stage: Stage, random: Random): StageInstance {
  const running = stage.instances.filter(
    (instance) => instance.program.isRunning() && !instance.isInHand,
  );
  return checkDefined(running[random.integer(0, running.length - 1)], 'no instance runs');
}

async function pauseInstance({ stage, random, start }: Context) {
  await pause(start);
  await takeInHand(pickRunning(stage, random), async (instance) => {
    const { child } = instance.program;
    child.kill('SIGSTOP');
    await pause(PAUSE_MS);
    child.kill('SIGCONT');
  });
}

async function silenceConnections({ stage, random, start }: Context) {
  const groups = [...stage.deployment.sites.map((site) => site.name), PLATFORM_GROUP];
  await pause(start);
  for (let silence = 0; silence < SILENCES; silence += 1) {
    const from = groups[random.integer(0, groups.length - 2)] ?? '';
    const to = groups[random.integer(0, groups.length - 1)] ?? '';
    await stage.silence(from, to);
    await pause(SILENCE_INTERVAL_MS);
  }
}

async function topUpDuringPartition({ stage, start, partition: length }: Context) {
  await pause(start + length / 2);
  const budgets = stage.deployment.accounts.flatMap((client) =>
    client.budgets.map((budget) => `${client.name}/${budget.name}`),
  );
  for (const budget of budgets) await topUp(stage, budget, TOP_UP_TOKENS, 'partition');
}

async function applyInConflict({ stage, notes, start, random }: Context) {
  await pause(start);
  for (let round = 0; round < CONFLICTS; round += 1) {
    const first = pickRunning(stage, random);
    const second = pickRunning(stage, random);
    await Promise.all([
      applyThrough(stage, notes, first, 10 + round),
      applyThrough(stage, notes, second, 20 + round),
    ]);
    await pause(CONFLICT_INTERVAL_MS);
  }
}

// One engine leaves by its own word, one by the membership list, one by the operators' order.
async function leaveEndpoints({ stage, notes, start, listedAt, random }: Context) {
  const engines = stage.endpoints.filter((endpoint) => endpoint.kind === 'engine');
  const first = random.integer(0, engines.length - 1);
  const [own, listed, ordered] = [0, 2, 4].map((step) => engines[(first + step) % engines.length]);
  await pause(start);
  if (own) {
    await put(`${own.url}/standin/state`, 'leaving');
    notes.leaving.push({ endpoint: own.name, at: new Date() });
  }
  if (ordered) await drainEndpoint(stage, notes, ordered.name);
  await pause(listedAt - start);
  if (listed) {
    const { name, site, address } = listed;
    const member = { name, role: 'endpoint', dataCentre: site, address, incarnation: '1' };
    const body = JSON.stringify({ ...member, state: 'leaving' });
    const path = `${stage.platform.membership}/v1/members/${name}`;
    await put(path, body);
    notes.leaving.push({ endpoint: name, at: new Date() });
    keepListed(path, body);
  }
}

// The list forgets members that are silent; the platform goes on announcing this one.
function keepListed(path: string, body: string): void {
  const timer = setInterval(() => put(path, body), 1000);
  timer.unref();
}

async function put(url: string, body: string): Promise<void> {
  await callHttp({ method: 'PUT', url, body, timeout: HTTP_TIMEOUT_MS });
}

async function restartAll({ stage, notes, start }: Context) {
  await pause(start);
  for (const instance of stage.instances) {
    while (instance.isInHand) await pause(RESTART_GAP_MS);
    await takeInHand(instance, async () => {
      const from = new Date();
      instance.program.child.kill('SIGTERM');
      const code = await instance.program.exited;
      notes.shutdowns.push({ instance: instance.name, from, to: new Date(), code });
      await stage.restart(instance);
      await waitUntilReady(instance);
    });
    await pause(RESTART_GAP_MS);
  }
}

// As the platform does: the next one is replaced once this one serves.
async function waitUntilReady(instance: StageInstance): Promise<void> {
  for (let waited = 0; waited < READY_TIMEOUT_MS; waited += RESTART_GAP_MS) {
    await pause(RESTART_GAP_MS);
    if (instance.isReady) return;
  }
}
