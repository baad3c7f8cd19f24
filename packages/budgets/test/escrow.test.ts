import { sleep } from '@pomeloroad/core';
import type { Milliseconds } from '@pomeloroad/core';
import { BUDGET_TABLE, getLeaseKey } from '../src';
import { ACCOUNT, createFleet } from './escrowHarness';

const LIMIT = 10_000;
const MAX_WAIT_MS = 500;

async function setUp(count: number, limit = LIMIT) {
  const fleet = createFleet(count);
  const escrows = fleet.members.map((run) => run.escrow);
  escrows.forEach((escrow) => escrow.setLimits(new Map([[ACCOUNT, limit]])));
  await fleet.clock.advance(0);
  return { ...fleet, escrows };
}

test('a request that the grant covers gets its tokens at once', async () => {
  const { clock, escrows } = await setUp(1);
  const [escrow] = escrows;
  escrow!.rebalance(0);
  await clock.advance(0);
  expect((await escrow!.reserve(ACCOUNT, 100, MAX_WAIT_MS)).ok).toBe(true);
});

test('the whole budget can be spent from one of many instances', async () => {
  const { clock, escrows, deliverChanges } = await setUp(8);
  escrows.forEach((escrow) => escrow.rebalance(0));
  await clock.advance(0);
  const reserved = escrows[0]!.reserve(ACCOUNT, LIMIT, MAX_WAIT_MS);
  for (let round = 0; round < 10; round += 1) {
    await deliverChanges();
    await clock.advance(20);
  }
  expect((await reserved).ok).toBe(true);
});

test('a request over the budget is refused as exhausted', async () => {
  const { clock, escrows } = await setUp(2);
  const reserved = escrows[0]!.reserve(ACCOUNT, LIMIT + 1, MAX_WAIT_MS);
  await clock.advance(MAX_WAIT_MS);
  expect((await reserved).val).toEqual({ kind: 'exhausted' });
});

test('the next requests of an exhausted account are refused at once', async () => {
  const { clock, escrows, store } = await setUp(2);
  const reserve = (tokens: number) => escrows[0]!.reserve(ACCOUNT, tokens, MAX_WAIT_MS);
  const first = reserve(LIMIT - 10);
  await clock.advance(100);
  const spending = (await first).unwrap();
  const refused = reserve(1000);
  await clock.advance(MAX_WAIT_MS);
  expect((await refused).val).toEqual({ kind: 'exhausted' });
  const calls = store.countCalls();
  const next = await Promise.race([reserve(1500), sleep(clock, 1)]);
  expect(next?.val).toEqual({ kind: 'exhausted' });
  expect(store.countCalls()).toBe(calls);
  // What a settlement frees, and what is enough for a smaller request, is given out all the same.
  const small = reserve(10);
  await clock.advance(100);
  expect((await small).ok).toBe(true);
  spending.settle(5000);
  expect((await reserve(1500)).ok).toBe(true);
});

test('a request that waits for tokens is refused with one that needed no more', async () => {
  const { clock, escrows } = await setUp(2);
  const reserve = (tokens: number) => escrows[0]!.reserve(ACCOUNT, tokens, MAX_WAIT_MS);
  reserve(LIMIT - 10);
  await clock.advance(100);
  const first = reserve(1000);
  await clock.advance(MAX_WAIT_MS / 2);
  const second = reserve(1000);
  await clock.advance(MAX_WAIT_MS / 2);
  expect((await first).val).toEqual({ kind: 'exhausted' });
  expect((await Promise.race([second, sleep(clock, 1)]))?.val).toEqual({ kind: 'exhausted' });
});

test('a request that had little time to wait tells nothing to the next one', async () => {
  const { clock, escrows, deliverChanges } = await setUp(2);
  const held = escrows[1]!.reserve(ACCOUNT, LIMIT, MAX_WAIT_MS);
  await clock.advance(0);
  (await held).unwrap().settle(LIMIT / 2);
  const brief = escrows[0]!.reserve(ACCOUNT, LIMIT / 2, 20);
  await clock.advance(20);
  expect((await brief).err).toBe(true);
  const patient = escrows[0]!.reserve(ACCOUNT, LIMIT / 2, MAX_WAIT_MS);
  await deliverChanges();
  await clock.advance(100);
  await deliverChanges();
  await clock.advance(100);
  expect((await Promise.race([patient, sleep(clock, 1)]))?.ok).toBe(true);
});

