import { createManualClock } from '@pomeloroad/core';
import { createLease, createMemoryTable } from '../src';

const DURATION_MS = 5000;

function setUp() {
  const clock = createManualClock();
  const table = createMemoryTable();
  const createLeaseFor = (instance: string) => {
    const self = { instance, incarnation: `${instance}-1`, dataCentre: 'kent' };
    return createLease({ clock, table, self }, 'orders/kent', DURATION_MS);
  };
  return { clock, a: createLeaseFor('a'), b: createLeaseFor('b') };
}

test('only one process holds the lease while it renews it', async () => {
  const { clock, a, b } = setUp();
  for (let second = 0; second < 20; second += 1) {
    await a.acquireOrRenew();
    await b.acquireOrRenew();
    expect([a.getFencingToken(), b.getFencingToken()]).toEqual([1, undefined]);
    await clock.advance(1000);
  }
});

test('a lease that is not renewed ends for its holder before another process acquires it', async () => {
  const { clock, a, b } = setUp();
  await a.acquireOrRenew();
  let isHeldByBoth = false;
  while (b.getFencingToken() === undefined) {
    await b.acquireOrRenew();
    isHeldByBoth =
      isHeldByBoth || (a.getFencingToken() !== undefined && b.getFencingToken() !== undefined);
    await clock.advance(500);
  }
  expect([a.getFencingToken(), b.getFencingToken(), isHeldByBoth]).toEqual([undefined, 2, false]);
});

test('a paused holder has lost its lease when it resumes, to one with a higher fencing token', async () => {
  const { clock, a, b } = setUp();
  await a.acquireOrRenew();
  await b.acquireOrRenew();
  await clock.advance(6000);
  await b.acquireOrRenew();
  expect(a.getFencingToken()).toBeUndefined();
  await a.acquireOrRenew();
  expect([a.getFencingToken(), b.getFencingToken()]).toEqual([undefined, 2]);
});
