import { createManualClock, getOwner } from '@pomeloroad/core';
import type { Identity } from '@pomeloroad/core';
import { createMemoryFleet } from '@pomeloroad/peers';
import { createRequestRegistry } from '../src';
import type { BeginReply, BeginRequest } from '../src';

const name = { account: 'dispatch', key: 'k' };

function setUp(instances: string[]) {
  const clock = createManualClock();
  const fleet = createMemoryFleet();
  const lost = new Set<string>();
  const joined = new Set<string>();
  const selves = new Map<string, Identity>();
  const reservations = new Map<string, () => BeginReply | undefined>();

  function join(instance: string) {
    const network = fleet.join(instance);
    const { self } = network;
    joined.add(instance);
    selves.set(instance, self);
    const isSeen = (other: string) => joined.has(other) && network.isConnected(other);
    const getInstances = () =>
      [...selves.values()].filter((other) => isSeen(other.instance) && !lost.has(other.instance));
    const registry = createRequestRegistry({
      clock,
      self,
      network,
      retention: 60_000,
      getLocalInstances: () => getInstances().map((other) => other.instance),
      getInstances,
      isLive: (identity) => !lost.has(identity.instance),
      isFleetComplete: () => getInstances().length === joined.size,
      findReservation: () => reservations.get(instance)?.() ?? undefined,
    });
    const start = (request: string, changes: Partial<BeginRequest> = {}) => {
      const begun = { name, digest: 'd', isIdempotent: true, runner: self, request, ...changes };
      return registry.begin(begun);
    };
    const begin = async (request: string, changes: Partial<BeginRequest> = {}) => {
      const reply = start(request, changes);
      await clock.advance(10_000);
      return reply;
    };
    const confirm = async (request: string) => {
      const begun = { name, digest: 'd', isIdempotent: true, runner: self, request };
      return registry.confirm(begun);
    };
    return { registry, start, begin, confirm, self };
  }

  const members = new Map(instances.map((instance) => [instance, join(instance)]));
  const at = (instance: string) => members.get(instance) ?? join(instance);
  const changeView = async () => {
    members.forEach(({ registry }) => registry.updateView());
    await clock.advance(10);
  };
  changeView();
  return { clock, fleet, lost, reservations, at, changeView };
}

test('the second caller of a name is told where the first run is', async () => {
  const { at, clock } = setUp(['a', 'b', 'c']);
  // Waits until the view transition after the start of the fleet is over.
  await clock.advance(10_000);
  expect(await at('a').begin('r1')).toMatchObject({ kind: 'run', isProvisional: false });
  expect(await at('b').begin('r2')).toMatchObject({ kind: 'attach', request: 'r1' });
  expect(await at('b').begin('r3', { digest: 'other' })).toEqual({ kind: 'mismatch' });
});

test('a name stays known after its keeper is lost', async () => {
  const all = setUp(['a', 'b', 'c']);
  await all.at('a').begin('r1');
  for (const keeper of ['b', 'c']) {
    all.lost.clear();
    all.lost.add(keeper);
    await all.changeView();
    const other = keeper === 'b' ? 'c' : 'b';
    expect(await all.at(other).begin('r2')).toMatchObject({ kind: 'attach', request: 'r1' });
  }
});

const placement = { endpoint: 'e', address: '127.0.0.1:1', stream: 's' };
const state = { placement, budget: 'x/y', reservation: 'v', keeper: 'b', tokens: 5 };

async function loseRunner(runner: string) {
  const all = setUp(['a', 'b', 'c']);
  const { registry, begin } = all.at(runner);
  await begin('r1');
  await registry.recordRun(name, 'r1', state);
  all.lost.add(runner);
  all.fleet.cut.add(runner);
  // One of the other instances keeps the budget and so holds the reservation.
  const [keeper = ''] = ['a', 'b', 'c'].filter((other) => other !== runner);
  all.reservations.set(keeper, () => ({ kind: 'resume', request: 'r1', state }));
  await all.changeView();
  return { all, others: ['a', 'b', 'c'].filter((other) => other !== runner) };
}

