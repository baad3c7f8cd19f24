import { createManualClock } from '@pomeloroad/core';
import { getLeaseKey } from '@pomeloroad/budgets';
import { createMemoryRowStore } from '@pomeloroad/storage';
import { startInstanceCount } from '../src/store/instanceCount';

async function setUp(instances: number) {
  const clock = createManualClock();
  const rows = createMemoryRowStore();
  async function addLeases(count: number): Promise<void> {
    const names = Array.from({ length: count }, (_, index) => `instance-${index}`);
    const puts = names.map((name) => ({ ...getLeaseKey(name), value: '{}' }));
    await rows.transact({ checks: [], puts, removals: [] });
  }
  await addLeases(instances);
  const count = startInstanceCount({ clock, rows, signal: new AbortController().signal });
  await clock.advance(0);
  return { clock, addLeases, count };
}

test('an instance that restarts counts the others at once', async () => {
  const { count } = await setUp(89);
  expect(count.get()).toBe(89);
});

test('instances that start together are counted some seconds later', async () => {
  const { clock, addLeases, count } = await setUp(0);
  expect(count.get()).toBe(8);
  expect(count.isConfirmed()).toBe(false);
  await addLeases(89);
  await clock.advance(4000);
  expect(count.get()).toBe(89);
  expect(count.isConfirmed()).toBe(true);
});

test('a fleet may be smaller than the count at the start', async () => {
  const { clock, count } = await setUp(3);
  expect(count.get()).toBe(8);
  await clock.advance(4000);
  expect(count.get()).toBe(3);
});
