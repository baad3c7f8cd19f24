import * as fc from 'fast-check';
import { Err } from 'ts-results';
import { createManualClock, createRandom, createSilentLog } from '@pomeloroad/core';
import { createMemoryFleet } from '@pomeloroad/peers';
import { createMemoryObjects, createMemoryTable } from '@pomeloroad/storage';
import type { Table, Transaction } from '@pomeloroad/storage';
import { auditLedger, createBudgetClient, createKeepers, createLedger } from '../src';
import type { HeldReservation } from '../src';

const BUDGET = 'dispatch/routes';
const INSTANCES = ['a', 'b', 'c'];
const SEED = 20261203;
const RUNS = Number(process.env.SCHEDULES ?? 300);
const FIRST_TOP_UP = 100;

/** One step of a schedule; `at` is the index of an instance, `pick` selects an open request. */
type Step =
  | { kind: 'reserve'; at: number; tokens: number }
  | { kind: 'settle'; pick: number; share: number }
  | { kind: 'place'; pick: number }
  | { kind: 'lose'; at: number }
  | { kind: 'wake' }
  | { kind: 'table'; next: 'done' | 'refused' | 'lost' | 'late' }
  | { kind: 'topup'; tokens: number }
  | { kind: 'run'; task: 'settle' | 'trim' | 'reap' | 'adoptLost' }
  | { kind: 'pass'; time: number };

const at = fc.nat({ max: INSTANCES.length - 1 });
const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 5, arbitrary: fc.record({ kind: fc.constant('reserve'), at, tokens: fc.nat(60) }) },
  {
    weight: 4,
    arbitrary: fc.record({ kind: fc.constant('settle'), pick: fc.nat(9), share: fc.nat(100) }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('place'), pick: fc.nat(9) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('lose'), at }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('wake') }) },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('table'),
      next: fc.constantFrom('done', 'refused', 'lost', 'late'),
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('topup'), tokens: fc.nat(100) }) },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('run'),
      task: fc.constantFrom('settle', 'trim', 'reap', 'adoptLost'),
    }),
  },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('pass'), time: fc.nat(7000) }) },
);

// A table whose next commits have the planned outcomes. A `late` write takes effect after its
// caller has stopped waiting for the reply.
function createUnreliableTable() {
  const memory = createMemoryTable();
  const plans: Extract<Step, { kind: 'table' }>['next'][] = [];
  let late: Transaction[] = [];
  const table: Table = {
    ...memory,
    async commit(transaction) {
      const plan = plans.shift() ?? 'done';
      if (plan === 'refused') return Err({ kind: 'unavailable', message: 'down' });
      if (plan === 'done') return memory.commit(transaction);
      if (plan === 'lost') await memory.commit(transaction);
      if (plan === 'late') late.push(transaction);
      return Err({ kind: 'unknown', message: 'no answer' });
    },
  };
  async function commitLate(): Promise<void> {
    const arriving = late;
    late = [];
    for (const transaction of arriving) await memory.commit(transaction);
  }
  return { memory, table, plans, commitLate };
}

interface OpenRequest {
  held: HeldReservation;
  owner: string;
  isPlaced: boolean;
}

