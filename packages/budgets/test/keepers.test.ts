import { createManualClock, createRandom, createSilentLog, rankNodes } from '@pomeloroad/core';
import type { ManualClock } from '@pomeloroad/core';
import { createMemoryObjects, createMemoryTable } from '@pomeloroad/storage';
import type { MemoryTable } from '@pomeloroad/storage';
import { createMemoryFleet } from '@pomeloroad/peers';
import {
  auditLedger,
  BudgetTopics,
  createBudgetClient,
  createKeepers,
  createLedger,
  nameStream,
} from '../src';
import type { CreatePlacement, HeldReservation, UsageRecord } from '../src';

const BUDGET = 'dispatch/routes';
const draft = { account: 'dispatch', budget: BUDGET, request: 'r', model: 'planner' };

/** With `used`, an engine tells what each stream used, and nothing for a stream that never began. */
function setUp(locals?: string[], used?: Map<string, number>) {
  const clock = createManualClock();
  const table = createMemoryTable();
  const objects = createMemoryObjects();
  const fleet = createMemoryFleet();
  const lost = new Set<string>();

  function join(instance: string, dataCentre = instance) {
    const network = fleet.join(instance, dataCentre);
    const { self } = network;
    const shared = {
      clock,
      self,
      network,
      getLocalInstances: () => (locals ?? [instance]).filter((name) => !lost.has(name)),
    };
    const keepers = createKeepers({
      ...shared,
      log: createSilentLog(),
      table,
      objects,
      policy: { kind: 'adaptive', horizonSeconds: 3600 },
      getDataCentres: () => 2,
      isTableUnreachable: () => false,
      isLive: (identity) => !lost.has(identity.instance),
      isLost: (identity) => lost.has(identity.instance),
      stopRequest: async (placements) => {
        if (!used) return { promptTokens: 3, completionTokens: 4 };
        const tokens = placements.map(({ stream }) => used.get(stream) ?? 0);
        return { promptTokens: tokens.reduce((sum, count) => sum + count, 0), completionTokens: 0 };
      },
    });
    const client = createBudgetClient({ ...shared, random: createRandom(1) });
    return { keepers, client };
  }

  const ledger = createLedger({ clock, table });
  const audit = async () => (await auditLedger(table, objects)).unwrap();
  return { clock, table, fleet, lost, join, ledger, audit };
}

function record(tokens: number, request = 'r'): UsageRecord {
  const cost = { promptTokens: tokens, completionTokens: 0, tokens };
  return { ...draft, request, ...cost, at: '2026-01-01T00:00:00.000Z' };
}

async function reserve(
  clock: ManualClock,
  { client }: ReturnType<ReturnType<typeof setUp>['join']>,
  tokens: number,
  patience = 1000,
) {
  const outcome = client.reserve(draft, tokens, patience);
  await clock.advance(patience + 500);
  return outcome;
}

function countOpenGrants(table: MemoryTable): number {
  return table.rows().filter((row) => row.key.startsWith('grant/')).length;
}

test('a settled reservation is billed once and the rest returns to the budget', async () => {
  const { clock, ledger, join, audit, table } = setUp();
  await ledger.topUp(BUDGET, 'one', 1000);
  const a = join('a');
  const held = (await reserve(clock, a, 100)).unwrap();
  held.settle(record(30));
  held.settle(record(30));
  await clock.advance(10);
  await a.keepers.settle();
  await a.keepers.settle();
  expect(await a.keepers.close()).toBe(true);
  const { accounts, records, faults } = await audit();
  expect(faults).toEqual([]);
  expect(records).toHaveLength(1);
  expect(accounts[0]).toMatchObject({ billed: 30, held: 0, unallocated: 970 });
  expect(countOpenGrants(table)).toBe(0);
});

test('a request for more than the budget is refused without waiting', async () => {
  const { clock, ledger, join } = setUp();
  await ledger.topUp(BUDGET, 'one', 100);
  const outcome = join('a').client.reserve(draft, 101, 60_000);
  await clock.advance(100);
  expect((await outcome).val).toEqual({ kind: 'exhausted', remaining: 100 });
});

test('a budget without a top-up is exhausted', async () => {
  const { clock, join } = setUp();
  const outcome = await reserve(clock, join('a'), 1);
  expect(outcome.val).toMatchObject({ kind: 'exhausted' });
});

test('tokens of another data centre are recalled before a request is refused', async () => {
  const { clock, ledger, join } = setUp();
  await ledger.topUp(BUDGET, 'one', 1000);
  const a = join('a');
  const b = join('b');
  (await reserve(clock, a, 100)).unwrap().settle(undefined);
  const outcome = await reserve(clock, b, 1000);
  expect(outcome.ok).toBe(true);
});

test('one of two keepers that lack tokens of the same budget is served', async () => {
  const { clock, ledger, join } = setUp();
  await ledger.topUp(BUDGET, 'one', 100);
  const outcomes = [join('a'), join('b')].map(({ client }) => client.reserve(draft, 60, 3000));
  await clock.advance(5000);
  const served = (await Promise.all(outcomes)).filter((outcome) => outcome.ok);
  expect(served).toHaveLength(1);
});

