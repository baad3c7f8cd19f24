import { Diagnostics } from '@pomeloroad/core';
import type { Clock, Log, Milliseconds } from '@pomeloroad/core';
import type { Endpoint } from '@pomeloroad/configuration';
import type { EndpointRecord } from '../types';
import {
  findFate,
  hasLapsed,
  isServing,
  isUsable,
  LAPSED_GRACE_MS,
  updateEntry,
} from './directoryEntry';
import type { DirectoryEntry, IncarnationFate } from './directoryEntry';
import { getName, isOutdated, isSameRun, toEndpoint, toLapsed } from './endpointRecords';
import type { LapsedEndpoint } from './endpointRecords';
import { createRevivedEntries } from './revivedEntries';

/** Limit of the time in which a missing entry may reappear, for one that the feed reports as removed: it may be leaving. */
const REMOVED_GRACE_MS: Milliseconds = 900;

/** Dependencies of the directory. */
export interface DirectoryHost {
  clock: Clock;
  log: Log;
  /** Called when the usable endpoints may have changed. */
  onChange(): void;
  /** Called when an incarnation's entry has gone, or that of a later one has taken its place. */
  onLost(record: EndpointRecord): void;
  /** Called with the names of an incarnation and of the later one that has started in its place, at its address. */
  onReplaced(before: string, next: string): void;
  /**
   * Called when the entry of an endpoint's id tells another version of its software than before, also if it tells an
   * earlier start, and when that of the later start is back.
   */
  onVersionChanged(record: EndpointRecord): void;
}

/** Endpoints known from their entries in the store, and whether each may be used. */
export interface EndpointDirectory {
  /** Replaces the entries by a complete reading; entries missing from it are unlisted. */
  replaceAll(records: EndpointRecord[]): void;
  /**
   * Replaces the entries by those of an older copy of the store. Entries that were gone before are listed
   * once they change, or if they have not lapsed again after some seconds.
   */
  replaceByCopy(records: EndpointRecord[]): void;
  /** Adds or updates an entry; outdated records are ignored. */
  upsert(record: EndpointRecord): void;
  /** Unlists the entry; shortly after an outage it may stay usable for a while. */
  remove(id: string): void;
  /**
   * Records who else answers at the incarnation's address: another endpoint, which excludes the incarnation for good, or a
   * later incarnation, which tells that it has started again.
   */
  markReplaced(record: EndpointRecord, by: 'other' | 'later'): void;
  /** Records that a process answers at the incarnation's address that is not that of the incarnation. */
  noteOther(record: EndpointRecord): void;
  /** Returns the time since that was first known; `undefined` if it is not, or if the entry of a later one is known. */
  getOtherTime(record: EndpointRecord): Milliseconds | undefined;
  /** Excludes an incarnation for good because it said that it is leaving. */
  markLeaving(record: EndpointRecord): void;
  /** Records that the store does not answer, so that entries that lapse may reappear later. */
  markStoreUnavailable(): void;
  /** Records that the store answers. */
  markStoreAvailable(): void;
  /** Returns all endpoints; those that may not be used are marked as leaving. */
  list(): Endpoint[];
  /** Returns the entries that are listed or still usable, also of endpoints that are leaving. */
  listServing(): EndpointRecord[];
  /** Returns endpoints that have just lost their entries without saying that they leave, and may come back. */
  listLapsed(): LapsedEndpoint[];
  find(name: string): EndpointRecord | undefined;
  /** Returns what has become of the incarnation. */
  getFate(record: EndpointRecord): IncarnationFate;
  /** Returns the time since the incarnation's entry was first known; `undefined` if a later one is. */
  getKnownTime(record: EndpointRecord): Milliseconds | undefined;
  /** Whether a complete reading was received. */
  isLoaded(): boolean;
}

