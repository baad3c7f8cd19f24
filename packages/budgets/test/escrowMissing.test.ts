import { ACCOUNT } from './escrowHarness';
import { describeAccount, LIMIT, MAX_WAIT_MS, setUp } from './rewindStand';

/** Two instances; the first is cut off after it was granted 700 of 1,000 tokens, which the copy lacks. */
async function setUpCutOff() {
  const fleet = await setUp(2);
  const rewind = fleet.store.memory.copy();
  expect(await fleet.reserve(fleet.members[0]!, 700)).toBe('ok');
  fleet.members[0]!.isCut = true;
  return { ...fleet, rewind };
}

test('nothing is granted over what an instance holds that is cut off and not counted any more', async () => {
  const { members, rewind, reserve, reconnectFirst, rewindWithoutFirst } = await setUpCutOff();
  await rewindWithoutFirst(rewind);
  expect(await reserve(members[1]!, 400)).toBe('unreachable');
  await reconnectFirst();
  expect(await reserve(members[1]!, 400)).toBe('exhausted');
  expect(await reserve(members[1]!, 250)).toBe('ok');
});

// Guards against tokens granted twice (BUDGET): the copy is older than the cut, and the cut than 11 s.
test('nothing is granted over what an instance holds that was not counted any more before the rewind', async () => {
  const { members, rewind, reserve, settle, forgetFirst, reconnectFirst } = await setUpCutOff();
  await settle(2);
  forgetFirst();
  await settle(4);
  rewind();
  await settle(4);
  expect(await reserve(members[1]!, 400)).toBe('exhausted');
  const [cutOff, other] = members.map(describeAccount);
  expect(other!.allocated).toBe(cutOff!.held + other!.held);
  await reconnectFirst();
  expect(await reserve(members[1]!, 250)).toBe('ok');
});

test('an instance that is not counted any more just before the rewind is awaited', async () => {
  const { members, rewind, reserve, settle, forgetFirst } = await setUpCutOff();
  await settle(2);
  forgetFirst();
  rewind();
  await settle(4);
  expect(await reserve(members[1]!, 400)).toBe('unreachable');
});

// Guards against tokens granted twice (BUDGET): what others know that an instance holds is not what it holds.
test('an instance that can not renew its lease is granted nothing more', async () => {
  const { members, state, store, reserve, settle, forgetFirst } = await setUp(2);
  await settle(2);
  members[0]!.isLeaseRefused = true;
  await settle(30);
  forgetFirst();
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
    const { members, state, store, reserve, settle, forgetFirst } = await setUp(2);
    const rewind = store.memory.copy();
    members[0]!.escrow.setLimits(new Map([[ACCOUNT, 1500]]));
    expect(await reserve(members[0]!, 1200)).toBe('ok');
    members[0]!.isCut = true;
    rewind();
    await settle(1);
    Object.assign(state, { limitsAge });
    forgetFirst();
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
  const { clock, members, rewind, reserve, settle } = await setUpCutOff();
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
  const { members, store, reserve, settle, rewindWithoutFirst } = await setUp(3);
  await settle(2);
  const rewind = store.memory.copy();
  expect(await reserve(members[0]!, 500)).toBe('ok');
  members[0]!.kill();
  await rewindWithoutFirst(rewind);
  const spare = describeAccount(members[1]!).held + describeAccount(members[2]!).held;
  expect(await reserve(members[1]!, spare + 200)).toBe('unreachable');
});

test('tokens that are returned are granted again though an instance never came back', async () => {
  const { members, store, reserve, settle, rewindWithoutFirst } = await setUp(3);
  expect(await reserve(members[1]!, 10)).toBe('ok');
  await settle(2);
  const rewind = store.memory.copy();
  members[0]!.kill();
  await rewindWithoutFirst(rewind);
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
  const fleet = await setUp(3);
  const { clock, members, state, store, reserve, settle, start } = fleet;
  await settle(2);
  const rewind = store.memory.copy();
  expect(await reserve(members[0]!, 500)).toBe('ok');
  members[0]!.isCut = true;
  await fleet.rewindWithoutFirst(rewind);
  members.push(start('instance-3'));
  ['instance-3', ...starting].forEach((name) => state.counted.add(name));
  members.forEach(({ escrow }) => escrow.setLimits(new Map([[ACCOUNT, 2 * LIMIT]])));
  await clock.advance(10);
  await settle(4);
  expect(await reserve(members[1]!, 600)).toBe('ok');
  starting.forEach((name) => state.counted.delete(name));
  await fleet.reconnectFirst();
  const held = members.reduce((sum, run) => sum + describeAccount(run).held, 0);
  expect(describeAccount(members[1]!).allocated).toBe(held);
  expect(held).toBeLessThanOrEqual(2 * LIMIT);
});

test('an instance that starts does not stand for one that is missing', async () => {
  const { members, state, rewind, reserve, settle, join } = await setUpCutOff();
  rewind();
  await join('instance-2');
  await settle(4);
  expect(state.counted.size).toBe(2);
  expect(await reserve(members[1]!, 400)).toBe('unreachable');
});

test('an instance that went before the copy is not awaited by one that starts later', async () => {
  const { members, state, store, reserve, settle, join, forgetFirst } = await setUp(3);
  const rewind = store.memory.copy();
  members[0]!.kill();
  forgetFirst();
  rewind();
  await settle(4);
  state.counted.add('instance-0');
  await join('instance-3');
  await settle(4);
  expect(await reserve(members[1]!, 800)).toBe('ok');
});
