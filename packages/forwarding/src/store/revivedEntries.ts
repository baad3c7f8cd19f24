import type { Clock, Milliseconds } from '@pomeloroad/core';
import type { EndpointRecord } from '../types';
import { isSameRun } from './endpointRecords';

/**
 * Time after which an entry that an older copy of the store brought back has lapsed again, unless its
 * endpoint renews it.
 */
const REVIVED_HOLD_MS: Milliseconds = 5000;

/** Entries that an older copy of the store has brought back, and that are not listed yet. */
export interface RevivedEntries {
  /** Holds an entry back; it is released some seconds later unless it is removed. */
  hold(record: EndpointRecord): void;
  /** Whether the entry is held as it is. */
  has(record: EndpointRecord): boolean;
  /** Forgets the entry of the id, if one is held. */
  remove(id: string): void;
}

/** Creates an empty set; `onReleased` is called with each entry that has not lapsed again. */
export function createRevivedEntries(
  clock: Clock,
  onReleased: (record: EndpointRecord) => void,
): RevivedEntries {
  const entries = new Map<string, EndpointRecord>();

  function release(record: EndpointRecord): void {
    if (entries.get(record.id) !== record) return;
    entries.delete(record.id);
    onReleased(record);
  }

  return {
    hold(record) {
      entries.set(record.id, record);
      clock.after(REVIVED_HOLD_MS, () => release(record));
    },
    has(record) {
      const held = entries.get(record.id);
      return held !== undefined && isSameRun(held, record) && held.sequence === record.sequence;
    },
    remove(id) {
      entries.delete(id);
    },
  };
}
