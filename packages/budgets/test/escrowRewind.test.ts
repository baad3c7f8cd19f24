import { ACCOUNT, createFleet } from './escrowHarness';
import type { InstanceRun } from './escrowHarness';
import { addContribution, NO_ANCESTRY } from '../src/escrowRestoration';

const LIMIT = 1000;
const MAX_WAIT_MS = 500;
/** Rounds after which a budget opens without the missing instances: the limits are written again. */
const OPENING_ROUNDS = 14;

async function setUp(count: number) {
  const fleet = createFleet(count);
  fleet.members.forEach(({ escrow }) => escrow.setLimits(new Map([[ACCOUNT, LIMIT]])));
  await fleet.clock.advance(0);

  async function reserve({ escrow }: InstanceRun, tokens: number): Promise<string> {
    const reserved = escrow.reserve(ACCOUNT, tokens, MAX_WAIT_MS);
    for (let round = 0; round < 10; round += 1) {
      await fleet.deliverChanges();
      await fleet.clock.advance(60);
    }
    const outcome = await reserved;
    return outcome.ok ? 'ok' : outcome.val.kind;
  }

  async function restart(index: number): Promise<InstanceRun> {
    fleet.members[index]!.kill();
    const run = fleet.start(fleet.members[index]!.instance);
    fleet.members[index] = run;
    run.escrow.setLimits(new Map([[ACCOUNT, LIMIT]]));
    await fleet.clock.advance(10);
    return run;
  }

  /** Lets time pass in which the feeds deliver changes and the instances rebalance. */
  async function settle(rounds: number): Promise<void> {
    for (let round = 0; round < rounds; round += 1) {
      await fleet.deliverChanges();
      fleet.members.filter((run) => run.isAlive).forEach(({ escrow }) => escrow.rebalance(0));
      await fleet.clock.advance(400);
    }
  }

  return { ...fleet, reserve, restart, settle };
}

const describeAccount = ({ escrow }: InstanceRun) => escrow.describe()[0]!;

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

test('nothing is granted over what an instance holds that is cut off and not counted any more', async () => {
  const { members, state, store, reserve, settle } = await setUp(2);
  const rewind = store.memory.copy();
  expect(await reserve(members[0]!, 700)).toBe('ok');
  members[0]!.isCut = true;
  rewind();
  await settle(2);
  state.counted.delete('instance-0');
  await settle(OPENING_ROUNDS);
  expect(await reserve(members[1]!, 400)).toBe('unreachable');
  members[0]!.isCut = false;
  state.counted.add('instance-0');
  await settle(4);
  expect(await reserve(members[1]!, 400)).toBe('exhausted');
  expect(await reserve(members[1]!, 250)).toBe('ok');
});

// Guards against tokens granted twice (BUDGET): the copy is older than the cut, and the cut than 11 s.
test('nothing is granted over what an instance holds that was not counted any more before the rewind', async () => {
  const { members, state, store, reserve, settle } = await setUp(2);
  const rewind = store.memory.copy();
  expect(await reserve(members[0]!, 700)).toBe('ok');
  members[0]!.isCut = true;
  await settle(2);
  state.counted.delete('instance-0');
  await settle(4);
  rewind();
  await settle(4);
  expect(await reserve(members[1]!, 400)).toBe('exhausted');
  const [cutOff, other] = members.map(describeAccount);
  expect(other!.allocated).toBe(cutOff!.held + other!.held);
  members[0]!.isCut = false;
  state.counted.add('instance-0');
  await settle(4);
  expect(await reserve(members[1]!, 250)).toBe('ok');
});

test('an instance that is not counted any more just before the rewind is awaited', async () => {
  const { members, state, store, reserve, settle } = await setUp(2);
  const rewind = store.memory.copy();
  expect(await reserve(members[0]!, 700)).toBe('ok');
  members[0]!.isCut = true;
  await settle(2);
  state.counted.delete('instance-0');
  rewind();
  await settle(4);
  expect(await reserve(members[1]!, 400)).toBe('unreachable');
});

// Guards against tokens granted twice (BUDGET): what others know that an instance holds is not what it holds.
test('an instance that can not renew its lease is granted nothing more', async () => {
  const { members, state, store, reserve, settle } = await setUp(2);
  await settle(2);
  members[0]!.isLeaseRefused = true;
  await settle(30);
  state.counted.delete('instance-0');
  await settle(4);
  const rewind = store.memory.copy();
  expect(await reserve(members[0]!, 700)).toBe('unreachable');
  members[0]!.isCut = true;
  rewind();
  await settle(4);
  expect(await reserve(members[1]!, 400)).toBe('ok');
  members[0]!.isCut = false;
  members[0]!.isLeaseRefused = false;
  state.counted.add('instance-0');
  await settle(4);
  expect(await reserve(members[0]!, 550)).toBe('ok');
});

test('an instance that can not renew its lease spends what it holds', async () => {
  const { members, reserve, settle } = await setUp(2);
  await settle(2);
  members[0]!.isLeaseRefused = true;
  await settle(30);
  const { held, used } = describeAccount(members[0]!);
  expect(held).toBeGreaterThan(100);
  expect(await reserve(members[0]!, held - used)).toBe('ok');
});

