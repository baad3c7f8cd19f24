import { createManualClock } from '@pomeloroad/core';
import { createMemoryTable } from '@pomeloroad/storage';
import { createAnswer, createAnswerStore, createClaims, issueKey, parseIssuedKey } from '../src';
import type { AnswerEvent } from '../src';

const self = { instance: 'a', incarnation: 'a-1', dataCentre: 'kent' };
const name = { account: 'dispatch', key: 'k' };
const delta = (text: string): AnswerEvent => ({ kind: 'delta', text });

test('a reader can start at any position of an answer', async () => {
  const answer = createAnswer();
  answer.append(delta('a'));
  answer.append(delta('b'));
  const waiting = answer.read(2);
  answer.finish({ kind: 'complete' });
  expect(await answer.read(1)).toMatchObject({ from: 1, events: [delta('b')] });
  expect(await waiting).toEqual({ from: 2, events: [], end: { kind: 'complete' } });
});

test('a part beyond the end of an answer begins where the answer ends', async () => {
  const answer = createAnswer();
  answer.append(delta('a'));
  const waiting = answer.read(3);
  answer.finish({ kind: 'complete' });
  expect(await waiting).toEqual({ from: 1, events: [], end: { kind: 'complete' } });
});

test('finishing an answer again does not change its end', async () => {
  const answer = createAnswer();
  answer.finish({ kind: 'complete' });
  const refusal = { code: 'endpoint_failed', ran: 'unknown', message: '' } as const;
  answer.finish({ kind: 'refused', refusal });
  expect((await answer.read(0)).end).toEqual({ kind: 'complete' });
});

test('the writer waits for a slow reader, but not without readers', async () => {
  const answer = createAnswer();
  await answer.waitForBacklog(0);
  answer.attach();
  answer.append(delta('a'));
  let isDrained = false;
  const drained = answer.waitForBacklog(0).then(() => {
    isDrained = true;
  });
  await Promise.resolve();
  expect(isDrained).toBe(false);
  answer.read(1);
  await drained;
  expect(isDrained).toBe(true);
});

test('finished answers are evicted by age and by total size', async () => {
  const clock = createManualClock();
  const answers = createAnswerStore(clock, { retention: 1000, capacityBytes: 10 });
  ['one', 'two', 'three'].forEach((id) => {
    answers.create(id).append(delta('12345'));
    answers.retire(id, true);
  });
  expect(['one', 'two', 'three'].map((id) => answers.get(id) !== undefined)).toEqual([
    false,
    true,
    true,
  ]);
  await clock.advance(1000);
  expect([answers.count(), answers.retainedBytes()]).toEqual([0, 0]);
});

test('a name is claimed by one request only', async () => {
  const table = createMemoryTable();
  const claims = createClaims(createManualClock(), table, self);
  expect((await claims.claim(name, 'r1', 'd')).ok).toBe(true);
  expect((await claims.claim(name, 'r1', 'd')).ok).toBe(true);
  const second = await claims.claim(name, 'r2', 'd');
  expect(second.val).toMatchObject({ kind: 'taken', claim: { request: 'r1' } });
});

test('a claim is released only by the request that holds it', async () => {
  const table = createMemoryTable();
  const claims = createClaims(createManualClock(), table, self);
  await claims.claim(name, 'r1', 'd');
  await claims.release(name, 'r2');
  expect(table.rows()).toHaveLength(1);
  await claims.release(name, 'r1');
  expect((await claims.claim(name, 'r2', 'd')).ok).toBe(true);
});

test('two accounts can claim the same key', async () => {
  const claims = createClaims(createManualClock(), createMemoryTable(), self);
  await claims.claim(name, 'r1', 'd');
  expect((await claims.claim({ ...name, account: 'drivers' }, 'r2', 'd')).ok).toBe(true);
});

test('an issued key is accepted only with a valid signature', () => {
  const key = issueKey('fleet', self, 'dispatch');
  expect(parseIssuedKey('fleet', key)).toEqual({ issuer: self, account: 'dispatch' });
  expect(parseIssuedKey('other', key)).toBeUndefined();
  expect(parseIssuedKey('fleet', `${key}x`)).toBeUndefined();
  expect(parseIssuedKey('fleet', 'any-text')).toBeUndefined();
});
