import { createManualClock, createSilentLog } from '@pomeloroad/core';
import { createMemoryFleet } from '@pomeloroad/peers';
import { createMemoryTable } from '@pomeloroad/storage';
import { createLedger } from '../src';
import type { UsageRecord } from '../src';
import { createKeeper } from '../src/keeper';
import { WitnessTopics } from '../src/topics';
import type { GrantRow } from '../src/types';
import { createWitness } from '../src/witness';
import { createWitnessLink } from '../src/witnessLink';

const BUDGET = 'dispatch/routes';
const draft = { account: 'dispatch', budget: BUDGET, request: 'r', model: 'planner' };
const placement = { endpoint: 'e', address: '127.0.0.1:1', stream: 's' };
const cost = { promptTokens: 3, completionTokens: 4, tokens: 7 };
const record: UsageRecord = { ...draft, ...cost, at: '2026-01-01T00:00:00.000Z' };

/** A keeper with a grant that no peer witnesses, and peers; the naming of one waits for `name`. */
async function setUp() {
  const clock = createManualClock();
  const fleet = createMemoryFleet();
  const network = fleet.join('a');
  createWitness(clock, fleet.join('b'));
  createWitness(clock, fleet.join('c'));
  const locals = ['a'];
  const table = createMemoryTable();
  const ledger = createLedger({ clock, table });
  let name: () => void = () => undefined;
  const named = new Promise<void>((resolve) => {
    name = resolve;
  });
  let noteNaming: () => void = () => undefined;
  const naming = new Promise<void>((resolve) => {
    noteNaming = resolve;
  });
  let answer: () => void = () => undefined;
  const answered = new Promise<void>((resolve) => {
    answer = resolve;
  });
  const { self } = network;
  const state = { resizeAnswer: Promise.resolve() };
  const link = createWitnessLink({ self, network, getLocalInstances: () => locals });
  const keeper = createKeeper(
    {
      ...{ clock, log: createSilentLog(), self },
      policy: { kind: 'adaptive', horizonSeconds: 3600 },
      ledger: {
        ...ledger,
        async resize(...change) {
          const outcome = await ledger.resize(...change);
          await state.resizeAnswer;
          return outcome;
        },
        async setWitness(grant, witness) {
          noteNaming();
          await named;
          return ledger.setWitness(grant, witness);
        },
      },
      getDataCentres: () => 1,
      witnesses: {
        ...link,
        async openLog(held, witness, isWhole) {
          const outcome = await link.openLog(held, witness, isWhole);
          if (isWhole) await answered;
          return outcome;
        },
      },
      isTableUnreachable: () => false,
      recall: async () => ({ released: 0, pending: 0 }),
    },
    BUDGET,
  );
  await ledger.topUp(BUDGET, 'one', 1000);
  const request = { budget: BUDGET, tokens: 100, patience: 1000, owner: self, draft };
  const reserve = (id: string) => keeper.reserve({ ...request, id });
  await reserve('first');
  locals.push('b');

  async function readLog() {
    const { grant } = keeper.describe();
    return (await network.call('b', WitnessTopics.seal, { grant }, 100)).unwrap();
  }

  function findWitness(): unknown {
    const row = table.rows().find(({ key }) => key.startsWith('grant/'));
    return (row?.value as GrantRow).witness?.instance;
  }

  // Names a witness that is told that the whole grant is charged, and then another one in its place.
  async function replaceToldWitness(isAnswerLate: boolean): Promise<void> {
    name();
    await keeper.maintainWitness(false);
    const told = keeper.maintainWitness(true);
    if (!isAnswerLate) answer();
    if (!isAnswerLate) await told;
    fleet.cut.add('b');
    locals.push('c');
    await keeper.maintainWitness(false);
    answer();
    await told;
  }

  return {
    keeper,
    fleet,
    state,
    naming,
    name,
    answer,
    reserve,
    readLog,
    findWitness,
    replaceToldWitness,
  };
}

test('a request placed while a witness is named is in its log', async () => {
  const { keeper, naming, name, reserve, readLog } = await setUp();
  const maintained = keeper.maintainWitness(false);
  await naming;
  await reserve('second');
  const isPlaced = keeper.place('second', placement);
  name();
  await maintained;
  expect(await isPlaced).toBe(true);
  const log = await readLog();
  expect(log?.reservations).toMatchObject([{ id: 'first' }, { id: 'second' }]);
});

test('a request settled while a witness is named is in its log', async () => {
  const { keeper, naming, name, readLog } = await setUp();
  const maintained = keeper.maintainWitness(false);
  await naming;
  const settled = keeper.settle('first', record);
  name();
  await maintained;
  expect(await settled).toBe('settled');
  expect(await readLog()).toMatchObject({ reservations: [], records: [{ tokens: 7 }] });
});

test.each([false, true])(
  'a witness that was not told of a full charge is replaced if it gets no note (late answer: %s)',
  async (isAnswerLate) => {
    const { keeper, fleet, findWitness, replaceToldWitness } = await setUp();
    await replaceToldWitness(isAnswerLate);
    expect(findWitness()).toBe('c');
    fleet.cut.add('c');
    expect(await keeper.place('first', placement)).toBe(true);
    expect(findWitness()).toBeUndefined();
  },
);

test('a witness whose full charge is being taken back is replaced if it gets no note', async () => {
  const { keeper, fleet, name, answer, findWitness } = await setUp();
  name();
  answer();
  await keeper.maintainWitness(false);
  await keeper.maintainWitness(true);
  const told = keeper.maintainWitness(false);
  fleet.cut.add('b');
  expect(await keeper.place('first', placement)).toBe(true);
  await told;
  expect(findWitness()).toBeUndefined();
});

test('a resize answered after the grant was closed by another instance does not bring it back', async () => {
  const { keeper, state, name, readLog } = await setUp();
  name();
  await keeper.maintainWitness(false);
  const { grant } = keeper.describe();
  let answerResize: () => void = () => undefined;
  state.resizeAnswer = new Promise((resolve) => {
    answerResize = resolve;
  });
  const released = keeper.release(true);
  await readLog();
  expect(await keeper.place('first', placement)).toBe(false);
  answerResize();
  expect(await released).toBeGreaterThan(0);
  expect(keeper.describe()).toMatchObject({ size: 0, free: 0 });
  expect(keeper.describe().grant).not.toBe(grant);
});