test('a request waits until tokens become free', async () => {
  const { clock, ledger, join } = setUp();
  await ledger.topUp(BUDGET, 'one', 100);
  const a = join('a');
  const held = (await reserve(clock, a, 100)).unwrap();
  const waiting = a.client.reserve(draft, 60, 5000);
  await clock.advance(1000);
  held.settle(record(20));
  await clock.advance(100);
  expect((await waiting).ok).toBe(true);
});

test('the whole grant of a lost holder without a witness is charged', async () => {
  const { clock, ledger, join, lost, fleet, audit } = setUp();
  await ledger.topUp(BUDGET, 'one', 1000);
  const a = join('a', 'kent');
  const b = join('b', 'kent');
  (await reserve(clock, a, 100)).unwrap();
  const [account] = (await audit()).accounts;
  fleet.cut.add('a');
  lost.add('a');
  await b.keepers.adoptLost();
  const { accounts, faults } = await audit();
  expect(faults).toEqual([]);
  expect(accounts[0]).toMatchObject({ held: 0, writtenOff: account?.held });
});

test('a holder whose grant another instance closed opens a new one', async () => {
  const { clock, ledger, join, lost, fleet } = setUp();
  await ledger.topUp(BUDGET, 'one', 1000);
  const a = join('a', 'kent');
  const b = join('b', 'kent');
  const held = (await reserve(clock, a, 100)).unwrap();
  fleet.cut.add('a');
  lost.add('a');
  await b.keepers.adoptLost();
  fleet.cut.clear();
  lost.clear();
  held.settle(record(10));
  await clock.advance(10);
  await a.keepers.settle();
  const again = await reserve(clock, a, 100);
  expect(again.ok).toBe(true);
  expect(a.keepers.describe()[0]).toMatchObject({ reserved: 100 });
});

test('reservations of a lost owner are settled with the usage of the endpoint', async () => {
  const { clock, ledger, join, lost, audit } = setUp();
  await ledger.topUp(BUDGET, 'one', 1000);
  const a = join('a', 'kent');
  const held: HeldReservation = (await reserve(clock, a, 100)).unwrap();
  await held.place({ endpoint: 'e', address: '127.0.0.1:1', stream: 's' });
  lost.add('a');
  await clock.advance(6000);
  await a.keepers.reap();
  await a.keepers.settle();
  expect((await audit()).accounts[0]).toMatchObject({ billed: 7 });
});

test('idle tokens return to the budget', async () => {
  const { clock, ledger, join, audit } = setUp();
  await ledger.topUp(BUDGET, 'one', 10_000_000);
  const a = join('a');
  (await reserve(clock, a, 100_000)).unwrap().settle(record(100_000));
  await clock.advance(10);
  const held = async () => (await audit()).accounts[0]?.held ?? 0;
  const before = await held();
  for (let day = 0; day < 20; day += 1) {
    (await reserve(clock, a, 10)).unwrap().settle(undefined);
    await clock.advance(600_000);
    await a.keepers.trim();
  }
  expect(await held()).toBeLessThan(before / 2);
});

test('a keeper that is closed opens no grant, and the next keeper serves', async () => {
  const { clock, ledger, join, audit } = setUp(['a', 'b']);
  await ledger.topUp(BUDGET, 'one', 1000);
  const a = join('a', 'kent');
  const b = join('b', 'kent');
  expect(await a.keepers.close()).toBe(true);
  const outcomes = [await reserve(clock, a, 10), await reserve(clock, b, 10)];
  expect(outcomes.map((outcome) => outcome.ok)).toEqual([true, true]);
  expect(a.keepers.describe()).toEqual([]);
  expect((await audit()).faults).toEqual([]);
});

const placement = { endpoint: 'e', address: '127.0.0.1:1', stream: 's' };

// Creates a grant with one ended and one open reservation, and a peer as its witness.
async function createTwoReservations(all: ReturnType<typeof setUp>) {
  const [holder = '', witness = ''] = rankNodes(BUDGET, ['a', 'b']);
  await all.ledger.topUp(BUDGET, 'one', 1000);
  const a = all.join(holder, 'kent');
  const b = all.join(witness, 'kent');
  const ended = (await reserve(all.clock, a, 100)).unwrap();
  const open = (await reserve(all.clock, a, 100)).unwrap();
  await ended.place(placement);
  await open.place(placement);
  ended.settle(record(30, 'ended'));
  await all.clock.advance(10);
  return { a, b, ended, open, holder, witness };
}

test('a successor bills what the lost holder had not settled', async () => {
  const all = setUp(['a', 'b']);
  const { b, holder } = await createTwoReservations(all);
  all.fleet.cut.add(holder);
  all.lost.add(holder);
  await b.keepers.adoptLost();
  await all.clock.advance(6000);
  await b.keepers.reap();
  await b.keepers.settle();
  await b.keepers.reap();
  const { accounts, records, faults } = await all.audit();
  expect(faults).toEqual([]);
  expect(records.map((bill) => bill.tokens)).toEqual([30, 7]);
  expect(accounts[0]).toMatchObject({ writtenOff: 0, held: 0, unallocated: 963 });
});

