import { createManualClock } from '@pomeloroad/core';
import { createOriginMemory } from '../src/origins/originMemory';

const RENEWED_MAX = 1000;
const OLD = { service: 'llm', version: 'v1' };

// Guards against a memory that grows with each endpoint that has ever started again.
test('only the endpoints that started again last are remembered', () => {
  const memory = createOriginMemory(createManualClock());
  memory.doubt('first', 'v2', 1000);
  memory.doubt('second', 'v2', 1000);
  for (let index = 0; index < RENEWED_MAX - 1; index += 1) memory.doubt(`e${index}`, 'v2', 1000);
  memory.set('a', OLD, 'first');
  memory.set('b', OLD, 'second');
  expect(['a', 'b'].map(memory.isDoubted)).toEqual([false, true]);
});