// Guards against a top-up that is granted twice (BUDGET): only the missing instance knew of it.
test.each([
  ['soon', 2, 0],
  ['long', 30, Infinity],
])(
  'a budget opens without the missing only by a limit that is read after the rewind: %s after',
  async (_when, rounds, limitsAge) => {
    const { members, state, store, reserve, settle } = await setUp(2);
    const rewind = store.memory.copy();
    members[0]!.escrow.setLimits(new Map([[ACCOUNT, 1500]]));
    expect(await reserve(members[0]!, 1200)).toBe('ok');
    members[0]!.isCut = true;
    rewind();
    await settle(1);
    Object.assign(state, { limitsAge });
    state.counted.delete('instance-0');
    await settle(rounds);
    members[1]!.escrow.setLimits(new Map([[ACCOUNT, 1500]]));
    state.limitsAge = 0;
    await settle(16);
    expect(await reserve(members[1]!, 400)).toBe('unreachable');
    expect(describeAccount(members[1]!).allocated).toBe(1500);
  },
);

// Guards against callers that wait for nothing, each of which reads rows meanwhile.
test('while an instance is missing only some requests wait for tokens in vain', async () => {
  const { clock, members, store, reserve, settle } = await setUp(2);
  const rewind = store.memory.copy();
  expect(await reserve(members[0]!, 700)).toBe('ok');
  members[0]!.isCut = true;
  rewind();
  await settle(8);
  expect(await reserve(members[1]!, 400)).toBe('unreachable');
  const outcomes: string[] = [];
  members[1]!.escrow
    .reserve(ACCOUNT, 500, MAX_WAIT_MS)
    .then((outcome) => outcomes.push(outcome.ok ? 'ok' : outcome.val.kind));
  await clock.advance(0);
  expect(outcomes).toEqual(['unreachable']);
  members[0]!.isCut = false;
  await settle(2);
  expect(await reserve(members[1]!, 250)).toBe('ok');
});

test('nothing is granted over what an instance holds that never comes back', async () => {
  const { members, state, store, reserve, settle } = await setUp(3);
  await settle(2);
  const rewind = store.memory.copy();
  expect(await reserve(members[0]!, 500)).toBe('ok');
  members[0]!.kill();
  rewind();
  await settle(2);
  state.counted.delete('instance-0');
  await settle(OPENING_ROUNDS);
  const spare = describeAccount(members[1]!).held + describeAccount(members[2]!).held;
  expect(await reserve(members[1]!, spare + 200)).toBe('unreachable');
});

test('tokens that are returned are granted again though an instance never came back', async () => {
  const { members, state, store, reserve, settle } = await setUp(3);
  expect(await reserve(members[1]!, 10)).toBe('ok');
  await settle(2);
  const rewind = store.memory.copy();
  members[0]!.kill();
  rewind();
  await settle(2);
  state.counted.delete('instance-0');
  await settle(OPENING_ROUNDS);
  const { held, used } = describeAccount(members[1]!);
  expect(held - used).toBeGreaterThan(30);
  members[1]!.escrow.retire();
  await settle(2);
  expect(await reserve(members[2]!, describeAccount(members[2]!).held + 20)).toBe('ok');
});

// Guards against a top-up that is written off again with each instance that starts.
test.each([
  ['one starts', []],
  ['others are still starting', ['instance-4', 'instance-5']],
])('what is topped up is granted though an instance is missing and %s', async (_case, starting) => {
  const { clock, members, state, store, reserve, settle, start } = await setUp(3);
  await settle(2);
  const rewind = store.memory.copy();
  expect(await reserve(members[0]!, 500)).toBe('ok');
  members[0]!.isCut = true;
  rewind();
  await settle(2);
  state.counted.delete('instance-0');
  await settle(OPENING_ROUNDS);
  members.push(start('instance-3'));
  ['instance-3', ...starting].forEach((name) => state.counted.add(name));
  members.forEach(({ escrow }) => escrow.setLimits(new Map([[ACCOUNT, 2 * LIMIT]])));
  await clock.advance(10);
  await settle(4);
  expect(await reserve(members[1]!, 600)).toBe('ok');
  starting.forEach((name) => state.counted.delete(name));
  members[0]!.isCut = false;
  state.counted.add('instance-0');
  await settle(4);
  const held = members.reduce((sum, run) => sum + describeAccount(run).held, 0);
  expect(describeAccount(members[1]!).allocated).toBe(held);
  expect(held).toBeLessThanOrEqual(2 * LIMIT);
});

test('an instance that starts does not stand for one that is missing', async () => {
  const { clock, members, state, store, reserve, settle, start } = await setUp(2);
  const rewind = store.memory.copy();
  expect(await reserve(members[0]!, 700)).toBe('ok');
  members[0]!.isCut = true;
  rewind();
  members.push(start('instance-2'));
  members[2]!.escrow.setLimits(new Map([[ACCOUNT, LIMIT]]));
  await clock.advance(10);
  await settle(4);
  expect(state.counted.size).toBe(2);
  expect(await reserve(members[1]!, 400)).toBe('unreachable');
});

test('an instance that went before the copy is not awaited by one that starts later', async () => {
  const { clock, members, state, store, reserve, settle, start } = await setUp(3);
  const rewind = store.memory.copy();
  members[0]!.kill();
  state.counted.delete('instance-0');
  rewind();
  await settle(4);
  state.counted.add('instance-0');
  members.push(start('instance-3'));
  members[3]!.escrow.setLimits(new Map([[ACCOUNT, LIMIT]]));
  await clock.advance(10);
  await settle(4);
  expect(await reserve(members[1]!, 800)).toBe('ok');
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
