import { createManualClock } from '@pomeloroad/core';
import { createMemoryRowStore } from '@pomeloroad/storage';
import { encodeOrigins, getOriginPartitions, isRecentRow } from '../src/origins/originRows';
import type { Route } from '../src';
import {
  createRoute,
  find,
  LLM_V1,
  REMEMBERED_MS,
  shiftDay,
  startInstance,
  startOne,
  startTwo,
} from './originInstances';

test('with one version in the remembered time nothing is written, and take-ups at once read once', async () => {
  const { clock, one } = await startOne(['v1']);
  const before = one.countCalls();
  one.note('a', LLM_V1);
  await clock.advance(1000);
  expect(one.countCalls()).toBe(before);
  const found = ['b', 'c', 'd'].map((stream) => find(clock, one, stream));
  expect(await Promise.all(found)).toEqual(found.map(() => ({ kind: 'any' })));
  expect(one.countCalls() - before).toBe(getOriginPartitions().length);
});

test('streams that begin at once are recorded together', async () => {
  const { clock, one } = await startOne(['v1', 'v2']);
  const before = one.countCalls();
  for (let index = 0; index < 50; index += 1) {
    one.note(`stream-${index}`, LLM_V1);
    await clock.advance(4);
  }
  await clock.advance(1000);
  expect(one.countCalls() - before).toBeLessThanOrEqual(3);
});

test('a recorded stream is known elsewhere, and only that one', async () => {
  const { clock, one, two } = await startTwo(['v1', 'v2']);
  one.note('a', LLM_V1);
  await clock.advance(200);
  expect(await find(clock, two, 'a')).toEqual({ kind: 'known', origin: LLM_V1, source: 'store' });
  expect(await find(clock, two, 'b')).toEqual({ kind: 'unknown', reason: 'not recorded' });
});

test('a stream that began before the second version came is recorded when it comes', async () => {
  const { clock, one, two } = await startTwo(['v1']);
  one.note('a', LLM_V1);
  [one, two].forEach((instance) => instance.setVersions(['v1', 'v2']));
  await clock.advance(500);
  expect(await find(clock, two, 'a')).toMatchObject({ kind: 'known', origin: LLM_V1 });
});

test('a version that has gone counts while streams of it may be taken up', async () => {
  const { clock, one } = await startOne(['v1', 'v2']);
  one.setVersions(['v2']);
  await clock.advance(12_000);
  expect(await find(clock, one, 'a')).toMatchObject({ kind: 'unknown' });
  await clock.advance(REMEMBERED_MS);
  expect(await find(clock, one, 'a')).toEqual({ kind: 'any' });
});

// Starts an instance that does not know the version of a stream that another one has recorded.
async function startBehind() {
  const { clock, store, one } = await startOne(['v1', 'v2']);
  const behind = startInstance(clock, store, 'behind', ['v1']);
  await clock.advance(REMEMBERED_MS);
  one.note('a', { service: 'llm', version: 'v2' });
  await clock.advance(200);
  return { clock, store, behind };
}

test('an instance that missed a version or has just started looks into the store', async () => {
  const { clock, store, behind } = await startBehind();
  const started = startInstance(clock, store, 'started', ['v1']);
  const known = { kind: 'known', origin: { service: 'llm', version: 'v2' } };
  expect(await find(clock, behind, 'a')).toMatchObject(known);
  expect(await find(clock, started, 'a')).toMatchObject(known);
});

test('a version that another instance knew first counts at once', async () => {
  const { clock, behind } = await startBehind();
  behind.setUnread(['v1', 'v2']);
  const known = { kind: 'known', origin: { service: 'llm', version: 'v2' } };
  expect(await find(clock, behind, 'a')).toMatchObject(known);
});

test.each([
  [0, 100_000],
  [0, -100_000],
  [100_000, 0],
  [-100_000, 0],
])(
  'a stream that is not recorded goes on nowhere if days are %d and %d ms ahead',
  async (writer, reader) => {
    const clock = createManualClock();
    const store = createMemoryRowStore(clock.elapsed);
    const one = startInstance(shiftDay(clock, writer), store, 'one', ['v1', 'v2']);
    await clock.advance(REMEMBERED_MS);
    one.note('a', LLM_V1);
    await clock.advance(200);
    const started = startInstance(shiftDay(clock, reader), store, 'started', ['v2']);
    const unknown = { kind: 'unknown', reason: 'not recorded' };
    expect(await find(clock, started, 'b')).toEqual(unknown);
  },
);

