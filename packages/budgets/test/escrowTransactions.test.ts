import { createManualClock, createRandom, createSilentLog } from '@pomeloroad/core';
import { createMemoryRowStore } from '@pomeloroad/storage';
import type { RowStore } from '@pomeloroad/storage';
import { getTotalKey, parseTotal } from '../src/escrowRows';
import { NO_ANCESTRY } from '../src/escrowRestoration';
import { createEscrowTransactions } from '../src/escrowTransactions';

const ACCOUNT = 'haldane';

/** Transactions on a store that has come back from a copy; `onWritten` runs before each answer. */
function setUp(onWritten: () => Promise<void>) {
  const memory = createMemoryRowStore();
  const rewind = memory.copy();
  rewind();
  const rows: RowStore = {
    ...memory,
    async transact(transaction) {
      const written = await memory.transact(transaction);
      await onWritten();
      return written;
    },
  };
  const clock = createManualClock();
  const transactions = createEscrowTransactions({
    escrow: {
      ...{ clock, rows, random: createRandom(1), log: createSilentLog() },
      ...{ instance: 'instance-0', incarnation: 'life-1' },
      isStoreUnresponsive: () => false,
      getReserveShare: () => 0,
      getReserveDelay: () => Infinity,
      countInstances: () => 2,
      listInstances: () => ['instance-0', 'instance-1'],
      isFleetCounted: () => true,
      getLimitsAge: () => 0,
    },
    account: ACCOUNT,
    getUse: () => ({ used: 0, limit: 1000 }),
    getAncestry: () => NO_ANCESTRY,
    onTotal: () => undefined,
  });
  transactions.startEra(memory.getEra());
  return { memory, transactions };
}

test('a later budget row that is told while the grant is put back is not replaced', async () => {
  const { memory, transactions } = setUp(async () => {
    const key = getTotalKey(ACCOUNT, memory.getEra());
    const [found] = (await memory.list(key.table, key.partition)).unwrap().rows;
    const total = found && parseTotal(found.value);
    const value = JSON.stringify({ ...total, calls: 1 });
    const written = await memory.transact({ checks: [], puts: [{ ...key, value }], removals: [] });
    transactions.updateTotal({ ...key, value, version: written.unwrap().revision });
  });
  expect(await transactions.restore()).toEqual({ kind: 'changed' });
  expect(transactions.isRestored()).toBe(true);
  expect(transactions.getTotal()).toMatchObject({ calls: 1, version: 2 });
});
