import type { Clock, Milliseconds, Outcome } from '@pomeloroad/core';
import type { RowStore } from './rowStore';

/** Kind of a call to the row store. */
export type StoreCall = 'transact' | 'list' | 'follow';

/** A call to the row store that has ended. */
export interface EndedCall {
  call: StoreCall;
  /** The table that was read; `undefined` for a transaction. */
  table: string | undefined;
  /** `ok` or the kind of the error. */
  outcome: string;
  duration: Milliseconds;
}

/** A store with a record of whether its latest call was answered. */
export interface StoreHealth {
  /** The store; only calls made through this object are recorded. */
  rows: RowStore;
  /** Whether the latest call had no answer. Later calls are still sent and update it. */
  isSilent(): boolean;
}

/** Wraps a store and records whether its calls are answered; reports each call that has ended. */
export function watchStore(
  clock: Clock,
  rows: RowStore,
  onEnd: (ended: EndedCall) => void,
): StoreHealth {
  let isSilent = false;

  async function watch<T, E extends { kind: string }>(
    call: StoreCall,
    table: string | undefined,
    pending: Promise<Outcome<T, E>>,
  ): Promise<Outcome<T, E>> {
    const startedAt = clock.elapsed();
    const result = await pending;
    const outcome = result.err ? result.val.kind : 'ok';
    // Conflicts and a forgotten history are answers too.
    isSilent = outcome === 'unavailable' || outcome === 'unknown';
    onEnd({ call, table, outcome, duration: clock.elapsed() - startedAt });
    return result;
  }

  return {
    rows: {
      transact: (transaction) => watch('transact', undefined, rows.transact(transaction)),
      list: (table, partition) => watch('list', table, rows.list(table, partition)),
      follow: (table, after, wait) => watch('follow', table, rows.follow(table, after, wait)),
    },
    isSilent: () => isSilent,
  };
}
