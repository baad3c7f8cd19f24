import { getGrantTarget, getReturnRatio } from '../src';

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

test('a grant on an ample budget covers the use of 3 s, and of 14 s without the store', () => {
  const demand = { rate: 2000, limit: LIMIT, unallocated: LIMIT, instances: 89 };
  expect(getGrantTarget(demand)).toEqual({ spare: 6000, reserve: 28_000 });
});

test('a grant on a budget that runs out leaves most of the rest to other instances', () => {
  const demand = { rate: 2000, limit: LIMIT, unallocated: LIMIT / 50, instances: 89 };
  const { spare, reserve } = getGrantTarget(demand);
  expect(spare).toBeLessThan(2000 * 0.3);
  expect(reserve).toBeLessThan(2000 * 4.5);
});

test('in a small fleet the reserve covers long cuts while a budget runs out', () => {
  const demand = { rate: 200, limit: LIMIT, unallocated: LIMIT / 50, instances: 8 };
  expect(getGrantTarget(demand).reserve).toBe(2800);
});

test('a large fleet with an ample budget keeps tokens while their use pauses', () => {
  const demand = { rate: 0, limit: LIMIT, unallocated: LIMIT, instances: 89 };
  expect(getReturnRatio(demand)).toBe(8);
  expect(getReturnRatio({ ...demand, unallocated: 0 })).toBe(1.4);
  expect(getReturnRatio({ ...demand, instances: 8 })).toBe(1.4);
});
