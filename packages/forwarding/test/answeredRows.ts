import { Ok } from 'ts-results';
import type {
  RowChange,
  RowStore,
  RowTransaction,
  RowView,
  StoreVersion,
} from '@pomeloroad/storage';
import type { PartitionListener, SharedFeed } from '../src/store/sharedFeed';

/** What came of a transaction. */
export type TransactResult = Awaited<ReturnType<RowStore['transact']>>;

/** Creates rows whose transactions are answered, and whose feed tells changes, as the test says. */
export function createAnsweredRows() {
  const answers: ((result: TransactResult) => void)[] = [];
  const transactions: RowTransaction[] = [];
  let listener!: PartitionListener;
  const rows = {
    transact(transaction: RowTransaction) {
      transactions.push(transaction);
      return new Promise<TransactResult>((resolve) => {
        answers.push(resolve);
      });
    },
  } as unknown as RowStore;
  const feed: SharedFeed = {
    listen(_, partitionListener) {
      listener = partitionListener;
    },
    refresh: async () => true,
  };
  return {
    rows,
    feed,
    transactions,
    view: (at: StoreVersion, ...found: RowView['rows']) =>
      listener.onView({ rows: found, version: at.revision, era: at.era, now: 0 }),
    tell: (...changes: RowChange[]) => listener.onChanges(changes),
    /** Answers the transaction that has waited longest. */
    answer: (result: TransactResult) => answers.shift()?.(result),
    /** Answers all transactions that have come, as committed at the version. */
    commitAll: (version: StoreVersion) =>
      answers.splice(0).forEach((resolve) => resolve(Ok(version))),
  };
}
