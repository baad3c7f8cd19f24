import { Err } from 'ts-results';
import { createManualClock, createRandom } from '@pomeloroad/core';
import { createBatchTable, createBreaker, createMemoryTable } from '../src';
import type { CommitError, Table, Transaction } from '../src';

function setUp(writesPerSecond = 100) {
  const clock = createManualClock();
  const memory = createMemoryTable();
  const sent: Transaction[] = [];
  const failures: CommitError[] = [];
  const table: Table = {
    ...memory,
    async commit(transaction) {
      sent.push(transaction);
      const failure = failures.shift();
      if (!failure) return memory.commit(transaction);
      if (failure.kind === 'unknown') await memory.commit(transaction);
      return Err(failure);
    },
  };
  const host = { clock, random: createRandom(1) };
  const batch = createBatchTable(host, table, { writesPerSecond, patience: 1000 });
  return { clock, memory, batch, sent, failures };
}

function put(key: string, version = 0): Transaction {
  return { checks: [{ key, version }], writes: [{ key, value: key }] };
}

test('independent transactions are merged into batches', async () => {
  const { clock, batch, sent, memory } = setUp(1);
  const first = Array.from({ length: 10 }, (_, i) => batch.commit(put(`burst-${i}`)));
  await clock.advance(0);
  const rest = Array.from({ length: 30 }, (_, i) => batch.commit(put(`row-${i}`)));
  await clock.advance(20_000);
  const outcomes = await Promise.all([...first, ...rest]);
  expect(outcomes.every((outcome) => outcome.ok)).toBe(true);
  expect(memory.rows()).toHaveLength(40);
  expect(sent.length).toBeLessThan(20);
});

test('a conflict rejects only its own transaction', async () => {
  const { clock, batch, memory } = setUp(1);
  await memory.commit(put('taken'));
  const outcomes = ['a', 'taken', 'b'].map((key) => batch.commit(put(key)));
  await clock.advance(5000);
  const kinds = (await Promise.all(outcomes)).map((outcome) =>
    outcome.ok ? 'ok' : outcome.val.kind,
  );
  expect(kinds).toEqual(['ok', 'conflict', 'ok']);
});

test('transactions on one row keep their order', async () => {
  const { clock, batch } = setUp();
  const outcomes = [batch.commit(put('row', 0)), batch.commit(put('row', 1))];
  await clock.advance(100);
  expect((await Promise.all(outcomes)).every((outcome) => outcome.ok)).toBe(true);
});

test('a transaction that did not run is retried', async () => {
  const { clock, batch, failures } = setUp();
  failures.push({ kind: 'unavailable', message: 'down' });
  const outcome = batch.commit(put('row'));
  await clock.advance(1000);
  expect((await outcome).ok).toBe(true);
});

test('a transaction that did not run is rejected when its retry time is over', async () => {
  const { clock, batch, failures } = setUp();
  const down: CommitError = { kind: 'unavailable', message: 'down' };
  failures.push(...Array.from({ length: 100 }, () => down));
  const outcome = batch.commit(put('row'));
  await clock.advance(5000);
  expect((await outcome).val).toEqual(down);
});

test('a transaction with an unknown outcome is not retried', async () => {
  const { clock, batch, failures, sent } = setUp();
  failures.push({ kind: 'unknown', message: 'no answer' });
  const outcome = batch.commit(put('row'));
  await clock.advance(5000);
  expect((await outcome).val).toMatchObject({ kind: 'unknown' });
  expect(sent).toHaveLength(1);
});

test('the breaker opens after failures and lets probes through', async () => {
  const clock = createManualClock();
  const changes: boolean[] = [];
  const breaker = createBreaker(clock, 500, (isOpen) => changes.push(isOpen));
  breaker.recordFailure();
  breaker.recordFailure();
  expect(breaker.allowCall()).toBe(true);
  breaker.recordFailure();
  expect(breaker.allowCall()).toBe(false);
  await clock.advance(500);
  expect(breaker.allowCall()).toBe(true);
  expect(breaker.allowCall()).toBe(false);
  breaker.recordSuccess();
  expect(breaker.allowCall()).toBe(true);
  expect(changes).toEqual([true, false]);
});