test.each(['a', 'b', 'c'])('the stream of a lost runner is resumed once: %s', async (runner) => {
  const { all, others } = await loseRunner(runner);
  const [first = '', second = ''] = others;
  const taken = await all.at(first).begin('r2');
  expect(taken).toMatchObject({ kind: 'resume', request: 'r1', state: { placement } });
  expect(await all.at(second).begin('r3')).toMatchObject({ kind: 'attach', request: 'r2' });
});

test('a non-idempotent request of a lost runner is not run again', async () => {
  const all = setUp(['a', 'b', 'c']);
  await all.at('a').begin('r1', { isIdempotent: false });
  all.lost.add('a');
  await all.changeView();
  const reply = await all.at('b').begin('r2', { isIdempotent: false });
  expect(reply).toEqual({ kind: 'lost' });
});

test('of two provisional runs during a partition, one counts afterwards', async () => {
  const all = setUp(['a', 'b', 'c']);
  all.fleet.cut.add('a');
  await all.changeView();
  expect(await all.at('a').begin('r1')).toMatchObject({ kind: 'run', isProvisional: true });
  expect(await all.at('b').begin('r2')).toMatchObject({ kind: 'run', isProvisional: true });
  expect(await all.at('a').confirm('r1')).toBeUndefined();
  all.fleet.cut.clear();
  await all.changeView();
  await all.clock.advance(10_000);
  const counts = [await all.at('a').confirm('r1'), await all.at('b').confirm('r2')];
  expect(counts.filter((isCounted) => isCounted)).toHaveLength(1);
  expect(counts).not.toContain(undefined);
});

test('names are found while membership changes follow each other quickly', async () => {
  const all = setUp(['a', 'b', 'c']);
  await all.clock.advance(10_000);
  const names = Array.from({ length: 20 }, (_, index) => ({ account: 'x', key: `k${index}` }));
  all.lost.add('b');
  all.fleet.cut.add('b');
  await all.changeView();
  // Starts all requests at once, so that both membership changes fall into one transition period.
  const begun = names.map((one, index) => all.at('a').start(`r${index}`, { name: one }));
  await all.clock.advance(100);
  await Promise.all(begun);
  all.fleet.cut.clear();
  all.lost.clear();
  all.lost.add('c');
  await all.changeView();
  const again = names.map((one, index) => all.at('b').start(`s${index}`, { name: one }));
  await all.clock.advance(100);
  const kinds = (await Promise.all(again)).map((reply) => reply.kind);
  expect(kinds).toEqual(names.map(() => 'attach'));
});

/** A stable fleet in which the keeper of the name is silent but still counts as connected. */
async function silenceKeeper() {
  const instances = ['a', 'b', 'c'];
  const all = setUp(instances);
  await all.clock.advance(10_000);
  const keeper = getOwner(JSON.stringify([name.account, name.key]), instances) ?? '';
  const [runner = '', other = ''] = instances.filter((instance) => instance !== keeper);
  all.fleet.silent.add(keeper);
  return { ...all, keeper, runner, other };
}

test('a run that a new keeper allowed is provisional though the old one is back', async () => {
  const { fleet, clock, changeView, reservations, at, ...names } = await silenceKeeper();
  const begun = at(names.runner).start('r1');
  await clock.advance(100);
  fleet.cut.add(names.keeper);
  await changeView();
  // The search for the name comes after the view change and before the new keeper is asked.
  reservations.set(names.other, () => {
    fleet.cut.clear();
    fleet.silent.clear();
    return undefined;
  });
  await clock.advance(1000);
  expect(await begun).toMatchObject({ kind: 'run', isProvisional: true });
});

test('a run that no keeper allowed is provisional', async () => {
  const { at, runner } = await silenceKeeper();
  expect(await at(runner).begin('r1')).toMatchObject({ kind: 'run', isProvisional: true });
});
