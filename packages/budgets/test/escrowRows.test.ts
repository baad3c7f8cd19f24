import { parseTotal } from '../src/escrowRows';

/** As rows of builds tell that did not name missing instances. */
const EARLIER = {
  instances: ['a'],
  carried: { 'a-1': 5 },
  writtenOff: 0,
  limit: 10,
  isUncertain: false,
  isOpen: true,
};
const RESTORATION = { ...EARLIER, missing: ['b'], missingTokens: 3 };

function parse(restoration: object) {
  return parseTotal(JSON.stringify({ allocated: 1, calls: 0, restoration }));
}

test('a row with a restoration is read', () => {
  expect(parse(RESTORATION)?.restoration).toEqual(RESTORATION);
});

test('a row of an earlier build, which names no missing instances, is read', () => {
  expect(parse(EARLIER)?.restoration).toEqual({ ...EARLIER, missing: [], missingTokens: 0 });
});

// Guards against processes that end because of a row of a budget that can't be read.
test.each([
  { carried: null },
  { carried: { 'a-1': -5 } },
  { instances: [7] },
  { limit: '10' },
  { missing: 'b' },
  { missingTokens: -1 },
])('a row whose restoration has %j can not be read', (fields) => {
  expect(parse({ ...RESTORATION, ...fields })).toBeUndefined();
});