test('a paused holder that resumes cannot place or settle under a sealed grant', async () => {
  const all = setUp(['a', 'b']);
  const { a, b, open, holder } = await createTwoReservations(all);
  all.lost.add(holder);
  await b.keepers.adoptLost();
  all.lost.clear();
  expect(await open.place(placement)).toBe(false);
  await a.keepers.settle();
  open.settle(record(50, 'open'));
  await all.clock.advance(3000);
  await b.keepers.settle();
  const { accounts, faults } = await all.audit();
  expect(faults).toEqual([]);
  expect(accounts[0]).toMatchObject({ billed: 80, writtenOff: 0 });
});

test('a holder whose witness is lost clears it and continues', async () => {
  const all = setUp(['a', 'b']);
  const { a, open, witness } = await createTwoReservations(all);
  all.fleet.cut.add(witness);
  expect(await open.place(placement)).toBe(true);
  const grant = all.table.rows().find((row) => row.key.startsWith('grant/'));
  expect((grant?.value as { witness?: object }).witness).toBeUndefined();
  open.settle(record(50, 'open'));
  await all.clock.advance(10);
  await a.keepers.settle();
  expect((await all.audit()).accounts[0]).toMatchObject({ billed: 80 });
});

test('a settlement whose answer was lost is not billed again', async () => {
  const all = setUp(['a', 'b']);
  const { a, ended, holder } = await createTwoReservations(all);
  await a.keepers.settle();
  const [bill] = (await all.audit()).records;
  const keeper = all.fleet.join('c', 'kent');
  const { settle } = BudgetTopics;
  const repeat = { budget: BUDGET, reservation: ended.id, record: record(30, 'ended') };
  const reply = await keeper.call(holder, settle, repeat, 100);
  expect(reply.val).toBe('settled');
  await a.keepers.settle();
  expect((await all.audit()).records).toEqual([bill]);
});

test('the log of a lost holder counts as orphaned until a successor has sealed it', async () => {
  const all = setUp(['a', 'b']);
  const { b, holder } = await createTwoReservations(all);
  expect(await b.keepers.countOrphanedLogs()).toBe(0);
  all.fleet.cut.add(holder);
  all.lost.add(holder);
  expect(await b.keepers.countOrphanedLogs()).toBe(1);
  await b.keepers.adoptLost();
  expect(await b.keepers.countOrphanedLogs()).toBe(0);
});

test('the log of a grant that names another witness does not count as orphaned', async () => {
  const all = setUp(['a', 'b']);
  const { a, b, open, witness } = await createTwoReservations(all);
  all.fleet.cut.add(witness);
  await open.place(placement);
  expect(await b.keepers.countOrphanedLogs()).toBe(0);
  expect(await a.keepers.countOrphanedLogs()).toBe(0);
});

/**
 * Reserves a request's tokens twice, since the first keeper's reply is lost, and settles the second reservation;
 * then its owner is lost and the first keeper ends what it holds for it. Each stream used the given tokens.
 */
async function settleAfterLostReply(createPlacement: CreatePlacement, tokens: number) {
  const used = new Map<string, number>();
  const all = setUp(['a', 'b'], used);
  const [first = '', second = ''] = rankNodes(BUDGET, ['a', 'b']);
  await all.ledger.topUp(BUDGET, 'one', 1000);
  const a = all.join(first, 'kent');
  const b = all.join(second, 'kent');
  const owner = { instance: second, incarnation: `${second}-1`, dataCentre: 'kent' };
  const caller = all.fleet.join('c', 'kent');
  const lost = { id: 'lost', placement: createPlacement('lost') };
  const request = { ...lost, budget: BUDGET, tokens: 100, patience: 0, owner, draft };
  // The keeper notes this reservation, but the owner does not learn of it and asks the next keeper.
  await caller.call(first, BudgetTopics.reserve, request, 100);
  all.fleet.silent.add(first);
  const held = (await b.client.reserve(draft, 100, 1000, createPlacement)).unwrap();
  used.set(held.placement?.stream ?? '', tokens);
  held.settle(record(tokens));
  await all.clock.advance(10);
  await b.keepers.settle();
  all.fleet.silent.clear();
  all.lost.add(second);
  await all.clock.advance(6000);
  await a.keepers.reap();
  await a.keepers.settle();
  return all.audit();
}

test('a run is billed once though the reply to an earlier reservation was lost', async () => {
  const createPlacement = (id: string) => ({ ...placement, stream: nameStream('r.1', id) });
  const { accounts, faults } = await settleAfterLostReply(createPlacement, 7);
  expect(faults).toEqual([]);
  expect(accounts[0]).toMatchObject({ billed: 7 });
});

test('a call of a service is billed once though the reply to an earlier reservation was lost', async () => {
  // A service keeps no record of its calls, so what was reserved counts as used.
  const { accounts, faults } = await settleAfterLostReply(
    () => ({ ...placement, stream: '' }),
    100,
  );
  expect(faults).toEqual([]);
  expect(accounts[0]).toMatchObject({ billed: 100 });
});
