import type { Outcome } from '@pomeloroad/core';
import type { RowStore } from './rowStore';

/** Whether a store answers, by its latest calls. */
export interface StoreHealth {
  /** The same store; its calls are watched. */
  rows: RowStore;
  /** Whether the latest call had no answer. Calls that check it go on meanwhile. */
  isSilent(): boolean;
}

/** Watches the calls of a store. */
export function watchStore(rows: RowStore): StoreHealth {
  let isSilent = false;

  async function watch<T, E extends { kind: string }>(
    call: Promise<Outcome<T, E>>,
  ): Promise<Outcome<T, E>> {
    const outcome = await call;
    // A conflict and a forgotten history are answers as well.
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
