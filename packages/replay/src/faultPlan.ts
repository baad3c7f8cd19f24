import { match } from 'ts-pattern';
import { callHttp, checkDefined, createRandom } from '@pomeloroad/core';
import type { Milliseconds, Random } from '@pomeloroad/core';
import type { ActionLog } from './evidence';
import type { Rule } from './faultProxy';
import { PLATFORM_GROUP } from './groups';
import { readHeldTokens } from './record';
import { pause } from './pause';
import type { ReplayOptions } from './replay';
import type { Testbed, TestbedInstance } from './testbed';
import { applyWeightThrough, drainEndpoint, topUp } from './operatorActions';

/** Names of the faults that a replay can inject. */
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

/** Name of a fault. */
export type Fault = (typeof FaultNames)[number];

/** Parses `none`, `all` or comma-separated names of faults; `undefined` if a name is unknown. */
export function parseFaults(text: string): Fault[] | undefined {
  if (text === 'none') return [];
  if (text === 'all') return [...FaultNames];
  const names = text.split(',');
  const known = FaultNames.filter((name) => names.includes(name));
  return known.length === names.length ? known : undefined;
}

/** Share of the trace's length that passes before the first fault. */
const FIRST_FAULT_SHARE = 0.15;
/** Faults during which instances cannot read the membership list, for the length of a partition. */
const MEMBERSHIP_FAULTS: Fault[] = ['partition', 'platform-cut'];
/** Time after such a fault until the instances read the membership list again. */
const MEMBERSHIP_RECOVERY_MS = 2000;
const SLOW_ANSWER_LATENCY_MS = 700;
const LOST_ANSWER_SHARE = 0.15;
const RESTART_DELAY_MS = 2000;
const CRASH_COUNT = 2;
const CRASH_INTERVAL_MS = 6000;
const PAUSE_MS = 12_000;
const SILENCE_COUNT = 5;
const SILENCE_INTERVAL_MS = 3000;
const CONFLICT_COUNT = 4;
const CONFLICT_INTERVAL_MS = 2500;
/** Interval of readiness checks in a rolling restart, and pause between two instances. */
const RESTART_POLL_MS = 300;
const READY_TIMEOUT_MS = 15_000;
const TOP_UP_TOKENS = 5000;
const HTTP_TIMEOUT_MS = 5000;

/** The scheduled faults of one replay. */
export interface FaultPlan {
  /** Injects the faults; resolves once all of them have ended. */
  run(): Promise<void>;
}

/** Creates the fault plan of a replay; the same seed gives the same schedule. */
export function createFaultPlan(
  testbed: Testbed,
  actionLog: ActionLog,
  options: ReplayOptions,
): FaultPlan {
  const random = createRandom(options.seed * 7919 + 17);
  const traceLength = Math.max(...options.events.map((event) => event.at));
  const start = traceLength * FIRST_FAULT_SHARE;
  const rules = createRuleSet(testbed);
  const hidesMembership = options.faults.some((fault) => MEMBERSHIP_FAULTS.includes(fault));
  const membershipLeaveAt = hidesMembership
    ? start + options.partition + MEMBERSHIP_RECOVERY_MS
    : start;
  const context: FaultContext = {
    testbed,
    actionLog,
    random,
    start,
    partition: options.partition,
    membershipLeaveAt,
    rules,
  };
  return {
    async run() {
      await Promise.all(options.faults.map((fault) => runFault(context, fault)));
    },
  };
}

interface FaultContext {
  testbed: Testbed;
  actionLog: ActionLog;
  random: Random;
  /** Time from the start of the replay to the first fault. */
  start: Milliseconds;
  /** Length of a partition or outage. */
  partition: Milliseconds;
  /**
   * Time from the start of the replay at which the membership list shows an endpoint as leaving.
   * Instances cannot learn of it while the list is unreachable.
   */
  membershipLeaveAt: Milliseconds;
  rules: RuleSet;
}

function runFault(context: FaultContext, fault: Fault): Promise<void> {
  return (
    match(fault)
      .with('partition', () => cutDataCentres(context))
      .with('platform-cut', () => cutPlatform(context))
      .with('platform-slow', () => slowPlatform(context))
      .with('lost-answers', () => dropAnswers(context))
      .with('router-death', () => killInstances(context))
      .with('pause', () => pauseInstance(context))
      .with('silent', () => silenceConnections(context))
      // For retries, prepareTrace adds repeats to the trace.
      .with('retries', async () => undefined)
      .with('topup-during-partition', () => topUpDuringPartition(context))
      .with('conflicting-applies', () => applyInConflict(context))
      .with('endpoint-leaving', () => withdrawEndpoints(context))
      .with('rolling-restart', () => restartInstances(context))
      .exhaustive()
  );
}

