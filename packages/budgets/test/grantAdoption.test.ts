import { createManualClock, createSilentLog } from '@pomeloroad/core';
import { createMemoryTable } from '@pomeloroad/storage';
import { createLedger } from '../src';
import { createGrantAdoption } from '../src/grantAdoption';
import { createGrant } from '../src/heldGrant';
import type { Keeper } from '../src/keeperTypes';
import type { WitnessLink } from '../src/witnessLink';

const BUDGET = 'dispatch/routes';
const self = createIdentity('self');

function createIdentity(instance: string) {
  return { instance, incarnation: `${instance}-1`, dataCentre: 'kent' };
}

/** Adopts the grants of all other instances; the keepers of these close as `closed` says. */
function setUp(closed: Promise<boolean>) {
  const table = createMemoryTable();
  const ledger = createLedger({ clock: createManualClock(), table });
  const created: Keeper[] = [];
  const log = { reservations: [], records: [], isWhole: false };
  const adoption = createGrantAdoption({
    log: createSilentLog(),
    self,
    table,
    ledger,
    witnesses: {
      sealLog: async () => ({ kind: 'log', log }),
    } as Partial<WitnessLink> as WitnessLink,
    getLocalInstances: () => [self.instance],
    isLost: ({ instance }) => instance !== self.instance,
    createSuccessor: () => {
      const keeper: Partial<Keeper> = {
        isChargedInFull: () => false,
        release: async () => 0,
        close: () => closed,
      };
      created.push(keeper as Keeper);
      return keeper as Keeper;
    },
  });

  async function adoptGrantOf(instance: string): Promise<void> {
    const { row, ...grant } = createGrant(createIdentity(instance), BUDGET);
    await ledger.resize({ ...grant, row: { ...row, witness: self } }, () => 100, false);
    await adoption.adoptLost();
  }

  return { adoption, created, adoptGrantOf, topUp: () => ledger.topUp(BUDGET, 'one', 1000) };
}

test.each([false, true])(
  'a grant adopted while another one closes is not dropped (closed: %s)',
  async (isClosed) => {
    let endClosing: (isClosed: boolean) => void = () => undefined;
    const closed = new Promise<boolean>((resolve) => {
      endClosing = resolve;
    });
    const { adoption, created, adoptGrantOf, topUp } = setUp(closed);
    await topUp();
    await adoptGrantOf('b');
    const closing = adoption.closeUnused();
    await adoptGrantOf('c');
    endClosing(isClosed);
    await closing;
    expect(created).toHaveLength(2);
    expect(adoption.listKeepers()).toEqual(isClosed ? created.slice(1) : created);
  },
);
