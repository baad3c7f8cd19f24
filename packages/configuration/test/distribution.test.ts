import { setUp } from './harness';
import type { Setup } from './harness';

const FIRST = 'pools: [{ model: one }, { model: two }]';
const SECOND = 'pools: [{ model: two }, { model: three }]';

function getVersions({ members }: Setup): number[] {
  return members.map(({ distributor }) => distributor.getVersion());
}

test('an accepted file is in force on every instance', async () => {
  const setup = setUp(['a', 'b', 'c']);
  const [a] = setup.members;
  expect((await a?.apply(FIRST, 0))?.ok).toBe(true);
  expect(getVersions(setup)).toEqual([1, 1, 1]);
});

test('a file that one instance does not stage is withdrawn, and the error names it', async () => {
  const setup = setUp(['a', 'b', 'c']);
  const [a] = setup.members;
  await a?.apply(FIRST, 0);
  setup.fleet.cut.add('c');
  const outcome = await a?.apply(SECOND, 1);
  expect(outcome?.val).toMatchObject({ kind: 'unanswered', silent: [{ instance: 'c' }] });
  setup.fleet.cut.clear();
  await setup.pollAll();
  expect(getVersions(setup)).toEqual([1, 1, 1]);
  expect((await a?.apply(SECOND, 1))?.ok).toBe(true);
  expect(getVersions(setup)).toEqual([3, 3, 3]);
});

test('of two concurrent applies one succeeds and the other reports a conflict', async () => {
  const setup = setUp(['a', 'b', 'c']);
  const [a, b] = setup.members;
  const outcomes = await Promise.all([a?.apply(FIRST, 0), b?.apply(SECOND, 0)]);
  expect(outcomes.filter((outcome) => outcome?.ok)).toHaveLength(1);
  const rejected = outcomes.find((outcome) => outcome?.err);
  expect(rejected?.val).toMatchObject({ kind: 'conflict' });
  expect(new Set(getVersions(setup)).size).toBe(1);
});

test('an instance in doubt serves what both versions allow until the decision', async () => {
  const setup = setUp(['a', 'b']);
  const [a, b] = setup.members;
  await a?.apply(FIRST, 0);
  const proposed = (await a?.store.propose(1, SECOND, 'a'))?.unwrap();
  await a?.distributor.announce({ kind: 'stage', file: proposed! }, [
    { instance: 'b', incarnation: 'b-1', dataCentre: 'b' },
  ]);
  expect(b?.models()).toEqual(['one', 'two']);
  setup.withoutPlatform.add('b');
  setup.fleet.cut.add('b');
  await a?.store.accept(proposed!.version);
  await setup.clock.advance(3500);
  await b?.distributor.poll();
  expect(b?.models()).toEqual(['two']);
  setup.fleet.cut.clear();
  await a?.distributor.poll();
  await b?.distributor.poll();
  expect(b?.models()).toEqual(['two', 'three']);
});

test('an old or repeated notice does not reinstall a lower version', async () => {
  const setup = setUp(['a', 'b']);
  const [a, b] = setup.members;
  const first = (await a?.apply(FIRST, 0))?.unwrap();
  await a?.apply(SECOND, 1);
  const peer = [{ instance: 'b', incarnation: 'b-1', dataCentre: 'b' }];
  const file = { version: first!, text: FIRST };
  await a?.distributor.announce({ kind: 'accept', file }, peer);
  expect(b?.distributor.getVersion()).toBe(2);
});

test('a new instance without the platform installs the newest version of its peers', async () => {
  const setup = setUp(['a', 'b']);
  await setup.members[0]?.apply(FIRST, 0);
  setup.withoutPlatform.add('new');
  const added = setup.join('new');
  await added.distributor.poll();
  expect(added.distributor.getVersion()).toBe(1);
});

test('a proposal whose coordinator failed is withdrawn', async () => {
  const setup = setUp(['a', 'b']);
  const [a, b] = setup.members;
  await a?.apply(FIRST, 0);
  await a?.store.propose(1, SECOND, 'a');
  expect((await b?.apply(SECOND, 1))?.val).toMatchObject({ kind: 'conflict' });
  await setup.clock.advance(11_000);
  await b?.distributor.poll();
  expect((await b?.apply(SECOND, 1))?.ok).toBe(true);
});
