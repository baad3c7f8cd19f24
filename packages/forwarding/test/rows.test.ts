import { decodeStatedLimit } from '../src/limits/statedLimitRows';
import { decodeOrigins } from '../src/origins/originRows';
import type { OriginsByName } from '../src/origins/originRows';

// Guards against processes that end because of a value in a row that no text can be made of.
test('names that are no texts add no origins', () => {
  const origins: OriginsByName = new Map();
  const odd = '{"toString":1,"valueOf":1}';
  const deep = '['.repeat(20_000) + ']'.repeat(20_000);
  decodeOrigins(`[["llm","v1",["a",${odd},${deep},7]],["llm","v2",{}]]`, origins);
  const origin = { service: 'llm', version: 'v1', isDoubted: false };
  expect([...origins]).toEqual([['a', [origin]]]);
});

test.each(['["e1",-1]', '["e1",1e999]', '["e1","5"]', '[7,5]', 'null', '['])(
  'a row %s holds no limit',
  (value) => {
    expect(decodeStatedLimit(value)).toBeUndefined();
  },
);
