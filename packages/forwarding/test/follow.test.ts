import { Ok } from 'ts-results';
import { createManualClock, createSilentLog, sleep } from '@pomeloroad/core';
import type { ManualClock } from '@pomeloroad/core';
import { createMemoryRowStore } from '@pomeloroad/storage';
import type { ChangeView, RowStore, VersionedRow } from '@pomeloroad/storage';
import { followTable } from '../src';

const key = { table: 'op', partition: '', key: 'config' };

const row = (version: number, value: string): VersionedRow => ({ ...key, version, value });

// Follows the table until `stop` is called; `seen` are the values in the order of their arrival.
function follow(clock: ManualClock, rows: RowStore) {
  const stop = new AbortController();
  const seen: string[] = [];
  const followed = followTable(
    { clock, log: createSilentLog(), rows, signal: stop.signal },
    {
      table: 'op',
      partitions: [''],
      pause: 100,
      onView: (view) => view.rows.forEach(({ value }) => seen.push(value)),
      onChanges: (changes) => changes.forEach(({ value }) => seen.push(value ?? '')),
      onUnavailable: () => undefined,
      onAvailable: () => undefined,
    },
  );
  return { seen, refresh: followed.refresh, stop: () => stop.abort() };
}

test('an answer of an older era that comes late is dropped', async () => {
  const clock = createManualClock();
  const answers: ChangeView[] = [
    { changes: [row(9, 'old')], version: 9, era: 1 },
    { changes: [row(4, 'newer')], version: 4, era: 2 },
  ];
  const { seen, stop } = follow(clock, {
    transact: async () => Ok({ era: 1, revision: 0 }),
    list: async () => Ok({ rows: [row(3, 'listed')], version: 3, era: 2, now: 0 }),
    follow: async () => Ok(answers.shift() ?? { changes: [], version: 4, era: 2 }),
  });
  await clock.advance(1000);
  stop();
  expect(seen).toEqual(['listed', 'listed', 'newer']);
});

test('a change whose version was given out before a rewind is not missed', async () => {
  const clock = createManualClock();
  const memory = createMemoryRowStore();
  let lists = 0;
  const put = (change: object) =>
    memory.transact({ checks: [], puts: [{ ...key, value: '', ...change }], removals: [] });
  const rewind = memory.copy();
  for (let count = 0; count < 9; count += 1) await put({ key: 'lost', value: `${count}` });
  const { seen, stop } = follow(clock, {
    ...memory,
    list(table, partition) {
      lists += 1;
      return memory.list(table, partition);
    },
  });
  await clock.advance(500);
  rewind();
  await put({ value: 'after the rewind' });
  for (let count = 0; count < 20; count += 1) await put({ table: 'other', value: `${count}` });
  await clock.advance(1000);
  stop();
  expect(seen).toEqual(['8', 'after the rewind']);
  expect(lists).toBe(2);
});

test('a reading that is older than the feed brings no removed row back', async () => {
  const clock = createManualClock();
  const memory = createMemoryRowStore();
  await memory.transact({ checks: [], puts: [{ ...key, value: 'listed' }], removals: [] });
  let delay = 0;
  const { seen, refresh, stop } = follow(clock, {
    ...memory,
    async list(table, partition) {
      const view = await memory.list(table, partition);
      await sleep(clock, delay);
      return view;
    },
  });
  await clock.advance(200);
  delay = 300;
  const refreshed = refresh();
  await memory.transact({ checks: [], puts: [], removals: [key] });
  await clock.advance(1000);
  expect(await refreshed).toBe(true);
  stop();
  expect(seen).toEqual(['listed', '']);
});

test('changes after a version of an older era are not taken for all changes', async () => {
  const clock = createManualClock();
  let era = 1;
  let answer: ((view: ChangeView) => void) | undefined;
  const { seen, refresh, stop } = follow(clock, {
    transact: async () => Ok({ era: 1, revision: 0 }),
    list: async () => Ok({ rows: [row(3, `listed in ${era}`)], version: 3, era, now: 0 }),
    follow: (_table, after) =>
      new Promise((resolve) => {
        answer = (view) => resolve(Ok(view));
        if (after === 9) resolve(Ok({ changes: [], version: 9, era }));
      }),
  });
  await clock.advance(200);
  era = 2;
  await refresh();
  // The call was sent before the rewind, so what changed before its version is missing.
  answer?.({ changes: [row(9, 'changed')], version: 9, era });
  await clock.advance(200);
  stop();
  expect(seen).toEqual(['listed in 1', 'listed in 2', 'listed in 2']);
});

test('changes that are older than a reading do not undo it', async () => {
  const clock = createManualClock();
  const memory = createMemoryRowStore();
  await memory.transact({ checks: [], puts: [{ ...key, value: 'listed' }], removals: [] });
  let delay = 0;
  const { seen, refresh, stop } = follow(clock, {
    ...memory,
    async follow(table, after, wait) {
      const view = await memory.follow(table, after, wait);
      await sleep(clock, delay);
      return view;
    },
  });
  await clock.advance(200);
  delay = 300;
  await memory.transact({ checks: [], puts: [{ ...key, value: 'renewed' }], removals: [] });
  await clock.advance(100);
  await memory.transact({ checks: [], puts: [], removals: [key] });
  await refresh();
  await clock.advance(1000);
  stop();
  expect(seen).toEqual(['listed']);
});

test('an answer of the era before that comes after a reading of the next one is dropped', async () => {
  const clock = createManualClock();
  let era = 1;
  const answers: ((view: ChangeView) => void)[] = [];
  const asked: number[] = [];
  const { seen, refresh, stop } = follow(clock, {
    transact: async () => Ok({ era: 1, revision: 0 }),
    list: async () => Ok({ rows: [row(3, `listed in ${era}`)], version: 3, era, now: 0 }),
    follow: (_table, after) => {
      asked.push(after);
      return new Promise((resolve) => {
        answers.push((view) => resolve(Ok(view)));
      });
    },
  });
  await clock.advance(200);
  era = 2;
  await refresh();
  answers[0]?.({ changes: [row(9, 'lost')], version: 9, era: 1 });
  await clock.advance(400);
  stop();
  expect(seen).toEqual(['listed in 1', 'listed in 2', 'listed in 2']);
  expect(asked).toEqual([3, 3]);
});