// Runs a schedule with the real keepers, witnesses, clients and ledger, and returns the number of
// tokens that the endpoints used. A request uses tokens only if its placement was acknowledged.
async function runSchedule(steps: Step[]) {
  const clock = createManualClock();
  const { memory, table, plans, commitLate } = createUnreliableTable();
  const objects = createMemoryObjects();
  const fleet = createMemoryFleet();
  const lost = new Set<string>();
  const used = new Map<string, number>();
  const open: OpenRequest[] = [];
  let toppedUp = 0;
  let requests = 0;

  const members = INSTANCES.map((instance) => {
    const network = fleet.join(instance);
    const locals = () => INSTANCES.filter((other) => !lost.has(other));
    const shared = { clock, self: network.self, network, getLocalInstances: locals };
    const keepers = createKeepers({
      ...shared,
      log: createSilentLog(),
      table,
      objects,
      policy: { kind: 'adaptive', horizonSeconds: 10 },
      getDataCentres: () => 1,
      isTableUnreachable: () => false,
      isLive: (identity) => !lost.has(identity.instance),
      isLost: (identity) => lost.has(identity.instance),
      stopRequest: async (placements) => ({
        promptTokens: placements.reduce((sum, { stream }) => sum + (used.get(stream) ?? 0), 0),
        completionTokens: 0,
      }),
    });
    return { keepers, client: createBudgetClient({ ...shared, random: createRandom(1) }) };
  });
  const ledger = createLedger({ clock, table: memory });

  async function reserve(instance: number, tokens: number): Promise<void> {
    const owner = INSTANCES[instance] ?? '';
    const member = members[instance];
    if (!member || lost.has(owner)) return;
    requests += 1;
    const request = `r${requests}`;
    const draft = { account: 'dispatch', budget: BUDGET, request, model: 'planner' };
    const placement = { endpoint: 'e', address: '127.0.0.1:1', stream: request };
    const outcome = member.client.reserve(draft, tokens, 100, () => placement);
    await clock.advance(200);
    const pending = Symbol('pending');
    const settled = await Promise.race([outcome, Promise.resolve(pending)]);
    if (typeof settled === 'symbol' || settled.err) return;
    const isPlaced = settled.val.placement !== undefined;
    // An endpoint may use the whole reservation once the request is sent.
    if (isPlaced) used.set(request, tokens);
    open.push({ held: settled.val, owner, isPlaced });
  }

  function settle(pick: number, share: number): void {
    const [entry] = open.splice(pick % Math.max(1, open.length), 1);
    if (!entry || lost.has(entry.owner)) return;
    const { held, isPlaced } = entry;
    const stream = held.placement?.stream ?? '';
    if (!isPlaced) {
      held.settle(undefined);
      return;
    }
    const tokens = Math.ceil((held.tokens * share) / 100);
    used.set(stream, tokens);
    const cost = { promptTokens: tokens, completionTokens: 0, tokens };
    const draft = { account: 'dispatch', budget: BUDGET, request: stream, model: 'planner' };
    held.settle({ ...draft, ...cost, at: '' });
  }

  async function applyStep(next: Step): Promise<void> {
    if (next.kind === 'reserve') await reserve(next.at, next.tokens + 1);
    if (next.kind === 'settle') settle(next.pick, next.share);
    if (next.kind === 'place') {
      const entry = open[next.pick % Math.max(1, open.length)];
      const placing = entry?.held.place({ endpoint: 'e', address: '127.0.0.1:1', stream: 'x' });
      await clock.advance(600);
      if (placing) await Promise.race([placing, Promise.resolve()]);
    }
    if (next.kind === 'lose' && lost.size === 0) {
      lost.add(INSTANCES[next.at] ?? '');
      fleet.cut.add(INSTANCES[next.at] ?? '');
    }
    if (next.kind === 'wake') {
      lost.clear();
      fleet.cut.clear();
      await commitLate();
    }
    if (next.kind === 'table') plans.push(next.next);
    if (next.kind === 'topup' && next.tokens > 0) {
      requests += 1;
      const topped = await ledger.topUp(BUDGET, `t${requests}`, next.tokens);
      if (topped.ok) toppedUp += next.tokens;
    }
    if (next.kind === 'run') {
      const live = members.filter((_, index) => !lost.has(INSTANCES[index] ?? ''));
      live.forEach(({ keepers }) => keepers[next.task]());
    }
    if (next.kind === 'pass') await clock.advance(next.time);
    await clock.advance(5);
  }

  await ledger.topUp(BUDGET, 'first', FIRST_TOP_UP);
  toppedUp += FIRST_TOP_UP;
  for (const next of steps) await applyStep(next);
  plans.length = 0;
  await commitLate();
  const total = [...used.values()].reduce((sum, tokens) => sum + tokens, 0);
  return { total, toppedUp, audit: (await auditLedger(memory, objects)).unwrap() };
}

test('no schedule of losses, pauses and lost replies spends more than the top-ups', async () => {
  const property = fc.asyncProperty(
    fc.array(step, { minLength: 12, maxLength: 48, size: 'max' }),
    async (steps) => {
      const { total, toppedUp, audit } = await runSchedule(steps);
      expect(total).toBeLessThanOrEqual(toppedUp);
      expect(audit.faults).toEqual([]);
    },
  );
  await fc.assert(property, { seed: SEED, numRuns: RUNS });
});