test('an exhausted account is served at once after a top-up', async () => {
  const { clock, escrows } = await setUp(1);
  const [escrow] = escrows;
  const refused = escrow!.reserve(ACCOUNT, LIMIT + 1, MAX_WAIT_MS);
  await clock.advance(MAX_WAIT_MS);
  expect((await refused).val).toEqual({ kind: 'exhausted' });
  escrow!.setLimits(new Map([[ACCOUNT, LIMIT + 1]]));
  const served = escrow!.reserve(ACCOUNT, LIMIT + 1, MAX_WAIT_MS);
  await clock.advance(50);
  expect((await served).ok).toBe(true);
});

test('tokens that others return end the refusals of an exhausted account', async () => {
  const { clock, escrows, deliverChanges } = await setUp(2);
  const [escrow, other] = escrows;
  const held = other!.reserve(ACCOUNT, LIMIT, MAX_WAIT_MS);
  await clock.advance(0);
  const refused = escrow!.reserve(ACCOUNT, 1000, MAX_WAIT_MS);
  await clock.advance(MAX_WAIT_MS);
  expect((await refused).val).toEqual({ kind: 'exhausted' });
  (await held).unwrap().settle(2000);
  other!.rebalance(0);
  await clock.advance(0);
  await deliverChanges();
  const served = escrow!.reserve(ACCOUNT, 1000, MAX_WAIT_MS);
  await clock.advance(50);
  expect((await served).ok).toBe(true);
});

test('tokens that a settled request did not spend are free for other instances', async () => {
  const { clock, escrows, deliverChanges } = await setUp(2);
  const first = escrows[0]!.reserve(ACCOUNT, LIMIT, MAX_WAIT_MS);
  await clock.advance(0);
  (await first).unwrap().settle(1000);
  escrows[0]!.rebalance(0);
  await clock.advance(0);
  await deliverChanges();
  const second = escrows[1]!.reserve(ACCOUNT, LIMIT - 1000, MAX_WAIT_MS);
  for (let round = 0; round < 10; round += 1) {
    await deliverChanges();
    await clock.advance(20);
  }
  expect((await second).ok).toBe(true);
});

test('requests do not wait for a store that does not answer', async () => {
  const { state, escrows } = await setUp(1);
  state.isStoreUnresponsive = true;
  expect((await escrows[0]!.reserve(ACCOUNT, 1, MAX_WAIT_MS)).val).toEqual({
    kind: 'unreachable',
    retryAfter: 3000,
  });
});

test('a transaction that the store refused once is retried', async () => {
  const { clock, store, escrows } = await setUp(1);
  store.plannedOutcomes.push('refused');
  const reserved = escrows[0]!.reserve(ACCOUNT, 100, MAX_WAIT_MS);
  await clock.advance(MAX_WAIT_MS);
  expect((await reserved).ok).toBe(true);
});

test('a late write is counted once', async () => {
  const { clock, store, escrows } = await setUp(1);
  store.plannedOutcomes.push('late');
  const reserved = escrows[0]!.reserve(ACCOUNT, 100, MAX_WAIT_MS);
  await clock.advance(0);
  expect((await reserved).val).toEqual({
    kind: 'unreachable',
    retryAfter: 3000,
  });
  await store.deliverLate();
  escrows[0]!.rebalance(0);
  await clock.advance(0);
  const [state] = escrows[0]!.describe();
  expect(state).toMatchObject({ isUncertain: false, held: state!.allocated, used: 0 });
});

test('a shutdown returns the tokens that were not spent', async () => {
  const { clock, escrows } = await setUp(1);
  const reserved = escrows[0]!.reserve(ACCOUNT, 100, MAX_WAIT_MS);
  await clock.advance(0);
  (await reserved).unwrap().settle(40);
  const released = escrows[0]!.release(1000);
  await clock.advance(500);
  await released;
  expect(escrows[0]!.describe()[0]).toMatchObject({ allocated: 40, held: 40, used: 40 });
});

test('a shutdown retries after store failures until the unused tokens are returned', async () => {
  const { clock, members, escrows } = await setUp(1);
  escrows[0]!.rebalance(0);
  await clock.advance(100);
  members[0]!.isCut = true;
  const released = escrows[0]!.release(3000);
  await clock.advance(1000);
  members[0]!.isCut = false;
  await clock.advance(2500);
  await released;
  expect(escrows[0]!.describe()[0]).toMatchObject({ allocated: 0, held: 0 });
});

