import { withTimeout } from '@pomeloroad/core';
import type { Clock, Milliseconds } from '@pomeloroad/core';
import type { RowStore, RowView } from '@pomeloroad/storage';
import { shareCalls } from '../store/sharedCalls';
import { decodeOrigins, getOriginPartitions, isRecentRow } from './originRows';
import type { RecordedOrigin } from './originMemory';
import type { OriginsByName } from './originRows';

/** Maximum time of a read; a caller that waits longer would give up. */
export const READ_TIMEOUT_MS: Milliseconds = 700;

/** The origins that all instances have recorded. */
export interface RecordedOrigins {
  byName: OriginsByName;
  /** Those in rows that were written lately. */
  recent: RecordedOrigin[];
}

/** Returns the recorded origins, or `undefined` if the store fails. */
export type ReadOrigins = () => Promise<RecordedOrigins | undefined>;

/**
 * Creates a reader whose reads start after they were asked for. Those that are asked for while one
 * is under way share the next one.
 */
export function createOriginReader(clock: Clock, rows: RowStore): ReadOrigins {
  async function read(): Promise<RecordedOrigins | undefined> {
    const lists = getOriginPartitions().map(({ table, partition }) => rows.list(table, partition));
    const views = await withTimeout(clock, READ_TIMEOUT_MS, Promise.all(lists), undefined);
    if (!views || views.some((view) => view.err)) return undefined;
    return collect(views.flatMap((view) => (view.ok ? [view.val] : [])));
  }

  function collect(views: RowView[]): RecordedOrigins {
    const byName: OriginsByName = new Map();
    const recent: OriginsByName = new Map();
    views.forEach((view) => {
      const now = { timeOfDay: clock.now(), storeTime: view.now };
      view.rows.forEach(({ value }) => {
        decodeOrigins(value, byName);
        if (isRecentRow(value, now)) decodeOrigins(value, recent);
      });
    });
    return { byName, recent: [...recent.values()].flat() };
  }

  return shareCalls(read);
}
