import { createManualClock, createRandom, createSilentLog, Diagnostics } from '@pomeloroad/core';
import type { StoreVersion } from '@pomeloroad/storage';
import { encodeStatedLimit, getStatedLimitKey } from '../src/limits/statedLimitRows';
import { startStatedLimits } from '../src/limits/statedLimits';
import { createAnsweredRows } from './answeredRows';

const WRITE_TIME_MS = 250;
const REVIEW_TIME_MS = 2500;
const key = getStatedLimitKey('limits', 'e/1');
const createRow = (version: number, limit: number) => ({
  ...key,
  version,
  value: encodeStatedLimit({ endpoint: 'e/1', limit }),
});
const createRemoval = (version: number) => ({ ...key, version, value: undefined });

// One instance that knows of no limit; the store's answers and the feed come as the test says.
function createStand() {
  const { rows, feed, transactions, view, tell, commitAll } = createAnsweredRows();
  const clock = createManualClock();
  const limits = startStatedLimits(
    {
      clock,
      random: createRandom(1),
      log: createSilentLog(),
      rows,
      feed,
      signal: new AbortController().signal,
      isListed: () => true,
      apply: () => undefined,
    },
    { partition: 'limits', named: Diagnostics.rateLimitNamed, ended: Diagnostics.rateLimitEnded },
  );
  view({ era: 1, revision: 3 });
  return {
    clock,
    ...limits,
    view,
    tell,
    countWrites: () => transactions.length,
    /** Answers all transactions that have come, as committed at the version. */
    async answer(version: StoreVersion) {
      commitAll(version);
      await clock.advance(0);
    },
  };
}

// Names a limit and lets its row be written, at version 5; the answer is still under way.
async function write() {
  const stand = createStand();
  stand.note('e/1', 10, 0);
  await stand.clock.advance(WRITE_TIME_MS);
  expect(stand.countWrites()).toBe(1);
  return stand;
}

test('a limit whose row was removed before the answer came is written when it is named again', async () => {
  const { clock, note, tell, answer, countWrites, list } = await write();
  tell(createRow(5, 10));
  tell(createRemoval(6));
  await answer({ era: 1, revision: 5 });
  expect(list()).toEqual({});
  note('e/1', 10, clock.elapsed());
  await clock.advance(WRITE_TIME_MS);
  expect(countWrites()).toBe(2);
});

test('a limit whose row and removal are told at once has ended', async () => {
  const { clock, tell, answer, countWrites, list } = await write();
  tell(createRemoval(6));
  await answer({ era: 1, revision: 5 });
  expect(list()).toEqual({});
  await clock.advance(REVIEW_TIME_MS);
  expect(countWrites()).toBe(1);
});

test('a limit that was named again since its row was removed is written', async () => {
  const { clock, note, tell, answer, countWrites, list } = await write();
  tell(createRemoval(6));
  note('e/1', 10, clock.elapsed());
  await answer({ era: 1, revision: 5 });
  await clock.advance(REVIEW_TIME_MS);
  expect(list()).toEqual({ 'e/1': 10 });
  expect(countWrites()).toBe(2);
});

test('a limit whose row an older copy of the store has lost is written again', async () => {
  const { clock, view, answer, countWrites, list } = await write();
  view({ era: 2, revision: 1 });
  await answer({ era: 1, revision: 5 });
  await clock.advance(REVIEW_TIME_MS);
  expect(list()).toEqual({ 'e/1': 10 });
  expect(countWrites()).toBe(2);
});

test('a limit that another instance has written since is not written over', async () => {
  const { clock, tell, answer, countWrites, list } = await write();
  tell(createRow(7, 20));
  await answer({ era: 1, revision: 5 });
  await clock.advance(REVIEW_TIME_MS);
  expect(list()).toEqual({ 'e/1': 20 });
  expect(countWrites()).toBe(1);
});

test('a row that was written since its removal is known when the answer comes', async () => {
  const { clock, note, tell, answer, countWrites, list } = await write();
  await answer({ era: 1, revision: 5 });
  tell(createRow(5, 10));
  note('e/1', undefined, clock.elapsed());
  await clock.advance(WRITE_TIME_MS);
  expect(countWrites()).toBe(2);
  tell(createRemoval(6));
  tell(createRow(7, 20));
  await answer({ era: 1, revision: 6 });
  await clock.advance(REVIEW_TIME_MS);
  expect(list()).toEqual({ 'e/1': 20 });
  expect(countWrites()).toBe(2);
});

test('a limit is written once, also if the feed tells its row late', async () => {
  const { clock, answer, countWrites } = await write();
  await answer({ era: 1, revision: 5 });
  await clock.advance(REVIEW_TIME_MS);
  expect(countWrites()).toBe(1);
});

test.each(['before', 'after'])(
  'a limit that ends while its row is written, told %s the answer, is removed',
  async (order) => {
    const { clock, note, tell, answer, countWrites, list } = await write();
    note('e/1', undefined, clock.elapsed());
    await clock.advance(WRITE_TIME_MS);
    if (order === 'before') tell(createRow(5, 10));
    await answer({ era: 1, revision: 5 });
    if (order === 'after') tell(createRow(5, 10));
    expect(countWrites()).toBe(2);
    await answer({ era: 1, revision: 6 });
    tell(createRemoval(6));
    expect(list()).toEqual({});
    await clock.advance(REVIEW_TIME_MS);
    expect(countWrites()).toBe(2);
  },
);

test('a limit that ends and is named again while its row is written stays', async () => {
  const { clock, note, answer, countWrites, list } = await write();
  note('e/1', undefined, clock.elapsed());
  note('e/1', 10, clock.elapsed());
  await answer({ era: 1, revision: 5 });
  await clock.advance(REVIEW_TIME_MS);
  expect(list()).toEqual({ 'e/1': 10 });
  expect(countWrites()).toBe(1);
});

test('a limit that another instance writes after the removal of one that has ended is known', async () => {
  const { clock, note, tell, answer, countWrites, list } = await write();
  note('e/1', undefined, clock.elapsed());
  await answer({ era: 1, revision: 5 });
  expect(countWrites()).toBe(2);
  tell(createRow(5, 10));
  expect(list()).toEqual({});
  tell(createRow(7, 20));
  await answer({ era: 1, revision: 6 });
  await clock.advance(REVIEW_TIME_MS);
  expect(list()).toEqual({ 'e/1': 20 });
  expect(countWrites()).toBe(2);
});