test('an instance that is cut off from the store can spend its reserve', async () => {
  const { clock, members, escrows } = await setUp(1);
  escrows[0]!.rebalance(0);
  await clock.advance(600);
  members[0]!.isCut = true;
  const { held, ceiling } = escrows[0]!.describe()[0]!;
  expect(held).toBeGreaterThan(ceiling);
  const early = escrows[0]!.reserve(ACCOUNT, held, MAX_WAIT_MS);
  await clock.advance(7000);
  expect((await early).err).toBe(true);
  expect((await escrows[0]!.reserve(ACCOUNT, held, MAX_WAIT_MS)).ok).toBe(true);
});

test('early in a network cut only a part of the reserve may be spent', async () => {
  const { clock, members, escrows } = await setUp(1);
  escrows[0]!.rebalance(0);
  await clock.advance(600);
  members[0]!.isCut = true;
  await clock.advance(3500);
  const { held, ceiling } = escrows[0]!.describe()[0]!;
  const part = Math.floor((held - ceiling) * 0.3);
  expect((await escrows[0]!.reserve(ACCOUNT, ceiling + part, MAX_WAIT_MS)).ok).toBe(true);
  const rest = escrows[0]!.reserve(ACCOUNT, part, 100);
  await clock.advance(100);
  expect((await rest).err).toBe(true);
});

test('a request waits for a reserve that may be spent soon, and is given a retry time else', async () => {
  const { clock, state, members, escrows } = await setUp(1);
  escrows[0]!.rebalance(0);
  await clock.advance(600);
  members[0]!.isCut = true;
  state.isStoreUnresponsive = true;
  await clock.advance(3000);
  const { held, ceiling } = escrows[0]!.describe()[0]!;
  const soon = escrows[0]!.reserve(ACCOUNT, ceiling + (held - ceiling) * 0.25, MAX_WAIT_MS);
  const late = await escrows[0]!.reserve(ACCOUNT, held, MAX_WAIT_MS);
  expect(late.val).toEqual({ kind: 'unreachable', retryAfter: 2650 });
  await clock.advance(350);
  expect((await soon).ok).toBe(true);
});

/** Kills an instance and starts it again; returns what it held before and what counts as granted after. */
async function restartAfter(downTime: Milliseconds) {
  const { clock, members, start, store } = await setUp(1);
  members[0]!.escrow.rebalance(0);
  await clock.advance(600);
  const { held, ceiling } = members[0]!.escrow.describe()[0]!;
  members[0]!.kill();
  await clock.advance(downTime);
  const restarted = start('instance-0');
  restarted.escrow.setLimits(new Map([[ACCOUNT, LIMIT]]));
  await clock.advance(10);
  const row = (await store.memory.list('budgets', ACCOUNT)).unwrap().rows[0]!;
  const { allocated } = JSON.parse(row.value) as { allocated: number };
  return { held, ceiling, allocated };
}

test('a restart after three seconds returns a part of the reserve', async () => {
  const { held, ceiling, allocated } = await restartAfter(3000);
  expect(allocated).toBeGreaterThan(ceiling);
  expect(allocated).toBeLessThan(ceiling + (held - ceiling) * 0.5);
});

test('a quick restart returns the whole reserve', async () => {
  const { ceiling, allocated } = await restartAfter(1500);
  expect(allocated).toBe(ceiling);
});

test('a slow restart returns nothing', async () => {
  const { held, allocated } = await restartAfter(7000);
  expect(allocated).toBe(held);
});

test('the lease is renewed at once after a network cut', async () => {
  const { clock, members, store } = await setUp(1);
  await clock.advance(600);
  members[0]!.isCut = true;
  await clock.advance(3000);
  members[0]!.isCut = false;
  await clock.advance(150);
  const leaseKey = getLeaseKey('instance-0');
  const [row] = (await store.memory.list(leaseKey.table, leaseKey.partition)).unwrap().rows;
  const { at } = JSON.parse(row!.value) as { at: number };
  expect(clock.elapsed() - at).toBeLessThanOrEqual(150);
});

