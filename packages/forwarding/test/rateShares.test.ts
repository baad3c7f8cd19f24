import { createRandom } from '@pomeloroad/core';
import { getRateShare } from '../src/limits/rateShares';

const ENDPOINT = 'e/1';
const WINDOW_S = 4;
const PLAY_S = 120;
const STEP_S = 0.05;
/** How often an instance counts the others, and when it counts a dead one no more. */
const COUNT_INTERVAL_S = 4;
const LEASE_S = 11;
const CHANGE_INTERVAL_S = 5;

interface Instance {
  name: string;
  /** Its share by the instances that it has counted. */
  share: number;
  nextCountAt: number;
  lastSentAt: number;
  /** When its process started; infinite once it has ended. */
  startedAt: number;
  endedAt: number;
}

// Plays instances that always have a request, while some end and others are added.
function play(count: number, limit: number, seed: number): number[] {
  const random = createRandom(seed);
  let added = 0;
  const instances: Instance[] = [];
  const arrivals: number[] = [];

  function add(at: number): void {
    added += 1;
    const nextCountAt = at + COUNT_INTERVAL_S;
    const times = { nextCountAt, lastSentAt: at, startedAt: at, endedAt: Infinity };
    instances.push({ name: `instance-${added}`, share: 0, ...times });
  }

  function step(instance: Instance, at: number): void {
    const stepped = instance;
    if (at >= stepped.endedAt) return;
    if (at >= stepped.nextCountAt) {
      stepped.nextCountAt += COUNT_INTERVAL_S;
      const alive = instances.filter((other) => at < other.endedAt + LEASE_S);
      const names = alive.map(({ name }) => name);
      stepped.share = getRateShare(ENDPOINT, limit, stepped.name, names);
    }
    const { share } = stepped;
    if (share === 0 || (at - stepped.lastSentAt) * share < 1) return;
    stepped.lastSentAt = at;
    arrivals.push(at);
  }

  Array.from({ length: count }, () => add(-random.fraction() * COUNT_INTERVAL_S));
  for (let at = 0; at < PLAY_S; at += STEP_S) {
    instances.forEach((instance) => step(instance, at));
    if (Math.floor(at / CHANGE_INTERVAL_S) !== Math.floor((at + STEP_S) / CHANGE_INTERVAL_S)) {
      const alive = instances.filter(({ endedAt }) => endedAt === Infinity);
      const ending = alive[random.integer(0, alive.length - 1)]!;
      ending.endedAt = at;
      add(at);
    }
  }
  return arrivals;
}

function countMost(arrivals: number[]): number {
  const counts = arrivals.map(
    (from) => arrivals.filter((at) => at >= from && at < from + WINDOW_S).length,
  );
  return Math.max(0, ...counts);
}

test.each([
  [8, 2.3],
  [8, 0.4],
  [8, 20],
  [30, 2.3],
  [30, 0.4],
  [89, 2.3],
  [89, 20],
  [300, 2.3],
])('%p instances that come and go keep to a limit of %p a second', (count, limit) => {
  [1, 2, 3].forEach((seed) => {
    const arrivals = play(count, limit, seed);
    expect(countMost(arrivals)).toBeLessThanOrEqual(1.5 * limit * WINDOW_S + 5);
    expect(arrivals.length).toBeGreaterThan((limit * PLAY_S) / 2);
  });
});

test('an instance that has counted no other takes no share', () => {
  expect(getRateShare(ENDPOINT, 100, 'a', [])).toBe(0);
  expect(getRateShare(ENDPOINT, 100, 'a', ['b', 'c'])).toBe(0);
});

test('an endpoint that takes nothing is asked now and then, so that the end of its limit shows', () => {
  expect(getRateShare(ENDPOINT, 0, 'a', ['a'])).toBe(0.1);
  expect(countMost(play(89, 0, 1))).toBeLessThanOrEqual(5);
});
