import { createManualClock } from '@pomeloroad/core';
import { createLease, createMemoryTable } from '../src';

const DURATION_MS = 5000;

function setUp() {
  const clock = createManualClock();
  const table = createMemoryTable();
  const hold = (instance: string) => {
    const self = { instance, incarnation: `${instance}-1`, dataCentre: 'kent' };
    return createLease({ clock, table, self }, 'orders/kent', DURATION_MS);
  };
  return { clock, a: hold('a'), b: hold('b') };
}

test('one holds the lease while it renews', async () => {
  const { clock, a, b } = setUp();
  for (let second = 0; second < 20; second += 1) {
    await a.keep();
    await b.keep();
    expect([a.getFencing(), b.getFencing()]).toEqual([1, undefined]);
    await clock.advance(1000);
  }
});

test('a holder that falls silent has stopped before another one starts', async () => {
  const { clock, a, b } = setUp();
  await a.keep();
  let isHeldByBoth = false;
  while (b.getFencing() === undefined) {
    await b.keep();
    isHeldByBoth = isHeldByBoth || (a.getFencing() !== undefined && b.getFencing() !== undefined);
    await clock.advance(500);
  }
  expect([a.getFencing(), b.getFencing(), isHeldByBoth]).toEqual([undefined, 2, false]);
});

test('a paused holder that wakes finds its lease gone, and its number old', async () => {
  const { clock, a, b } = setUp();
  await a.keep();
  await b.keep();
  await clock.advance(6000);
  await b.keep();
  expect(a.getFencing()).toBeUndefined();
  await a.keep();
  expect([a.getFencing(), b.getFencing()]).toEqual([undefined, 2]);
});