test('a grant whose ceiling alone changes leaves the row that all instances change', async () => {
  const { clock, escrows, store } = await setUp(2, 1_000_000);
  const [escrow] = escrows;
  const getTotalVersion = async () =>
    (await store.memory.list(BUDGET_TABLE, ACCOUNT)).unwrap().rows[0]?.version;
  escrow!.rebalance(0);
  await clock.advance(0);
  const { held, ceiling } = escrow!.describe()[0]!;
  const version = await getTotalVersion();
  const calls = store.countCalls();
  const reserved = escrow!.reserve(ACCOUNT, ceiling + 1, MAX_WAIT_MS);
  await clock.advance(0);
  expect((await reserved).ok).toBe(true);
  expect(escrow!.describe()[0]).toMatchObject({ held });
  expect(escrow!.describe()[0]!.ceiling).toBeGreaterThan(ceiling);
  expect(await getTotalVersion()).toBe(version);
  expect(store.countCalls()).toBe(calls + 1);
});

test('instances that start together take no idle shares before all are counted', async () => {
  const { clock, escrows, store, state } = await setUp(20);
  state.isFleetCounted = false;
  const calls = store.countCalls();
  escrows.forEach((escrow) => escrow.rebalance(0));
  await clock.advance(0);
  escrows.forEach((escrow) => escrow.rebalance(0));
  await clock.advance(200);
  expect(store.countCalls() - calls).toBe(0);
});

test('calls to a store that keeps refusing back off', async () => {
  const { clock, store, escrows } = await setUp(1);
  store.plannedOutcomes.push(...Array.from({ length: 500 }, () => 'refused' as const));
  const reserved = escrows[0]!.reserve(ACCOUNT, 100, 10_000);
  const before = store.countCalls();
  await clock.advance(10_000);
  await reserved;
  // Renewals of the lease, which are tried every 0.1 s, account for 100 calls.
  expect(store.countCalls() - before).toBeLessThan(100 + 15);
});

test('a large fleet limits the transactions on a budget when it rebalances', async () => {
  const { clock, store, escrows, deliverChanges } = await setUp(40, 1_000_000);
  await clock.advance(100);
  const before = store.countCalls();
  for (let turn = 0; turn < 6; turn += 1) {
    escrows.forEach((escrow) => escrow.rebalance(400));
    for (let step = 0; step < 8; step += 1) {
      await deliverChanges();
      await clock.advance(50);
    }
  }
  const renewals = 40 * (2400 / 250);
  expect(store.countCalls() - before - renewals).toBeLessThan(40 * 6);
});

test('instances of a large fleet that start together rebalance a budget by turns', async () => {
  const { clock, store, escrows } = await setUp(40, 1_000_000);
  const calls: number[] = [];
  for (let turn = 0; turn < 3; turn += 1) {
    const before = store.countCalls();
    escrows.forEach((escrow) => escrow.rebalance(0));
    await clock.advance(1);
    calls.push(store.countCalls() - before);
  }
  expect(Math.min(...calls)).toBeGreaterThan(0);
});

test('instances of a large fleet whose callers pause change the budget seldom', async () => {
  const instances = 64;
  const { clock, escrows, store, deliverChanges } = await setUp(instances, 10_000_000);
  // Each instance has a request each 8 s, twice.
  for (let second = 0; second < 16; second += 1) {
    for (const escrow of escrows.filter((_, index) => index % 8 === second % 8)) {
      const reserved = escrow.reserve(ACCOUNT, 1000, MAX_WAIT_MS);
      await clock.advance(1);
      (await reserved).unwrap().settle(1000);
    }
    for (let round = 0; round < 3; round += 1) {
      escrows.forEach((escrow) => escrow.rebalance(300));
      await clock.advance(300);
      await deliverChanges();
    }
  }
  expect(store.countBudgetWrites()).toBeLessThanOrEqual(2 * instances);
});

test('a stop does not wait beyond its patience for a store that went silent while it rebalances', async () => {
  const { clock, escrows, members } = await setUp(1);
  const [escrow] = escrows;
  const held = escrow!.reserve(ACCOUNT, 100, MAX_WAIT_MS);
  await clock.advance(100);
  (await held).unwrap().settle(0);
  members[0]!.isSilent = true;
  const startedAt = clock.elapsed();
  let releasedAt = Infinity;
  escrow!.release(3000).then(() => {
    releasedAt = clock.elapsed();
  });
  // The instance goes on to rebalance, faster than its calls time out.
  for (let round = 0; round < 30; round += 1) {
    escrow!.rebalance(0);
    await clock.advance(200);
  }
  expect(releasedAt - startedAt).toBeLessThanOrEqual(3000);
});
