import * as fc from 'fast-check';
import { createAccounts } from './accountsModel';
import type { TransactionFate, Work } from './accountsParts';

const INSTANCES = 3;
const SEED = 20261205;
const RUNS = Number(process.env.SCHEDULES ?? 40);
const FIRST_LIMIT = 600;
/** Time in which the streams that run have ended. */
const STREAM_TIME_MS = 600;
const STRIDES = { llm: 7, board: 2 };

type Service = 'llm' | 'board';

/** One step of a sequence. */
type Step =
  | { kind: 'ask'; at: number; work: Work; leavesAfter: number; count: number }
  /** Takes up at an instance a stream that has ended. */
  | { kind: 'takeUp'; at: number; pick: number }
  | { kind: 'kill'; at: number; down: number }
  | { kind: 'cut'; at: number; isCut: boolean }
  | { kind: 'fate'; next: TransactionFate }
  /** Delivers the late transactions. */
  | { kind: 'arrive' }
  /** Sets the services of the configuration, of which the route uses the first, and tops up. */
  | { kind: 'configure'; names: Service[]; strides: Record<Service, number>; topUp: number }
  | { kind: 'pass'; time: number };

const at = fc.nat({ max: INSTANCES - 1 });
const { constant } = fc;
const work = fc.record({ events: fc.integer({ min: 1, max: 12 }), breaksAfter: fc.nat(30) });
const stride = fc.integer({ min: 1, max: 9 });
const strides = fc.oneof(
  { weight: 20, arbitrary: constant(STRIDES) },
  { weight: 1, arbitrary: fc.record({ llm: stride, board: stride }) },
);
const step = fc.oneof<fc.WeightedArbitrary<Step>[]>(
  {
    weight: 8,
    arbitrary: fc.record({
      kind: constant('ask'),
      at,
      work,
      leavesAfter: fc.integer({ min: 1, max: 30 }),
      count: fc.integer({ min: 1, max: 4 }),
    }),
  },
  { weight: 6, arbitrary: fc.record({ kind: constant('takeUp'), at, pick: fc.nat(20) }) },
  { weight: 1, arbitrary: fc.record({ kind: constant('kill'), at, down: fc.nat(2000) }) },
  { weight: 2, arbitrary: fc.record({ kind: constant('cut'), at, isCut: fc.boolean() }) },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: constant('fate'),
      next: fc.constantFrom('refused', 'lost', 'late'),
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: constant('arrive') }) },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: constant('configure'),
      names: fc.subarray<Service>(['llm', 'board']),
      strides,
      topUp: fc.nat(100),
    }),
  },
  { weight: 4, arbitrary: fc.record({ kind: constant('pass'), time: fc.nat(1500) }) },
);

const toService = (sizes: Record<Service, number>) => (name: Service) => ({
  name,
  tokensPerEvent: sizes[name],
});

interface Result {
  delivered: number;
  paid: number;
  streams: number;
  takenUp: number;
  left: string[];
}

// Plays a sequence on whole instances; returns what was delivered, and what is reserved in the end.
async function play(steps: Step[]): Promise<Result> {
  let paid = FIRST_LIMIT;
  const services: Service[] = ['llm', 'board'];
  const accounts = createAccounts(services.map(toService(STRIDES)), paid);
  const { clock, store, members } = accounts;
  await accounts.begin();
  for (const next of steps) {
    if (next.kind === 'ask') {
      for (let index = 0; index < next.count; index += 1)
        accounts.ask(next.at, next.work, next.leavesAfter);
    }
    if (next.kind === 'takeUp') {
      await clock.advance(STREAM_TIME_MS);
      accounts.takeUp(next.at, next.pick);
    }
    if (next.kind === 'kill') {
      accounts.kill(next.at);
      await clock.advance(next.down);
      accounts.restart(next.at);
    }
    if (next.kind === 'cut') store.setCut(members[next.at]!.name, next.isCut);
    if (next.kind === 'fate') store.plan(next.next);
    if (next.kind === 'arrive') await store.deliverLate();
    if (next.kind === 'configure') {
      paid += next.topUp;
      await accounts.configure(next.names.map(toService(next.strides)), paid);
    }
    await clock.advance(next.kind === 'pass' ? next.time : 0);
  }
  const left = await accounts.finish();
  return {
    delivered: accounts.getDelivered(),
    paid,
    streams: accounts.countStreams(),
    takenUp: accounts.countTakenUp(),
    left,
  };
}

test('no sequence delivers more than what is prepaid, nor leaves tokens reserved', async () => {
  let streams = 0;
  let takenUp = 0;
  const property = fc.asyncProperty(
    fc.array(step, { minLength: 5, maxLength: 40 }),
    async (steps) => {
      const result = await play(steps);
      streams += result.streams;
      takenUp += result.takenUp;
      expect(result.left).toEqual([]);
      expect(result.delivered).toBeLessThanOrEqual(result.paid);
    },
  );
  await fc.assert(property, { seed: SEED, numRuns: RUNS });
  // Else the sequences would show nothing.
  expect(streams).toBeGreaterThan(RUNS);
  expect(takenUp).toBeGreaterThan(RUNS / 10);
});
