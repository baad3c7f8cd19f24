import { Err, Ok } from 'ts-results';
import { createManualClock, createSilentLog } from '@pomeloroad/core';
import type { Identity } from '@pomeloroad/core';
import { createMemoryFleet } from '@pomeloroad/peers';
import { createMemoryTable } from '@pomeloroad/storage';
import type { ObjectStore, Table } from '@pomeloroad/storage';
import { applyConfiguration, createConfigurationStore, createDistributor } from '../src';

const FIRST = 'pools: [{ model: one }, { model: two }]';
const SECOND = 'pools: [{ model: two }, { model: three }]';

function setUp(instances: string[]) {
  const clock = createManualClock();
  const memory = createMemoryTable();
  const fleet = createMemoryFleet();
  const silent = new Set<string>();
  const objects = new Map<string, string>();
  const selves: Identity[] = [];

  function join(instance: string) {
    const network = fleet.join(instance, instance);
    selves.push(network.self);
    const isSilent = () => silent.has(instance);
    const down = Err({ kind: 'unavailable' as const, ran: 'no' as const, message: 'down' });
    const table: Table = {
      commit: async (transaction) => (isSilent() ? down : memory.commit(transaction)),
      read: async (keys) => (isSilent() ? down : memory.read(keys)),
      scan: async (prefix) => (isSilent() ? down : memory.scan(prefix)),
    };
    const objectStore: ObjectStore = {
      async put(name, body) {
        if (isSilent()) return down;
        objects.set(name, body);
        return Ok.EMPTY;
      },
      get: async (name) => (isSilent() ? down : Ok(objects.get(name))),
      list: async () => Ok([...objects.keys()]),
    };
    const store = createConfigurationStore(clock, table, objectStore);
    const distributor = createDistributor({
      clock,
      log: createSilentLog(),
      self: network.self,
      network,
      store,
      getLocalInstances: () => [instance],
      getInstances: () => selves.filter((peer) => network.isConnected(peer.instance)),
      onChange: () => undefined,
    });
    const host = { store, distributor, listInstances: async () => Ok([...selves]) };
    const apply = (text: string, base: number) => applyConfiguration(host, base, text, instance);
    const models = () => distributor.getConfiguration()?.pools.map((pool) => pool.model);
    return { store, distributor, apply, models };
  }

  const members = instances.map((instance) => ({ instance, ...join(instance) }));
  const pollAll = async () => {
    for (const { distributor } of members) await distributor.poll();
  };
  return { clock, fleet, silent, members, join, pollAll };
}

type Stage = ReturnType<typeof setUp>;

function versions({ members }: Stage): number[] {
  return members.map(({ distributor }) => distributor.getVersion());
}

test('an accepted file is in force everywhere at once', async () => {
  const stage = setUp(['a', 'b', 'c']);
  const [a] = stage.members;
  expect((await a?.apply(FIRST, 0))?.ok).toBe(true);
  expect(versions(stage)).toEqual([1, 1, 1]);
});

test('one silent instance withdraws the file everywhere, and is named', async () => {
  const stage = setUp(['a', 'b', 'c']);
  const [a] = stage.members;
  await a?.apply(FIRST, 0);
  stage.fleet.cut.add('c');
  const outcome = await a?.apply(SECOND, 1);
  expect(outcome?.val).toMatchObject({ kind: 'unanswered', silent: [{ instance: 'c' }] });
  stage.fleet.cut.clear();
  await stage.pollAll();
  expect(versions(stage)).toEqual([1, 1, 1]);
  expect((await a?.apply(SECOND, 1))?.ok).toBe(true);
  expect(versions(stage)).toEqual([3, 3, 3]);
});

test('of two operators at once one wins, and the other is told', async () => {
  const stage = setUp(['a', 'b', 'c']);
  const [a, b] = stage.members;
  const outcomes = await Promise.all([a?.apply(FIRST, 0), b?.apply(SECOND, 0)]);
  expect(outcomes.filter((outcome) => outcome?.ok)).toHaveLength(1);
  const beaten = outcomes.find((outcome) => outcome?.err);
  expect(beaten?.val).toMatchObject({ kind: 'conflict' });
  expect(new Set(versions(stage)).size).toBe(1);
});

test('an instance in doubt serves what both versions allow, then the verdict', async () => {
  const stage = setUp(['a', 'b']);
  const [a, b] = stage.members;
  await a?.apply(FIRST, 0);
  const proposed = (await a?.store.propose(1, SECOND, 'a'))?.unwrap();
  await a?.distributor.announce({ kind: 'stage', file: proposed! }, [
    { instance: 'b', incarnation: 'b-1', dataCentre: 'b' },
  ]);
  expect(b?.models()).toEqual(['one', 'two']);
  stage.silent.add('b');
  stage.fleet.cut.add('b');
  await a?.store.accept(proposed!.version);
  await stage.clock.advance(3500);
  await b?.distributor.poll();
  expect(b?.models()).toEqual(['two']);
  stage.fleet.cut.clear();
  await a?.distributor.poll();
  await b?.distributor.poll();
  expect(b?.models()).toEqual(['two', 'three']);
});

test('an old or repeated notice never brings a lower version back', async () => {
  const stage = setUp(['a', 'b']);
  const [a, b] = stage.members;
  const first = (await a?.apply(FIRST, 0))?.unwrap();
  await a?.apply(SECOND, 1);
  const peer = [{ instance: 'b', incarnation: 'b-1', dataCentre: 'b' }];
  const file = { version: first!, text: FIRST };
  await a?.distributor.announce({ kind: 'accept', file }, peer);
  expect(b?.distributor.getVersion()).toBe(2);
});

test('a new instance takes the newest version from its peers', async () => {
  const stage = setUp(['a', 'b']);
  await stage.members[0]?.apply(FIRST, 0);
  stage.silent.add('new');
  const added = stage.join('new');
  await added.distributor.poll();
  expect(added.distributor.getVersion()).toBe(1);
});

test('a proposal whose coordinator died is withdrawn', async () => {
  const stage = setUp(['a', 'b']);
  const [a, b] = stage.members;
  await a?.apply(FIRST, 0);
  await a?.store.propose(1, SECOND, 'a');
  expect((await b?.apply(SECOND, 1))?.val).toMatchObject({ kind: 'conflict' });
  await stage.clock.advance(11_000);
  await b?.distributor.poll();
  expect((await b?.apply(SECOND, 1))?.ok).toBe(true);
});