/** The active rules of the proxy, shared by concurrent faults. */
interface RuleSet {
  add(rules: Rule[]): Promise<void>;
  remove(rules: Rule[]): Promise<void>;
}

function createRuleSet(testbed: Testbed): RuleSet {
  let active: Rule[] = [];
  return {
    async add(rules) {
      active = [...active, ...rules];
      await testbed.setRules(active);
    },
    async remove(rules) {
      active = active.filter((rule) => !rules.includes(rule));
      await testbed.setRules(active);
    },
  };
}

/** Returns rules that drop all bytes between two sets of groups, in both directions. */
export function cutBetween(left: string[], right: string[]): Rule[] {
  return left.flatMap((from) =>
    right.flatMap((to): Rule[] => [
      { from, to, effect: { kind: 'blackhole' } },
      { from: to, to: from, effect: { kind: 'blackhole' } },
    ]),
  );
}

// Cuts a random set of data centres, at most half, off from the others and from the platform.
async function cutDataCentres({
  testbed,
  random,
  start,
  partition: duration,
  rules,
  actionLog,
}: FaultContext) {
  const sites = testbed.deployment.sites.map((site) => site.name);
  const from = random.integer(0, sites.length - 1);
  const size = random.integer(1, Math.floor(sites.length / 2));
  const cut = sites.filter((_, index) => (index - from + sites.length) % sites.length < size);
  const others = sites.filter((site) => !cut.includes(site));
  const addedRules = cutBetween(cut, [...others, PLATFORM_GROUP]);
  await pause(start);
  await rules.add(addedRules);
  const cutAt = new Date();
  const held = await readHeldTokens(testbed, cut);
  await pause(duration);
  await rules.remove(addedRules);
  actionLog.partitions.push({ sites: cut, from: cutAt, to: new Date(), held });
}

async function cutPlatform({ testbed, start, partition: duration, rules }: FaultContext) {
  const sites = testbed.deployment.sites.map((site) => site.name);
  const addedRules = cutBetween(sites, [PLATFORM_GROUP]);
  await pause(start);
  await rules.add(addedRules);
  await pause(duration);
  await rules.remove(addedRules);
}

async function slowPlatform({ testbed, start, partition: duration }: FaultContext) {
  await pause(start);
  await testbed.setPlatformFaults(['table', 'objects'], { latency: SLOW_ANSWER_LATENCY_MS });
  await pause(duration);
  await testbed.setPlatformFaults(['table', 'objects'], { latency: 0 });
}

async function dropAnswers({ testbed, start, partition: duration }: FaultContext) {
  await pause(start);
  await testbed.setPlatformFaults(['table', 'objects'], { lostAnswerShare: LOST_ANSWER_SHARE });
  await pause(duration);
  await testbed.setPlatformFaults(['table', 'objects'], { lostAnswerShare: 0 });
}

// Claims the instance during the action, so that only one fault at a time stops or restarts it.
async function runExclusively(
  instance: TestbedInstance,
  action: (instance: TestbedInstance) => Promise<void>,
): Promise<void> {
  const claimed = instance;
  claimed.isClaimed = true;
  await action(instance);
  claimed.isClaimed = false;
}

async function killInstances({ testbed, random, start }: FaultContext) {
  await pause(start);
  for (let crash = 0; crash < CRASH_COUNT; crash += 1) {
    await runExclusively(pickRunningInstance(testbed, random), async (instance) => {
      instance.program.child.kill('SIGKILL');
      await instance.program.exited;
      await pause(RESTART_DELAY_MS);
      await testbed.restart(instance);
    });
    await pause(CRASH_INTERVAL_MS);
  }
}

function pickRunningInstance(testbed: Testbed, random: Random): TestbedInstance {
  const running = testbed.instances.filter(
    (instance) => instance.program.isRunning() && !instance.isClaimed,
  );
  return checkDefined(running[random.integer(0, running.length - 1)], 'no instance is running');
}

