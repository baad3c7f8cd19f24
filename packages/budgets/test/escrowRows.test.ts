import { parseTotal } from '../src/escrowRows';

const RESTORATION = {
  instances: ['a'],
  carried: { 'a-1': 5 },
  writtenOff: 0,
  limit: 10,
  isUncertain: false,
  isOpen: true,
};

function parse(restoration: object) {
  return parseTotal(JSON.stringify({ allocated: 1, calls: 0, restoration }));
}

test('a row with a restoration is read', () => {
  expect(parse(RESTORATION)?.restoration).toEqual(RESTORATION);
});

// Guards against processes that end because of a row of a budget that can't be read.
test.each([{ carried: null }, { carried: { 'a-1': -5 } }, { instances: [7] }, { limit: '10' }])(
  'a row whose restoration has %j can not be read',
  (fields) => {
    expect(parse({ ...RESTORATION, ...fields })).toBeUndefined();
  },
);
