import { addContribution, NO_ANCESTRY } from '../src/escrowRestoration';
import { ACCOUNT } from './escrowHarness';
import { describeAccount, LIMIT, MAX_WAIT_MS, setUp } from './rewindStand';

test('a grant of the lost seconds is put back before others are granted more', async () => {
  const { members, store, reserve, settle } = await setUp(2);
  const rewind = store.memory.copy();
  expect(await reserve(members[0]!, 700)).toBe('ok');
  rewind();
  await settle(2);
  expect(describeAccount(members[0]!).held).toBeGreaterThanOrEqual(700);
  expect(await reserve(members[1]!, 400)).toBe('exhausted');
  expect(await reserve(members[1]!, 250)).toBe('ok');
});

test('no more is granted while a holder that is cut off has not put back its grant', async () => {
  const { members, store, reserve, settle } = await setUp(2);
  const rewind = store.memory.copy();
  expect(await reserve(members[0]!, 700)).toBe('ok');
  members[0]!.isCut = true;
  rewind();
  await settle(2);
  expect(await reserve(members[1]!, 400)).toBe('unreachable');
  members[0]!.isCut = false;
  await settle(2);
  expect(await reserve(members[1]!, 250)).toBe('ok');
});

test('while others are awaited an instance keeps and spends what it holds', async () => {
  const { members, store, reserve, settle } = await setUp(2);
  await settle(2);
  const rewind = store.memory.copy();
  const { held } = describeAccount(members[1]!);
  expect(held).toBeGreaterThan(100);
  members[0]!.isCut = true;
  rewind();
  await settle(5);
  expect(await reserve(members[1]!, held)).toBe('ok');
});

test('a late write of an older era that expects a version given out again is harmless', async () => {
  const { members, store, reserve, settle, clock } = await setUp(1);
  const rewind = store.memory.copy();
  store.plannedOutcomes.push('late');
  expect(await reserve(members[0]!, 100)).not.toBe('exhausted');
  await clock.advance(1000);
  rewind();
  await settle(1);
  expect(await reserve(members[0]!, 800)).toBe('ok');
  const before = describeAccount(members[0]!);
  await store.deliverLate();
  await settle(2);
  const { used, held, allocated } = describeAccount(members[0]!);
  expect(used).toBe(before.used);
  expect(held).toBeGreaterThanOrEqual(used);
  expect(allocated).toBe(held);
});

test('tokens returned without an answer before a rewind are not spent after it', async () => {
  const { members, store, reserve, settle, clock, deliverChanges } = await setUp(2);
  expect(await reserve(members[0]!, 10)).toBe('ok');
  await settle(1);
  await deliverChanges();
  const rewind = store.memory.copy();
  store.plannedOutcomes.push('lost');
  members[0]!.escrow.retire();
  await clock.advance(0);
  expect(describeAccount(members[0]!).isUncertain).toBe(true);
  members[0]!.isCut = true;
  expect(await reserve(members[1]!, 900)).toBe('ok');
  rewind();
  members[0]!.isCut = false;
  await deliverChanges();
  expect(describeAccount(members[0]!)).toMatchObject({ held: 10, ceiling: 10, used: 10 });
  await settle(2);
  const [first, second] = members.map(describeAccount);
  expect(first!.held + second!.held).toBeLessThanOrEqual(LIMIT);
});

test('what a process held that died in the lost seconds is written off', async () => {
  const { members, store, reserve, restart, settle } = await setUp(2);
  await settle(1);
  const { held } = describeAccount(members[1]!);
  const rewind = store.memory.copy();
  expect(await reserve(members[0]!, 600)).toBe('ok');
  rewind();
  await restart(0);
  await settle(20);
  const { allocated, held: heldBySurvivor } = describeAccount(members[1]!);
  expect(allocated - heldBySurvivor).toBeGreaterThanOrEqual(600);
  expect(await reserve(members[1]!, held + 100)).toBe('exhausted');
});