async function pauseInstance({ testbed, random, start }: FaultContext) {
  await pause(start);
  await runExclusively(pickRunningInstance(testbed, random), async (instance) => {
    const { child } = instance.program;
    child.kill('SIGSTOP');
    await pause(PAUSE_MS);
    child.kill('SIGCONT');
  });
}

async function silenceConnections({ testbed, random, start }: FaultContext) {
  const groups = [...testbed.deployment.sites.map((site) => site.name), PLATFORM_GROUP];
  await pause(start);
  for (let silence = 0; silence < SILENCE_COUNT; silence += 1) {
    const from = groups[random.integer(0, groups.length - 2)] ?? '';
    const to = groups[random.integer(0, groups.length - 1)] ?? '';
    await testbed.silence(from, to);
    await pause(SILENCE_INTERVAL_MS);
  }
}

async function topUpDuringPartition({ testbed, start, partition: duration }: FaultContext) {
  await pause(start + duration / 2);
  const budgets = testbed.deployment.accounts.flatMap((client) =>
    client.budgets.map((budget) => `${client.name}/${budget.name}`),
  );
  for (const budget of budgets) await topUp(testbed, budget, TOP_UP_TOKENS, 'partition');
}

async function applyInConflict({ testbed, actionLog, start, random }: FaultContext) {
  await pause(start);
  for (let round = 0; round < CONFLICT_COUNT; round += 1) {
    const first = pickRunningInstance(testbed, random);
    const second = pickRunningInstance(testbed, random);
    await Promise.all([
      applyWeightThrough(testbed, actionLog, first, 10 + round),
      applyWeightThrough(testbed, actionLog, second, 20 + round),
    ]);
    await pause(CONFLICT_INTERVAL_MS);
  }
}

// One engine reports itself as leaving, one is leaving in the membership list, and operators drain
// one.
async function withdrawEndpoints({
  testbed,
  actionLog,
  start,
  membershipLeaveAt,
  random,
}: FaultContext) {
  const engines = testbed.endpoints.filter((endpoint) => endpoint.kind === 'engine');
  const first = random.integer(0, engines.length - 1);
  const [selfAnnounced, listed, drained] = [0, 2, 4].map(
    (offset) => engines[(first + offset) % engines.length],
  );
  await pause(start);
  if (selfAnnounced) {
    await sendPut(`${selfAnnounced.url}/standin/state`, 'leaving');
    actionLog.leaving.push({ endpoint: selfAnnounced.name, at: new Date() });
  }
  if (drained) await drainEndpoint(testbed, actionLog, drained.name);
  await pause(membershipLeaveAt - start);
  if (listed) {
    const { name, site, address } = listed;
    const member = { name, role: 'endpoint', dataCentre: site, address, incarnation: '1' };
    const body = JSON.stringify({ ...member, state: 'leaving' });
    const path = `${testbed.platform.membership}/v1/members/${name}`;
    await sendPut(path, body);
    actionLog.leaving.push({ endpoint: name, at: new Date() });
    keepAnnouncing(path, body);
  }
}

// Refreshes the entry every second, because the membership list drops members that are not renewed.
function keepAnnouncing(path: string, body: string): void {
  const timer = setInterval(() => sendPut(path, body), 1000);
  timer.unref();
}

async function sendPut(url: string, body: string): Promise<void> {
  await callHttp({ method: 'PUT', url, body, timeout: HTTP_TIMEOUT_MS });
}

async function restartInstances({ testbed, actionLog, start }: FaultContext) {
  await pause(start);
  for (const instance of testbed.instances) {
    while (instance.isClaimed) await pause(RESTART_POLL_MS);
    await runExclusively(instance, async () => {
      const from = new Date();
      instance.program.child.kill('SIGTERM');
      const code = await instance.program.exited;
      actionLog.shutdowns.push({ instance: instance.name, from, to: new Date(), code });
      await testbed.restart(instance);
      await waitUntilReady(instance);
    });
    await pause(RESTART_POLL_MS);
  }
}

// Like the platform, a rolling restart waits until an instance is ready before the next one.
async function waitUntilReady(instance: TestbedInstance): Promise<void> {
  for (let waited = 0; waited < READY_TIMEOUT_MS; waited += RESTART_POLL_MS) {
    await pause(RESTART_POLL_MS);
    if (instance.isReady) return;
  }
}
