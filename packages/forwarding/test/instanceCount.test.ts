import { Err } from 'ts-results';
import { createManualClock } from '@pomeloroad/core';
import { getLeaseKey } from '@pomeloroad/budgets';
import { createMemoryRowStore } from '@pomeloroad/storage';
import { startInstanceCount } from '../src/store/instanceCount';

/** Time of the store at which the newest leases were renewed. */
const NOW_MS = 100_000;

async function setUp(instances: number, older: Record<string, number> = {}) {
  const clock = createManualClock();
  const rows = createMemoryRowStore();
  async function renew(names: string[], at: number): Promise<void> {
    const value = JSON.stringify({ incarnation: 'life-1', at });
    const puts = names.map((name) => ({ ...getLeaseKey(name), value }));
    await rows.transact({ checks: [], puts, removals: [] });
  }
  const addLeases = (count: number) =>
    renew(
      Array.from({ length: count }, (_, index) => `instance-${index}`),
      NOW_MS,
    );
  await addLeases(instances);
  for (const [name, age] of Object.entries(older)) await renew([name], NOW_MS - age);
  const count = startInstanceCount({ clock, rows, signal: new AbortController().signal });
  await clock.advance(0);
  return { clock, rows, addLeases, renew, count };
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

test('no instances are listed before the leases have been read', async () => {
  const clock = createManualClock();
  const rows = createMemoryRowStore();
  const count = startInstanceCount({ clock, rows, signal: new AbortController().signal });
  expect(count.list()).toBeUndefined();
  await clock.advance(0);
  expect(count.list()).toEqual([]);
});

test('an instance whose lease was old at the start is not listed until it renews it', async () => {
  const { clock, count, renew } = await setUp(1, { recent: 20_000, former: 40_000 });
  expect(count.list()).toEqual(['instance-0', 'recent']);
  await renew(['former'], NOW_MS);
  await clock.advance(4000);
  expect(count.list()).toContain('former');
});

test('an instance whose lease the copy lacks is listed for 11 s after the rewind', async () => {
  const { clock, rows, count, renew } = await setUp(1);
  const rewind = rows.copy();
  await renew(['lost'], NOW_MS);
  await clock.advance(4000);
  await clock.advance(8000);
  rewind();
  await clock.advance(4000);
  await clock.advance(8000);
  expect(count.list()).toContain('lost');
  await clock.advance(4000);
  expect(count.list()).not.toContain('lost');
});

// Guards against a budget that awaits for 11 s an instance whose grants are known.
test('an instance that was not listed before the rewind is not listed for its lease in the copy', async () => {
  const { clock, rows, count, renew } = await setUp(1, { cut: 5000 });
  const rewind = rows.copy();
  await renew(['cut'], NOW_MS);
  for (let reading = 0; reading < 4; reading += 1) await clock.advance(4000);
  expect(count.list()).not.toContain('cut');
  rewind();
  await clock.advance(4000);
  expect(count.list()).not.toContain('cut');
  await renew(['cut'], NOW_MS + 20_000);
  await clock.advance(4000);
  expect(count.list()).toContain('cut');
});

test('a first reading that fails is tried again soon', async () => {
  const clock = createManualClock();
  const memory = createMemoryRowStore();
  let isAway = true;
  const list: typeof memory.list = async (table, partition) =>
    isAway ? Err({ kind: 'unavailable', message: 'away' }) : memory.list(table, partition);
  const rows = { ...memory, list };
  const count = startInstanceCount({ clock, rows, signal: new AbortController().signal });
  await clock.advance(400);
  isAway = false;
  await clock.advance(200);
  expect(count.list()).toEqual([]);
  expect(count.isConfirmed()).toBe(false);
  await clock.advance(4000);
  expect(count.isConfirmed()).toBe(true);
});
