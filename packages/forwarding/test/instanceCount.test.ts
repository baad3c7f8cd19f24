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
  const countInstances = startInstanceCount({ clock, rows, signal: new AbortController().signal });
  await clock.advance(0);
  return { clock, addLeases, countInstances };
}

test('an instance that restarts counts the others at once', async () => {
  const { countInstances } = await setUp(89);
  expect(countInstances()).toBe(89);
});

test('instances that start together are counted some seconds later', async () => {
  const { clock, addLeases, countInstances } = await setUp(0);
  expect(countInstances()).toBe(8);
  await addLeases(89);
  await clock.advance(4000);
  expect(countInstances()).toBe(89);
});

test('a fleet may be smaller than the count at the start', async () => {
  const { clock, countInstances } = await setUp(3);
  expect(countInstances()).toBe(8);
  await clock.advance(4000);
  expect(countInstances()).toBe(3);
});
