import { createManualClock } from '@pomeloroad/core';
import { createOriginMemory } from '../src/origins/originMemory';
import type { OriginSource } from '../src/origins/originMemory';

const RENEWED_MAX = 1000;
const STREAMS_MAX = 1000;
const OLD = { service: 'llm', version: 'v1' };

// Guards against a memory that grows with each endpoint that has ever started again.
test('only the endpoints that started again last are remembered', () => {
  const memory = createOriginMemory(createManualClock());
  memory.doubt('first', 'v2', 1000);
  memory.doubt('second', 'v2', 1000);
  for (let index = 0; index < RENEWED_MAX - 1; index += 1) memory.doubt(`e${index}`, 'v2', 1000);
  memory.set('a', OLD, { kind: 'listed', endpoint: 'first' });
  memory.set('b', OLD, { kind: 'listed', endpoint: 'second' });
  expect(['a', 'b'].map(memory.isDoubted)).toEqual([false, true]);
});

test('a stream of an incarnation that told its start is doubted only if that has another version', () => {
  const memory = createOriginMemory(createManualClock());
  memory.set('proved', OLD, { kind: 'proved', incarnation: 'e/1' });
  memory.set('listed', OLD, { kind: 'listed', endpoint: 'e' });
  ['e', 'e/2'].forEach((name) => memory.doubt(name, 'v2', 1000));
  expect(['proved', 'listed'].map(memory.isDoubted)).toEqual([false, true]);
  memory.doubt('e/1', 'v2', 1000);
  expect(memory.isDoubted('proved')).toBe(true);
});

test('a stream of which nobody knows the incarnation is doubted, and recorded as such', () => {
  const memory = createOriginMemory(createManualClock());
  memory.set('a', OLD, { kind: 'unproved' });
  expect(memory.isDoubted('a')).toBe(true);
  expect(memory.list()).toEqual([['a', { ...OLD, isDoubted: true }]]);
});

test.each<OriginSource>([
  { kind: 'listed', endpoint: 'e' },
  { kind: 'proved', incarnation: 'e' },
])('a stream that was taken up where it began is doubted as before: %j', async (source) => {
  const clock = createManualClock();
  const memory = createOriginMemory(clock);
  memory.set('long ago', OLD, source);
  await clock.advance(1000);
  memory.set('a', OLD, source);
  await clock.advance(500);
  ['long ago', 'a'].forEach((stream) => memory.set(stream, OLD));
  memory.doubt('e', 'v2', 1000);
  expect(['long ago', 'a'].map(memory.isDoubted)).toEqual([false, true]);
  memory.set('a', OLD);
  expect(memory.isDoubted('a')).toBe(true);
});

test('a doubt does not give way to streams that begin later, and doubts are bounded too', () => {
  const memory = createOriginMemory(createManualClock());
  memory.set('a', OLD, { kind: 'unproved' });
  for (let index = 0; index < STREAMS_MAX + 1; index += 1) memory.set(`s${index}`, OLD);
  expect(memory.isDoubted('a')).toBe(true);
  expect(memory.hasDoubted()).toBe(true);
  expect(memory.list()).toHaveLength(STREAMS_MAX + 1);
  const doubted = Array.from({ length: STREAMS_MAX }, (_, index) => `d${index}`);
  doubted.forEach((stream) => memory.set(stream, OLD, { kind: 'unproved' }));
  expect(memory.list()).toHaveLength(2 * STREAMS_MAX);
});
