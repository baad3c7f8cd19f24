import type { Milliseconds } from '@pomeloroad/core';
import type { RowChange, RowKey, RowView } from '@pomeloroad/storage';
import { followTable } from './follow';
import type { FollowHost } from './follow';

/** Table of the rows that instances write for each other and that change seldom. */
export const SHARED_TABLE = 'shared';

/** Partitions of that table; each holds the rows of one kind. */
export type SharedPartition = 'suspects' | 'limits' | 'brittle' | 'relays';

const PARTITIONS: readonly SharedPartition[] = ['suspects', 'limits', 'brittle', 'relays'];
/** Longer than of other tables, which change more often; a dead connection is still noticed within 2 s. */
const FEED_WAIT_MS: Milliseconds = 1500;
const FEED_PAUSE_MS: Milliseconds = 100;

/** Returns the key of a row of that table. */
export function getSharedKey(partition: SharedPartition, key: string): RowKey {
  return { table: SHARED_TABLE, partition, key };
}

/** Callbacks for the rows of one partition. */
export interface PartitionListener {
  /** Receives all rows; `view.version` may be older than some of them. */
  onView(view: RowView): void;
  onChanges(changes: RowChange[]): void;
}

/** The feed of the shared table. One for all kinds of rows, because each instance pays for its calls. */
export interface SharedFeed {
  /** Adds the listener of a partition; to be called right after the start. */
  listen(partition: SharedPartition, listener: PartitionListener): void;
  /** Reads all rows again; false if the store failed. */
  refresh(): Promise<boolean>;
}

/** Starts following the shared table until the signal is aborted. */
export function startSharedFeed(host: FollowHost): SharedFeed {
  const listeners = new Map<string, PartitionListener>();

  const feed = followTable(host, {
    table: SHARED_TABLE,
    partitions: PARTITIONS,
    pause: FEED_PAUSE_MS,
    wait: FEED_WAIT_MS,
    onView: (view) =>
      listeners.forEach((listener, partition) =>
        listener.onView({ ...view, rows: view.rows.filter((row) => row.partition === partition) }),
      ),
    onChanges: (changes) =>
      listeners.forEach((listener, partition) => {
        const own = changes.filter((change) => change.partition === partition);
        if (own.length > 0) listener.onChanges(own);
      }),
    onUnavailable: () => undefined,
    onAvailable: () => undefined,
  });

  return {
    listen(partition, listener) {
      listeners.set(partition, listener);
    },
    refresh: feed.refresh,
  };
}