test('a successor puts back what its predecessor held, so that nothing is written off', async () => {
  const { members, store, reserve, restart, settle } = await setUp(2);
  const rewind = store.memory.copy();
  expect(await reserve(members[0]!, 300)).toBe('ok');
  await restart(0);
  rewind();
  await settle(3);
  expect(await reserve(members[1]!, 800)).toBe('exhausted');
  expect(await reserve(members[1]!, 400)).toBe('ok');
});

// Guards against tokens that are stranded by a copy that is older than a restart.
test('what a successor gave back before a rewind is not counted again by the copy', async () => {
  const { members, store, reserve, restart, settle } = await setUp(3);
  expect(await reserve(members[0]!, 300)).toBe('ok');
  await settle(4);
  const { held } = describeAccount(members[0]!);
  expect(held).toBeGreaterThan(400);
  const rewind = store.memory.copy();
  await restart(0);
  await settle(2);
  rewind();
  await settle(6);
  const heldByLiving = members.reduce((sum, run) => sum + describeAccount(run).held, 0);
  const { allocated } = describeAccount(members[0]!);
  expect(allocated - heldByLiving).toBeGreaterThanOrEqual(300);
  expect(allocated - heldByLiving).toBeLessThan(held);
});

test('two rewinds in a row lose no grant', async () => {
  const { members, store, reserve, settle } = await setUp(2);
  const rewind = store.memory.copy();
  expect(await reserve(members[0]!, 400)).toBe('ok');
  rewind();
  await settle(2);
  expect(await reserve(members[1]!, 200)).toBe('ok');
  rewind();
  await settle(2);
  expect(await reserve(members[0]!, 500)).toBe('exhausted');
  expect(await reserve(members[0]!, 200)).toBe('ok');
});

test('an instance whose lease the copy lacks renews it again', async () => {
  const { members, store, restart, clock, settle } = await setUp(1);
  const rewind = store.memory.copy();
  const run = await restart(0);
  await settle(1);
  rewind();
  await settle(1);
  run.isCut = true;
  const { held } = describeAccount(run);
  const early = run.escrow.reserve(ACCOUNT, held, MAX_WAIT_MS);
  await clock.advance(7000);
  expect((await early).err).toBe(true);
  expect((await run.escrow.reserve(ACCOUNT, held, MAX_WAIT_MS)).ok).toBe(true);
  expect(members).toHaveLength(1);
});

test('an instance that missed a rewind makes a few calls until its grant is put back', async () => {
  const { members, store, reserve, clock } = await setUp(1);
  const rewind = store.memory.copy();
  expect(await reserve(members[0]!, 100)).toBe('ok');
  rewind();
  const before = store.countCalls();
  expect(await reserve(members[0]!, 300)).toBe('ok');
  await clock.advance(0);
  // Of these, four are renewals of the lease.
  expect(store.countCalls() - before).toBeLessThanOrEqual(10);
});

test('the grant of an instance that was gone before the copy stays allocated', () => {
  const row = { partition: ACCOUNT, version: 1 };
  const total = { allocated: 700, calls: 0 };
  const rows = {
    era: 2,
    totals: [{ ...row, table: 'budgets', key: 'total', value: JSON.stringify(total) }],
    grants: [{ ...row, table: 'grants', key: 'gone', value: '{"held":700,"ceiling":700}' }],
  };
  const next = addContribution(rows, {
    instance: 'instance-1',
    incarnation: 'life-1',
    held: 50,
    ancestry: NO_ANCESTRY,
    heldByGone: {},
    limit: LIMIT,
    instances: 1,
    holders: [],
  });
  expect(next.allocated).toBe(750);
});

test('what was written off in one era stays written off in the next', () => {
  const next = addContribution(
    { era: 3, totals: [], grants: [] },
    {
      instance: 'instance-1',
      incarnation: 'life-1',
      held: 50,
      ancestry: { kind: 'known', held: {}, ended: {}, writtenOff: 900 },
      heldByGone: {},
      limit: LIMIT,
      instances: 1,
      holders: [],
    },
  );
  expect(next.allocated).toBe(950);
});
