import { Err } from 'ts-results';
import { createManualClock } from '@pomeloroad/core';
import { createMemoryTable } from '@pomeloroad/storage';
import type { CommitError, Table } from '@pomeloroad/storage';
import { createLedger } from '../src';
import type { Grant } from '../src';

const BUDGET = 'dispatch/routes';

function setUp() {
  const memory = createMemoryTable();
  const failures: (CommitError & { hasEffect: boolean })[] = [];
  const table: Table = {
    ...memory,
    async commit(transaction) {
      const failure = failures.shift();
      if (!failure) return memory.commit(transaction);
      if (failure.hasEffect) await memory.commit(transaction);
      return Err(failure);
    },
  };
  const lose = (hasEffect: boolean) =>
    failures.push({ kind: 'unknown', message: 'no answer', hasEffect });
  return { ledger: createLedger({ clock: createManualClock(), table }), memory, lose };
}

function grant(id: string): Grant {
  const holder = { instance: 'a', incarnation: '1', dataCentre: 'kent' };
  const empty = { size: 0, spent: 0, sequence: 0, writtenOff: 0 };
  return { id, version: 0, row: { budget: BUDGET, holder, state: 'open', ...empty } };
}

test('a repeated top-up has no effect', async () => {
  const { ledger } = setUp();
  expect((await ledger.topUp(BUDGET, 'one', 100)).val).toBe('added');
  expect((await ledger.topUp(BUDGET, 'one', 100)).val).toBe('repeated');
  expect((await ledger.topUp(BUDGET, 'one', 200)).val).toMatchObject({ kind: 'mismatch' });
  expect((await ledger.readBudget(BUDGET)).unwrap().toppedUp).toBe(100);
});

test.each([true, false])('a top-up with a lost reply counts once (effect: %s)', async (effect) => {
  const { ledger, lose } = setUp();
  lose(effect);
  expect((await ledger.topUp(BUDGET, 'one', 100)).ok).toBe(true);
  expect((await ledger.readBudget(BUDGET)).unwrap().toppedUp).toBe(100);
});

test.each([true, false])('a growth with a lost reply counts once (effect: %s)', async (effect) => {
  const { ledger, lose } = setUp();
  await ledger.topUp(BUDGET, 'one', 100);
  const opened = (await ledger.resize(grant('g'), () => 40, false)).unwrap();
  lose(effect);
  const grown = (await ledger.resize(opened, () => 70, false)).unwrap();
  expect(grown.row.size).toBe(70);
  expect((await ledger.readBudget(BUDGET)).unwrap().open).toEqual({ g: 70 });
});

test('a grant never exceeds the unallocated tokens', async () => {
  const { ledger } = setUp();
  await ledger.topUp(BUDGET, 'one', 100);
  await ledger.resize(grant('g'), (left) => Math.min(left, 80), false);
  const second = await ledger.resize(grant('h'), (left) => Math.min(left, 80), false);
  expect(second.unwrap().row.size).toBe(20);
});

test('a closed grant returns its unspent tokens to the budget', async () => {
  const { ledger } = setUp();
  await ledger.topUp(BUDGET, 'one', 100);
  const opened = (await ledger.resize(grant('g'), () => 80, false)).unwrap();
  await ledger.close(opened, 30, 2);
  const row = (await ledger.readBudget(BUDGET)).unwrap();
  expect(row).toEqual({ toppedUp: 100, credited: 0, closedSpent: 30, open: {} });
});

test('a sealed grant rejects further writes of its holder', async () => {
  const { ledger } = setUp();
  await ledger.topUp(BUDGET, 'one', 100);
  const opened = (await ledger.resize(grant('g'), () => 80, false)).unwrap();
  const settled = (await ledger.settle(opened, 10, 1)).unwrap();
  await ledger.seal(opened, (row) => row.size);
  expect((await ledger.settle(settled, 20, 2)).val).toEqual({ kind: 'sealed' });
  expect((await ledger.resize(settled, () => 90, false)).val).toEqual({ kind: 'sealed' });
  expect((await ledger.readBudget(BUDGET)).unwrap().closedSpent).toBe(80);
});

test('a late settlement does not lower the spent tokens or the sequence', async () => {
  const { ledger } = setUp();
  await ledger.topUp(BUDGET, 'one', 100);
  const opened = (await ledger.resize(grant('g'), () => 80, false)).unwrap();
  await ledger.settle(opened, 30, 3);
  const late = (await ledger.settle(opened, 10, 1)).unwrap();
  expect(late.row).toMatchObject({ spent: 30, sequence: 3 });
});
