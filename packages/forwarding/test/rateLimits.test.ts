import { Err } from 'ts-results';
import { createManualClock, createRandom } from '@pomeloroad/core';
import { createMemoryRowStore } from '@pomeloroad/storage';
import type { RowStore } from '@pomeloroad/storage';
import { startSharedFeed } from '../src/store/sharedFeed';
import { startRateLimits } from '../src/limits/rateLimits';

const PROPAGATION_MS = 2000;

// Instances over one store that all know each other; each may be cut off from the store.
function createStand(count: number) {
  const clock = createManualClock();
  const memory = createMemoryRowStore();
  const calls = { transactions: 0 };
  const listed = new Set(['e/1']);
  const names = Array.from({ length: count }, (_, index) => `instance-${index}`);

  function start(instance: string) {
    const link = { isCut: false };
    let shares = new Map<string, number>();
    const fail = async () => Err({ kind: 'unavailable' as const, message: 'cut' });
    const rows: RowStore = {
      transact(transaction) {
        calls.transactions += 1;
        return link.isCut ? fail() : memory.transact(transaction);
      },
      list: (...args) => (link.isCut ? fail() : memory.list(...args)),
      follow: (...args) => (link.isCut ? fail() : memory.follow(...args)),
    };
    const following = { clock, log: () => undefined, rows, signal: new AbortController().signal };
    const limits = startRateLimits({
      ...following,
      feed: startSharedFeed(following),
      random: createRandom(1),
      instance,
      listInstances: () => names,
      isListed: (endpoint) => listed.has(endpoint),
      setRateShares(next) {
        shares = next;
      },
    });
    return { ...limits, link, getShare: (endpoint = 'e/1') => shares.get(endpoint) };
  }

  return { clock, memory, calls, listed, start, instances: names.map(start) };
}

test('a limit that one instance is told is shared by all', async () => {
  const { clock, instances } = createStand(8);
  instances[0]?.note('e/1', 2, 0);
  await clock.advance(PROPAGATION_MS);
  const shares = instances.map(({ getShare }) => getShare() ?? Infinity);
  expect(shares.reduce((sum, share) => sum + share, 0)).toBeCloseTo(2);
});

test('an answer without the limit ends it, unless it was asked for before the last one with it', async () => {
  const { clock, instances } = createStand(8);
  await clock.advance(100);
  instances[0]?.note('e/1', 2, 90);
  instances[0]?.note('e/1', undefined, 80);
  await clock.advance(PROPAGATION_MS);
  expect(instances[7]?.getShare()).toBeDefined();
  instances[3]?.note('e/1', undefined, clock.elapsed());
  await clock.advance(PROPAGATION_MS);
  expect(instances.map(({ getShare }) => getShare())).toEqual(Array(8).fill(undefined));
});

test('an instance without the store keeps to what it was told, and tells it later', async () => {
  const { clock, instances } = createStand(2);
  instances[0]!.link.isCut = true;
  instances[0]?.note('e/1', 2, 0);
  await clock.advance(PROPAGATION_MS);
  expect(instances.map(({ getShare }) => getShare())).toEqual([1, undefined]);
  instances[0]!.link.isCut = false;
  await clock.advance(PROPAGATION_MS);
  expect(instances.map(({ getShare }) => getShare())).toEqual([1, 1]);
});

test('a limit whose row the store lost is written again', async () => {
  const { clock, memory, instances, start } = createStand(2);
  await clock.advance(PROPAGATION_MS);
  const comeBack = memory.copy();
  instances[0]?.note('e/1', 2, 0);
  await clock.advance(PROPAGATION_MS);
  comeBack();
  await clock.advance(2 * PROPAGATION_MS);
  const late = start('instance-1');
  await clock.advance(PROPAGATION_MS);
  expect(late.getShare()).toBe(1);
});

test('the row of an endpoint that has gone is removed', async () => {
  const { clock, memory, listed, instances } = createStand(2);
  instances[0]?.note('e/1', 2, 0);
  await clock.advance(PROPAGATION_MS);
  listed.clear();
  await clock.advance(PROPAGATION_MS);
  const view = await memory.list('shared', 'limits');
  expect(view.ok && view.val.rows).toEqual([]);
});

test('a limit that differs a little in each answer is written once', async () => {
  const { clock, calls, instances } = createStand(2);
  for (let count = 0; count < 50; count += 1) {
    instances[count % 2]?.note('e/1', 2 + (count % 10) / 100, clock.elapsed());
    await clock.advance(100);
  }
  expect(calls.transactions).toBeLessThanOrEqual(2);
});

test('a limit that is passed on to the next incarnation holds until one of its answers names none', async () => {
  const { clock, memory, listed, instances } = createStand(8);
  instances[0]?.note('e/1', 2, 0);
  await clock.advance(PROPAGATION_MS);
  listed.clear();
  listed.add('e/2');
  instances.forEach(({ passOn }) => passOn('e/1', 'e/2'));
  await clock.advance(PROPAGATION_MS);
  const shares = instances.map(({ getShare }) => getShare('e/2') ?? Infinity);
  expect(shares.reduce((sum, share) => sum + share, 0)).toBeCloseTo(2);
  instances[3]?.note('e/2', undefined, clock.elapsed());
  await clock.advance(PROPAGATION_MS);
  expect(instances.map(({ getShare }) => getShare('e/2'))).toEqual(Array(8).fill(undefined));
  const view = await memory.list('shared', 'limits');
  expect(view.ok && view.val.rows).toEqual([]);
});
