import type { Outcome } from '@pomeloroad/core';
import type { RowStore } from './rowStore';

/** A store with a record of whether its latest call was answered. */
export interface StoreHealth {
  /** The store; only calls made through this object are recorded. */
  rows: RowStore;
  /** Whether the latest call had no answer. Later calls are still sent and update it. */
  isSilent(): boolean;
}

/** Wraps a store and records whether its calls are answered. */
export function watchStore(rows: RowStore): StoreHealth {
  let isSilent = false;

  async function watch<T, E extends { kind: string }>(
    call: Promise<Outcome<T, E>>,
  ): Promise<Outcome<T, E>> {
    const outcome = await call;
    // Conflicts and a forgotten history are answers too.
    isSilent =
      outcome.err && (outcome.val.kind === 'unavailable' || outcome.val.kind === 'unknown');
    return outcome;
  }

  return {
    rows: {
      transact: (transaction) => watch(rows.transact(transaction)),
      list: (table, partition) => watch(rows.list(table, partition)),
      follow: (table, after, wait) => watch(rows.follow(table, after, wait)),
    },
    isSilent: () => isSilent,
  };
}
