import type { FaultContext } from './faultContext';
import type { Rule } from './faultProxy';
import { PLATFORM_GROUP } from './groups';
import { pause } from './pause';
import { readHeldTokens } from './record';

const SLOW_ANSWER_LATENCY_MS = 700;
const LOST_ANSWER_SHARE = 0.15;
const SILENCE_COUNT = 5;
const SILENCE_INTERVAL_MS = 3000;

// Returns rules that drop all bytes between two sets of groups, in both directions.
function cutBetween(left: string[], right: string[]): Rule[] {
  return left.flatMap((from) =>
    right.flatMap((to): Rule[] => [
      { from, to, effect: { kind: 'blackhole' } },
      { from: to, to: from, effect: { kind: 'blackhole' } },
    ]),
  );
}

/** Cuts a random set of data centres, at most half, off from the others and from the platform. */
export async function cutDataCentres({
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

/** Cuts all data centres off from the platform. */
export async function cutPlatform({ testbed, start, partition: duration, rules }: FaultContext) {
  const sites = testbed.deployment.sites.map((site) => site.name);
  const addedRules = cutBetween(sites, [PLATFORM_GROUP]);
  await pause(start);
  await rules.add(addedRules);
  await pause(duration);
  await rules.remove(addedRules);
}

/** Slows the answers of the table service and the object store down. */
export async function slowPlatform({ testbed, start, partition: duration }: FaultContext) {
  await pause(start);
  await testbed.setPlatformFaults(['table', 'objects'], { latency: SLOW_ANSWER_LATENCY_MS });
  await pause(duration);
  await testbed.setPlatformFaults(['table', 'objects'], { latency: 0 });
}

/** Loses some answers of the table service and the object store. */
export async function dropAnswers({ testbed, start, partition: duration }: FaultContext) {
  await pause(start);
  await testbed.setPlatformFaults(['table', 'objects'], { lostAnswerShare: LOST_ANSWER_SHARE });
  await pause(duration);
  await testbed.setPlatformFaults(['table', 'objects'], { lostAnswerShare: 0 });
}

/** Silences the open connections between two groups, again and again. */
export async function silenceConnections({ testbed, random, start }: FaultContext) {
  const groups = [...testbed.deployment.sites.map((site) => site.name), PLATFORM_GROUP];
  await pause(start);
  for (let silence = 0; silence < SILENCE_COUNT; silence += 1) {
    const from = groups[random.integer(0, groups.length - 2)] ?? '';
    const to = groups[random.integer(0, groups.length - 1)] ?? '';
    await testbed.silence(from, to);
    await pause(SILENCE_INTERVAL_MS);
  }
}
