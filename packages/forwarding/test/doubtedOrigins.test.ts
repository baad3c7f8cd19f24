import { createManualClock } from '@pomeloroad/core';
import { createMemoryRowStore } from '@pomeloroad/storage';
import { find, LLM_V1, REMEMBERED_MS, startInstance } from './originInstances';

test('the first event of a stream in doubt waits no longer than its run', async () => {
  const clock = createManualClock();
  const one = startInstance(clock, createMemoryRowStore(), 'one', ['v1']);
  await clock.advance(REMEMBERED_MS);
  one.loseStore();
  const stop = new AbortController();
  let isNoted = false;
  const noted = one.note('a', LLM_V1, { kind: 'unproved' }, stop.signal).then(() => {
    isNoted = true;
  });
  await clock.advance(100);
  expect(isNoted).toBe(false);
  stop.abort();
  await clock.advance(0);
  expect(isNoted).toBe(true);
  await noted;
});

test('a stream that was taken up is in doubt once that is recorded where it began', async () => {
  const clock = createManualClock();
  const store = createMemoryRowStore();
  const one = startInstance(clock, store, 'one', ['v1', 'v2']);
  const two = startInstance(clock, store, 'two', ['v1', 'v2']);
  await clock.advance(REMEMBERED_MS);
  one.note('a', LLM_V1, { kind: 'listed', endpoint: 'e' });
  await clock.advance(200);
  // Takes 2 s, and the doubt reaches 2.5 s back.
  expect(await find(clock, two, 'a')).toMatchObject({ kind: 'known', source: 'store' });
  two.note('a', LLM_V1);
  one.doubt('e', 'v2');
  await clock.advance(200);
  expect(await find(clock, two, 'a')).toEqual({ kind: 'unknown', reason: 'doubted' });
});

test('a version that came and went elsewhere counts before a stream of it is recorded', async () => {
  const clock = createManualClock();
  const store = createMemoryRowStore();
  const one = startInstance(clock, store, 'one', ['v1', 'v2']);
  const two = startInstance(clock, store, 'two', ['v1']);
  await clock.advance(REMEMBERED_MS);
  one.note('a', { service: 'llm', version: 'v2' });
  expect(await find(clock, two, 'a')).not.toEqual({ kind: 'any' });
});

test('a stream whose rest came from the only version known is asked for its doubt too', async () => {
  const clock = createManualClock();
  const store = createMemoryRowStore();
  const one = startInstance(clock, store, 'one', ['v1']);
  const two = startInstance(clock, store, 'two', ['v1']);
  await clock.advance(REMEMBERED_MS);
  one.note('a', LLM_V1, { kind: 'listed', endpoint: 'e' });
  await clock.advance(200);
  expect(await find(clock, two, 'a')).toEqual({ kind: 'any' });
  two.note('a', LLM_V1, { kind: 'proved', incarnation: 'f/1', isRest: true });
  one.doubt('e', 'v2');
  await clock.advance(200);
  expect(await find(clock, two, 'a')).toEqual({ kind: 'unknown', reason: 'doubted' });
});

test('a doubt is recorded again after the store came back from an older copy', async () => {
  const clock = createManualClock();
  const store = createMemoryRowStore();
  const one = startInstance(clock, store, 'one', ['v1']);
  const two = startInstance(clock, store, 'two', ['v1']);
  await clock.advance(REMEMBERED_MS);
  const rewind = store.copy();
  one.note('a', LLM_V1, { kind: 'unproved' });
  await clock.advance(1000);
  rewind();
  one.setEra(2);
  await clock.advance(1000);
  expect(await find(clock, two, 'a')).toEqual({ kind: 'unknown', reason: 'doubted' });
});
