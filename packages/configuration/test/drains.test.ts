import { getOwner } from '@pomeloroad/core';
import { setUp } from './harness';

const FIRST = 'pools: [{ model: one }]';
const ENDPOINT = 'engine-1';

/** One data centre with a configuration in force, and its relay apart from another instance. */
async function setUpSite() {
  const names = ['a', 'b'];
  const setup = setUp(names, 'kent');
  await setup.members[0]?.apply(FIRST, 0);
  await setup.pollAll();
  const owner = getOwner('configuration', names);
  const relay = setup.members.find((member) => member.instance === owner)!;
  const other = setup.members.find((member) => member.instance !== owner)!;
  return { ...setup, relay, other };
}

test('a drain whose notice was lost on a silent connection is known after one poll', async () => {
  const { fleet, relay, other } = await setUpSite();
  fleet.silent.add(other.instance);
  await relay.store.setDrain(ENDPOINT, true);
  await relay.distributor.announceDrains();
  expect(other.distributor.getDrains()).toEqual({});
  await other.distributor.poll();
  expect(Object.keys(other.distributor.getDrains())).toEqual([ENDPOINT]);
});

test('an instance without the platform learns of a drain from its relay in one poll', async () => {
  const { fleet, withoutPlatform, relay, other } = await setUpSite();
  fleet.silent.add(other.instance);
  await relay.store.setDrain(ENDPOINT, true);
  await relay.distributor.announceDrains();
  withoutPlatform.add(other.instance);
  fleet.silent.clear();
  await other.distributor.poll();
  expect(Object.keys(other.distributor.getDrains())).toEqual([ENDPOINT]);
});

test('a drain is announced though the first read after it got no answer', async () => {
  const { failNextRead, relay, other } = await setUpSite();
  await relay.store.setDrain(ENDPOINT, true);
  failNextRead();
  await relay.distributor.announceDrains();
  expect(Object.keys(other.distributor.getDrains())).toEqual([ENDPOINT]);
});

test('a notice that is late does not end a drain', async () => {
  const { relay, other } = await setUpSite();
  const peer = { instance: other.instance, incarnation: 'b-1', dataCentre: 'kent' };
  const before = (await relay.store.readState()).unwrap().drainList;
  await relay.store.setDrain(ENDPOINT, true);
  await relay.distributor.announceDrains();
  await relay.distributor.announce({ kind: 'drains', ...before }, [peer]);
  expect(Object.keys(other.distributor.getDrains())).toEqual([ENDPOINT]);
});