test.each([
  [0, 100_000],
  [0, -100_000],
  [100_000, 0],
  [-100_000, 0],
])('what was recorded long ago does not count if days are %d and %d ms ahead', async (...days) => {
  const [writer, reader] = days;
  const clock = createManualClock();
  const store = createMemoryRowStore(clock.elapsed);
  const one = startInstance(shiftDay(clock, writer), store, 'one', ['v1', 'v2']);
  await clock.advance(REMEMBERED_MS);
  one.note('a', LLM_V1);
  await clock.advance(200);
  one.stop();
  await clock.advance(80_000 - REMEMBERED_MS);
  const started = startInstance(shiftDay(clock, reader), store, 'started', ['v2']);
  await clock.advance(REMEMBERED_MS);
  expect(await find(clock, started, 'b')).toEqual({ kind: 'any' });
});

test('the time of a row is right though its writer read the store long ago', async () => {
  const clock = createManualClock();
  const store = createMemoryRowStore(() => clock.elapsed() * 2);
  const one = startInstance(clock, store, 'one', ['v1', 'v2']);
  await clock.advance(500_000);
  one.note('a', LLM_V1);
  await clock.advance(200);
  const started = startInstance(clock, store, 'started', ['v2']);
  expect(await find(clock, started, 'b')).toMatchObject({ kind: 'unknown' });
});