/** Creates an empty directory. */
export function createEndpointDirectory(host: DirectoryHost): EndpointDirectory {
  const { clock, log } = host;
  const entries = new Map<string, DirectoryEntry>();
  const revived = createRevivedEntries(clock, (record) => {
    if (applyRecord(record)) host.onChange();
  });
  let isStoreUnavailable = false;
  let storeAvailableAt: Milliseconds = -Infinity;
  let isLoaded = false;

  // Returns whether the change may affect routing.
  function applyRecord(record: EndpointRecord, writtenAt?: Milliseconds): boolean {
    const known = entries.get(record.id);
    if (known && isOutdated(record, known.record)) {
      noteIgnored(record);
      return false;
    }
    const entry = updateEntry(known, record, clock.elapsed(), writtenAt);
    entries.set(record.id, entry);
    const isSameIncarnation = known !== undefined && isSameRun(record, known.record);
    const { isLeaving } = entry.record;
    const { id, born, sequence, address, service, version } = record;
    if (known?.isListed && !isSameIncarnation) host.onLost(known.record);
    const isOtherVersion = known !== undefined && known.record.version !== version;
    if (isOtherVersion || known?.ignored) host.onVersionChanged(record);
    if (known && !isSameIncarnation && known.record.address === address) {
      host.onReplaced(getName(known.record), getName(record));
    }
    const isSame = known?.record.isLeaving === isLeaving && known.mayLeave === entry.mayLeave;
    if (known?.isListed && isSameIncarnation && isSame) return false;
    const event = isLeaving ? Diagnostics.endpointLeaving : Diagnostics.endpointListed;
    log(event, { endpoint: id, born, sequence, address, service, version });
    return true;
  }

  // A clock that was set back, or an older copy of the entry: nobody can tell which version answers.
  function noteIgnored(record: EndpointRecord): void {
    const known = entries.get(record.id);
    if (!known || record.born === known.record.born) return;
    const { ignored } = known;
    const isNoted = ignored?.version === record.version && ignored?.born === record.born;
    if (isNoted || record.version === known.record.version) return;
    known.ignored = record;
    host.onVersionChanged(record);
  }

  function unlist(id: string, grace: Milliseconds): boolean {
    const known = entries.get(id);
    if (!known?.isListed) return false;
    known.isListed = false;
    known.unlistedAt = clock.elapsed();
    host.onLost(known.record);
    known.usableUntil = mayHaveLapsed(known)
      ? Math.min(storeAvailableAt + LAPSED_GRACE_MS, clock.elapsed() + grace)
      : -Infinity;
    const remaining = known.usableUntil - clock.elapsed();
    const mayReturn = remaining > 0;
    const { born, sequence, version } = known.record;
    log(Diagnostics.endpointUnlisted, { endpoint: id, born, sequence, version, mayReturn });
    if (mayReturn) clock.after(remaining, () => expire(id, known));
    return true;
  }

  // One that was written since the outage is gone for another reason.
  function mayHaveLapsed({ writtenAt }: DirectoryEntry): boolean {
    return writtenAt <= storeAvailableAt;
  }

  // Does not compare with the clock because the timer may fire slightly early.
  function expire(id: string, entry: DirectoryEntry): void {
    if (entries.get(id) !== entry || entry.isListed) return;
    entries.set(id, { ...entry, usableUntil: -Infinity });
    host.onChange();
  }

  function replaceAll(records: EndpointRecord[]): void {
    isLoaded = true;
    const listed = new Set(records.map((record) => record.id));
    const missing = [...entries.keys()].filter((id) => !listed.has(id));
    missing.forEach((id) => revived.remove(id));
    const changes = [
      ...records.filter((record) => !revived.has(record)).map((record) => applyRecord(record)),
      ...missing.map((id) => unlist(id, LAPSED_GRACE_MS)),
    ];
    if (changes.some(Boolean)) host.onChange();
  }

  // An endpoint that was gone before the rewind is not used because of what the copy says of it.
  function holdBack(record: EndpointRecord): void {
    const known = entries.get(record.id);
    if (!known || isServing(known, clock.elapsed())) return;
    if (!isSameRun(record, known.record) || record.sequence > known.record.sequence) return;
    revived.hold(record);
  }

  return {
    replaceAll,
    replaceByCopy(records) {
      records.forEach(holdBack);
      replaceAll(records);
    },
    upsert(record) {
      revived.remove(record.id);
      if (applyRecord(record, clock.elapsed())) host.onChange();
    },
    remove(id) {
      revived.remove(id);
      if (unlist(id, REMOVED_GRACE_MS)) host.onChange();
    },
    markReplaced({ id, born }, by) {
      const known = entries.get(id);
      if (known?.record.born !== born) return;
      if (by === 'later') {
        // What needs no certain incarnation may go to the later one.
        known.isPast = true;
        known.otherAt ??= clock.elapsed();
        return;
      }
      if (known.record.isLeaving) return;
      known.record = { ...known.record, isLeaving: true };
      log(Diagnostics.endpointUnlisted, { endpoint: id, born, isReplaced: true });
      host.onChange();
    },
    noteOther({ id, born }) {
      const known = entries.get(id);
      if (known?.record.born === born) known.otherAt ??= clock.elapsed();
    },
    getOtherTime({ id, born }) {
      const known = entries.get(id);
      if (known?.otherAt === undefined || known.record.born !== born) return undefined;
      return clock.elapsed() - known.otherAt;
    },
    markLeaving({ id, born, version }) {
      const known = entries.get(id);
      if (!known || !isSameRun(known.record, { ...known.record, born, version })) return;
      if (known.record.isLeaving) return;
      known.record = { ...known.record, isLeaving: true };
      known.hasStatedLeaving = true;
      log(Diagnostics.endpointLeaving, { endpoint: id, born, version, isStated: true });
      host.onChange();
    },
    markStoreUnavailable() {
      isStoreUnavailable = true;
    },
    markStoreAvailable() {
      if (isStoreUnavailable) storeAvailableAt = clock.elapsed();
      isStoreUnavailable = false;
    },
    list: () =>
      [...entries.values()].map((entry) =>
        toEndpoint(entry.record, !isUsable(entry, clock.elapsed())),
      ),
    listServing: () =>
      [...entries.values()]
        .filter((entry) => isServing(entry, clock.elapsed()))
        .map(({ record }) => record),
    listLapsed: () =>
      [...entries.values()]
        .filter((entry) => hasLapsed(entry, clock.elapsed()))
        .map(({ record }) => toLapsed(record)),
    find: (name) => [...entries.values()].find(({ record }) => getName(record) === name)?.record,
    getFate: (record) => findFate(entries.get(record.id), record, clock.elapsed()),
    getKnownTime(record) {
      const known = entries.get(record.id);
      if (!known || !isSameRun(known.record, record)) return undefined;
      return clock.elapsed() - known.knownAt;
    },
    isLoaded: () => isLoaded,
  };
}
