import type { Milliseconds } from '@pomeloroad/core';
import type { EndpointRecord } from '../types';
import { isSameRun } from './endpointRecords';

/**
 * Time after an outage of the store, or of an endpoint, during which a missing entry may reappear: entries
 * lapse while endpoints cannot renew them, and live endpoints renew within about two seconds.
 */
export const LAPSED_GRACE_MS: Milliseconds = 2200;

/** What has become of an endpoint's incarnation, as its entry in the store tells. */
export type IncarnationFate = 'listed' | 'leaving' | 'gone' | 'started again';

/** What is known of the latest incarnation of an endpoint. Times are those of `clock.elapsed()`. */
export interface DirectoryEntry {
  record: EndpointRecord;
  isListed: boolean;
  /** Time until which an unlisted entry may be used. */
  usableUntil: Milliseconds;
  /** Time when the entry was unlisted; `Infinity` while it is listed. */
  unlistedAt: Milliseconds;
  /** Time at which the feed last told that it was written. */
  writtenAt: Milliseconds;
  /** Time at which the incarnation was first known. */
  knownAt: Milliseconds;
  /** Whether an answer alone told that it is leaving. */
  hasStatedLeaving: boolean;
  /** Whether that may have been said under the former entry, so that it is not used until it is written once more. */
  mayLeave: boolean;
  /** Whether a later incarnation has answered, whose entry is not known yet. */
  isPast?: boolean;
  /** Time at which another process was first found at its address; left out if none was. */
  otherAt?: Milliseconds | undefined;
  /** What the entry told last that is of an earlier start and another version; left out if it was not ignored. */
  ignored?: EndpointRecord;
}

/** Returns the entry as a record tells it that is not outdated; `writtenAt` is left out if it may have been written before. */
export function updateEntry(
  known: DirectoryEntry | undefined,
  record: EndpointRecord,
  now: Milliseconds,
  writtenAt?: Milliseconds,
): DirectoryEntry {
  const listed = {
    isListed: true,
    usableUntil: Infinity,
    unlistedAt: Infinity,
    writtenAt: writtenAt ?? known?.writtenAt ?? -Infinity,
  };
  if (!known || !isSameRun(record, known.record)) {
    const mayLeave = known !== undefined && mayBeSpeaker(record, known);
    return { ...listed, record, knownAt: now, hasStatedLeaving: false, mayLeave };
  }
  const isWritten = writtenAt !== undefined || record.sequence !== known.record.sequence;
  return {
    ...listed,
    record: { ...record, isLeaving: record.isLeaving || known.record.isLeaving },
    knownAt: known.knownAt,
    hasStatedLeaving: known.hasStatedLeaving && !record.isLeaving,
    mayLeave: known.mayLeave && !isWritten,
    isPast: known.isPast,
    otherAt: known.otherAt,
  };
}

// Until its entry came, what an endpoint said was taken for that of the one in whose place it has started. One that
// leaves takes its entry back, or says so there.
function mayBeSpeaker({ address }: EndpointRecord, former: DirectoryEntry): boolean {
  if (!former.isListed || former.record.address !== address) return false;
  return former.hasStatedLeaving;
}

/** Returns whether new work may be sent there. */
export function isUsable(entry: DirectoryEntry, now: Milliseconds): boolean {
  return !entry.record.isLeaving && !entry.mayLeave && isServing(entry, now);
}

/** Returns whether the entry is listed or still usable, also that of an endpoint that is leaving. */
export function isServing({ isListed, usableUntil }: DirectoryEntry, now: Milliseconds): boolean {
  return isListed || now < usableUntil;
}

/** Returns whether the entry has just gone without a word of leaving, and may come back. */
export function hasLapsed(entry: DirectoryEntry, now: Milliseconds): boolean {
  const { record, isListed, unlistedAt } = entry;
  return !isListed && !record.isLeaving && now - unlistedAt < LAPSED_GRACE_MS;
}

/** Returns what has become of the incarnation, by the entry of its id. */
export function findFate(
  known: DirectoryEntry | undefined,
  { born }: EndpointRecord,
  now: Milliseconds,
): IncarnationFate {
  if (!known) return 'gone';
  if (known.record.born > born || known.isPast) return 'started again';
  if (known.record.isLeaving) return 'leaving';
  return isServing(known, now) ? 'listed' : 'gone';
}
