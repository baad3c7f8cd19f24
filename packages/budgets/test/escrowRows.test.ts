import { formatGrant, parseGrant, parseTotal } from '../src/escrowRows';

/** As rows of builds tell that did not name missing instances. */
const EARLIER = {
  instances: ['a'],
  carried: { 'a-1': 5 },
  writtenOff: 0,
  limit: 10,
  isUncertain: false,
  isOpen: true,
};
const RESTORATION = { ...EARLIER, missing: ['b'], missingTokens: 3, settled: ['a-1'] };

function parse(restoration: object) {
  return parseTotal(JSON.stringify({ allocated: 1, calls: 0, restoration }));
}

test('a row with a restoration is read', () => {
  expect(parse(RESTORATION)?.restoration).toEqual(RESTORATION);
});

test('a row of an earlier build, which names no missing instances, is read', () => {
  const added = { missing: [], missingTokens: 0, settled: [] };
  expect(parse(EARLIER)?.restoration).toEqual({ ...EARLIER, ...added });
});

test('a grant is read with its instance, and without it as earlier builds write it', () => {
  const grant = { held: 7, ceiling: 5 };
  expect(parseGrant(formatGrant(grant, 'a'))).toEqual({ ...grant, instance: 'a' });
  expect(parseGrant(JSON.stringify(grant))).toEqual(grant);
  expect(parseGrant(JSON.stringify({ ...grant, instance: 7 }))).toEqual(grant);
});

// Guards against processes that end because of a row of a budget that can't be read.
test.each([
  { carried: null },
  { carried: { 'a-1': -5 } },
  { instances: [7] },
  { limit: '10' },
  { missing: 'b' },
  { missingTokens: -1 },
  { settled: [7] },
])('a row whose restoration has %j can not be read', (fields) => {
  expect(parse({ ...RESTORATION, ...fields })).toBeUndefined();
});
