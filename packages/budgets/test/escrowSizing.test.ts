import { getGrantTarget } from '../src';

const LIMIT = 1_000_000;

test('an idle instance of a small fleet holds a share of the budget', () => {
  const demand = { rate: 0, limit: LIMIT, unallocated: LIMIT, instances: 8 };
  expect(getGrantTarget(demand)).toEqual({ spare: 6250, reserve: 62_500 });
});

test('an idle instance of a large fleet holds nothing', () => {
  const demand = { rate: 0, limit: LIMIT, unallocated: LIMIT, instances: 89 };
  expect(getGrantTarget(demand)).toEqual({ spare: 0, reserve: 0 });
});

test('whether idle instances hold a share does not depend on what is unallocated', () => {
  const demand = { rate: 0, limit: LIMIT, unallocated: LIMIT / 100, instances: 8 };
  expect(getGrantTarget(demand).reserve).toBe(625);
});