// Guards against rows that instances of earlier builds no longer read, or can't be read from.
test('rows of earlier builds and of this one tell their age to each other', () => {
  const now = new Date(1_800_000_000_000);
  const time = { timeOfDay: now, storeTime: 500_000 };
  const value = encodeOrigins([['a', { ...LLM_V1, isDoubted: false }]], time);
  expect(Number(/^\[(\d+),/.exec(value)?.[1])).toBe(now.getTime());
  expect(isRecentRow(`[${now.getTime()},["llm","v1",["a"]]]`, time)).toBe(true);
  expect(isRecentRow(`[${now.getTime() - 80_000},["llm","v1",["a"]]]`, time)).toBe(false);
});

test('nothing is taken up while the store is lost', async () => {
  const { clock, one } = await startOne(['v1']);
  one.loseStore();
  expect(await find(clock, one, 'a')).toEqual({ kind: 'unknown', reason: 'store unavailable' });
});

test('a stream of a version in doubt goes on at no instance, and others do', async () => {
  const { clock, store, one, two } = await startTwo(['v1']);
  one.note('a', LLM_V1);
  const noted = one.note('b', LLM_V1, { kind: 'unproved' });
  await clock.advance(200);
  await noted;
  const doubted = { kind: 'unknown', reason: 'doubted' };
  expect(await find(clock, two, 'b')).toEqual(doubted);
  expect(await find(clock, two, 'a')).toMatchObject({ kind: 'known', origin: LLM_V1 });
  expect(await find(clock, two, 'c')).toEqual({ kind: 'any' });
  const next = startInstance(clock, store, 'one', ['v1']);
  await clock.advance(1000);
  expect(await find(clock, next, 'b')).toEqual(doubted);
  expect(await find(clock, two, 'b')).toEqual(doubted);
});

test.each([true, false])(
  'the first event of a stream in doubt waits until that is known, but not for long: lost %s',
  async (isLost) => {
    const clock = createManualClock();
    const store = createMemoryRowStore();
    const one = startInstance(clock, store, 'one', ['v1']);
    await clock.advance(REMEMBERED_MS);
    if (isLost) one.loseStore();
    let isNoted = false;
    const noted = one.note('a', LLM_V1, { kind: 'unproved' }).then(() => {
      isNoted = true;
    });
    expect(isNoted).toBe(false);
    await clock.advance(150);
    expect(isNoted).toBe(!isLost);
    await clock.advance(600);
    await noted;
  },
);

test('a run that follows another one keeps what that recorded', async () => {
  const clock = createManualClock();
  const store = createMemoryRowStore();
  const first = startInstance(clock, store, 'one', ['v1', 'v2']);
  await clock.advance(REMEMBERED_MS);
  first.note('a', LLM_V1);
  await clock.advance(200);
  const second = startInstance(clock, store, 'one', ['v2']);
  await clock.advance(1000);
  second.note('b', { service: 'llm', version: 'v2' });
  const two = startInstance(clock, store, 'two', ['v2']);
  await clock.advance(1000);
  expect(await find(clock, two, 'a')).toMatchObject({ kind: 'known', origin: LLM_V1 });
  expect(await find(clock, two, 'b')).toMatchObject({ kind: 'known', origin: { version: 'v2' } });
});

test('versions of one service say nothing of another’s', async () => {
  const { clock, store, one } = await startOne(['v1', 'v2']);
  one.note('a', LLM_V1);
  one.note('c', { service: 'chat', version: undefined });
  await clock.advance(200);
  const started = startInstance(clock, store, 'started', ['v1', 'v2']);
  expect(await find(clock, started, 'b', ['chat'])).toEqual({ kind: 'any' });
  expect(await find(clock, started, 'b', ['llm'])).toMatchObject({ kind: 'unknown' });
});

test('a stream stays at the service that began it while its route names that', async () => {
  const clock = createManualClock();
  const store = createMemoryRowStore();
  const one = startInstance(clock, store, 'one', ['v1', 'v2']);
  one.note('a', LLM_V1);
  expect(await find(clock, one, 'a', ['chat', 'llm'])).toMatchObject({ origin: LLM_V1 });
});

test('two versions that two instances recorded for one stream contradict each other', async () => {
  const clock = createManualClock();
  const store = createMemoryRowStore();
  const one = startInstance(clock, store, 'one', ['v1', 'v2']);
  const two = startInstance(clock, store, 'two', ['v1', 'v2']);
  const three = startInstance(clock, store, 'three', ['v1', 'v2']);
  await clock.advance(1000);
  one.note('a', LLM_V1);
  two.note('a', { service: 'llm', version: 'v2' });
  await clock.advance(1000);
  expect(await find(clock, three, 'a')).toMatchObject({ kind: 'unknown' });
});

test('a stream whose route has moved is not taken up at its new service', async () => {
  const clock = createManualClock();
  const store = createMemoryRowStore();
  const one = startInstance(clock, store, 'one', ['v1']);
  const two = startInstance(clock, store, 'two', ['v1']);
  [one, two].forEach((instance) => instance.setRoutes(createRoute(['llm'])));
  await clock.advance(REMEMBERED_MS);
  one.note('a', LLM_V1);
  [one, two].forEach((instance) => instance.setRoutes(createRoute(['chat'])));
  await clock.advance(500);
  const notRouted = { kind: 'unknown', reason: 'not routed' };
  expect(await find(clock, one, 'a', ['chat'])).toEqual(notRouted);
  expect(await find(clock, two, 'a', ['chat'])).toEqual(notRouted);
  const notRecorded = { kind: 'unknown', reason: 'not recorded' };
  expect(await find(clock, two, 'b', ['chat'])).toEqual(notRecorded);
  await clock.advance(REMEMBERED_MS);
  expect(await find(clock, two, 'b', ['chat'])).toEqual({ kind: 'any' });
});

test.each<[string, Route[], Route[]]>([
  ['is new', [createRoute(['llm'])], [createRoute(['llm']), createRoute(['chat'], '/x/')]],
  ['is gone', [createRoute(['llm']), createRoute(['chat'], '/x/')], [createRoute(['llm'])]],
])(
  'where a route %s beside another one, a stream of unknown origin is not guessed',
  async (_, before, after) => {
    const clock = createManualClock();
    const one = startInstance(clock, createMemoryRowStore(), 'one', ['v1']);
    one.setRoutes(...before);
    await clock.advance(REMEMBERED_MS);
    one.setRoutes(...after);
    const route = after.at(-1)!;
    const services = route.targets.map(({ service }) => service);
    const found = one.find('b', services, route);
    await clock.advance(2000);
    expect(await found).toEqual({ kind: 'unknown', reason: 'not recorded' });
  },
);

test('routes that change in other ways leave take-ups as they are', async () => {
  const clock = createManualClock();
  const one = startInstance(clock, createMemoryRowStore(), 'one', ['v1']);
  one.setRoutes(createRoute(['llm']), createRoute(['chat'], '/x/'));
  await clock.advance(REMEMBERED_MS);
  const before = one.countCalls();
  one.setRoutes({ ...createRoute(['llm']), timeout: 7 }, createRoute(['other'], '/x/'));
  expect(await find(clock, one, 'b')).toEqual({ kind: 'any' });
  expect(one.countCalls() - before).toBe(getOriginPartitions().length);
});
