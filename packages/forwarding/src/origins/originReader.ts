import { withTimeout } from '@pomeloroad/core';
import type { Clock, Milliseconds } from '@pomeloroad/core';
import type { RowStore } from '@pomeloroad/storage';
import { decodeOrigins, getOriginPartitions } from './originRows';
import type { OriginsByName } from './originRows';

/** Maximum time of a read; a caller that waits longer would give up. */
const READ_TIMEOUT_MS: Milliseconds = 700;

/** Returns the origins that all instances have recorded, or `undefined` if the store fails. */
export type ReadOrigins = () => Promise<OriginsByName | undefined>;

/**
 * Creates a reader whose reads start after they were asked for. Those that are asked for while one
 * is under way share the next one.
 */
export function createOriginReader(clock: Clock, rows: RowStore): ReadOrigins {
  let current: Promise<unknown> = Promise.resolve();
  let next: Promise<OriginsByName | undefined> | undefined;

  async function read(): Promise<OriginsByName | undefined> {
    const lists = getOriginPartitions().map(({ table, partition }) => rows.list(table, partition));
    const views = await withTimeout(clock, READ_TIMEOUT_MS, Promise.all(lists), undefined);
    if (!views || views.some((view) => view.err)) return undefined;
    const origins: OriginsByName = new Map();
    views.forEach((view) =>
      view.map((found) => found.rows.forEach(({ value }) => decodeOrigins(value, origins))),
    );
    return origins;
  }

  async function readAfter(previous: Promise<unknown>): Promise<OriginsByName | undefined> {
    await previous;
    next = undefined;
    const reading = read();
    current = reading;
    return reading;
  }

  return () => {
    next ??= readAfter(current);
    return next;
  };
}
