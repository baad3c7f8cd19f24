import { createManualClock, createSilentLog } from '@pomeloroad/core';
import { createMemoryFleet } from '@pomeloroad/peers';
import { createMemoryTable } from '@pomeloroad/storage';
import { createLedger } from '../src';
import type { UsageRecord } from '../src';
import { createKeeper } from '../src/keeper';
import { WitnessTopics } from '../src/topics';
import { createWitness } from '../src/witness';
import { createWitnessLink } from '../src/witnessLink';

const BUDGET = 'dispatch/routes';
const draft = { account: 'dispatch', budget: BUDGET, request: 'r', model: 'planner' };
const placement = { endpoint: 'e', address: '127.0.0.1:1', stream: 's' };
const cost = { promptTokens: 3, completionTokens: 4, tokens: 7 };
const record: UsageRecord = { ...draft, ...cost, at: '2026-01-01T00:00:00.000Z' };

/** A keeper with a grant that no peer witnesses, and a peer; the peer's naming waits for `name`. */
async function setUp() {
  const clock = createManualClock();
  const fleet = createMemoryFleet();
  const network = fleet.join('a');
  const peer = fleet.join('b');
  createWitness(clock, peer);
  const locals = ['a'];
  const ledger = createLedger({ clock, table: createMemoryTable() });
  let name: () => void = () => undefined;
  const named = new Promise<void>((resolve) => {
    name = resolve;
  });
  let noteNaming: () => void = () => undefined;
  const naming = new Promise<void>((resolve) => {
    noteNaming = resolve;
  });
  const keeper = createKeeper(
    {
      ...{ clock, log: createSilentLog(), self: network.self },
      policy: { kind: 'adaptive', horizonSeconds: 3600 },
      ledger: {
        ...ledger,
        async setWitness(grant, witness) {
          noteNaming();
          await named;
          return ledger.setWitness(grant, witness);
        },
      },
      getDataCentres: () => 1,
      witnesses: createWitnessLink({
        self: network.self,
        network,
        getLocalInstances: () => locals,
      }),
      isTableUnreachable: () => false,
      recall: async () => ({ released: 0, pending: 0 }),
    },
    BUDGET,
  );
  await ledger.topUp(BUDGET, 'one', 1000);
  const request = { budget: BUDGET, tokens: 100, patience: 1000, owner: network.self, draft };
  const reserve = (id: string) => keeper.reserve({ ...request, id });
  await reserve('first');
  locals.push('b');

  async function readLog() {
    const { grant } = keeper.describe();
    return (await network.call('b', WitnessTopics.seal, { grant }, 100)).unwrap();
  }

  return { keeper, naming, name, reserve, readLog };
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
