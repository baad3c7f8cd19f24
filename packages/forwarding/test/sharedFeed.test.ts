import { createManualClock, createSilentLog } from '@pomeloroad/core';
import { createMemoryRowStore } from '@pomeloroad/storage';
import type { RowStore } from '@pomeloroad/storage';
import { getSharedKey, startSharedFeed } from '../src/store/sharedFeed';
import type { SharedPartition } from '../src/store/sharedFeed';

// Follows two of the partitions; `seen` are the keys that each listener was told, in their order.
function createStand() {
  const clock = createManualClock();
  const memory = createMemoryRowStore();
  const calls = { list: 0, follow: 0 };
  const rows: RowStore = {
    transact: memory.transact,
    list(...args) {
      calls.list += 1;
      return memory.list(...args);
    },
    follow(...args) {
      calls.follow += 1;
      return memory.follow(...args);
    },
  };
  const { signal } = new AbortController();
  const feed = startSharedFeed({ clock, log: createSilentLog(), rows, signal });
  const seen: Record<string, string[]> = { limits: [], relays: [] };
  const listen = (partition: 'limits' | 'relays') =>
    feed.listen(partition, {
      onView: (view) => view.rows.forEach(({ key }) => seen[partition]?.push(`view ${key}`)),
      onChanges: (changes) => changes.forEach(({ key }) => seen[partition]?.push(key)),
    });
  listen('limits');
  listen('relays');
  const put = (partition: SharedPartition, key: string) =>
    memory.transact({
      checks: [],
      puts: [{ ...getSharedKey(partition, key), value: '' }],
      removals: [],
    });
  return { clock, memory, calls, feed, seen, put };
}

test('each listener is told the rows of its own partition', async () => {
  const { clock, seen, put } = createStand();
  await put('limits', 'a');
  await clock.advance(100);
  await put('relays', 'b');
  await put('limits', 'c');
  await clock.advance(3000);
  expect(seen).toEqual({ limits: ['a', 'c'], relays: ['b'] });
});

test('one call at a time follows all partitions', async () => {
  const { clock, calls } = createStand();
  await clock.advance(10_000);
  // The stand-in answers at once, so that only the pause of 100 ms lies between two calls.
  expect(calls.list).toBe(4);
  expect(calls.follow).toBeLessThanOrEqual(100);
});

test('after the store came back from an older copy all partitions are read again', async () => {
  const { clock, memory, seen, put } = createStand();
  await put('limits', 'a');
  await clock.advance(3000);
  const comeBack = memory.copy();
  await put('relays', 'b');
  await clock.advance(3000);
  comeBack();
  await clock.advance(3000);
  expect(seen).toEqual({ limits: ['a', 'view a'], relays: ['b'] });
});
