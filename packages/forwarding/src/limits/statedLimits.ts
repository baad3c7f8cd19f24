import { Diagnostics, runPeriodically, sleep } from '@pomeloroad/core';
import type { Clock, Diagnostic, Log, Milliseconds, Random } from '@pomeloroad/core';
import type {
  RowChange,
  RowKey,
  RowStore,
  RowView,
  StoreEra,
  StoreVersion,
} from '@pomeloroad/storage';
import type { SharedFeed } from '../store/sharedFeed';
import { createToldVersion } from '../store/toldVersion';
import { decodeStatedLimit, encodeStatedLimit, getStatedLimitKey } from './statedLimitRows';
import type { StatedLimitPartition, StatedLimitRow } from './statedLimitRows';

/** Interval at which shares follow the instances that are known, and lost rows are written again. */
const REVIEW_INTERVAL_MS: Milliseconds = 1000;
/** Maximum random delay of a write, so that not all instances that were told write at once. */
const WRITE_DELAY_MAX_MS: Milliseconds = 200;
/** Change of a limit, as a part of it, up to which it counts as the same: some name another one each time. */
const SAME_LIMIT_RATIO = 0.1;

/** Dependencies of knowing the limits that endpoints name. */
export interface StatedLimitsHost {
  clock: Clock;
  random: Random;
  log: Log;
  rows: RowStore;
  feed: SharedFeed;
  signal: AbortSignal;
  /** Whether the endpoint's incarnation is known and has not gone. */
  isListed(endpoint: string): boolean;
  /** Called with the limits in force, when they have changed and each second. */
  apply(limits: ReadonlyMap<string, number>): void;
}

/** One kind of limit that endpoints name. */
export interface StatedLimitKind {
  partition: StatedLimitPartition;
  named: Diagnostic;
  ended: Diagnostic;
}

/** The limits that endpoints name, as all instances know them. */
export interface StatedLimits {
  /**
   * Notes the limit that the head of an answer named, or that it named none. `sentAt` is the time of
   * `clock.elapsed()` when its request was sent.
   */
  note(endpoint: string, limit: number | undefined, sentAt: Milliseconds): void;
  /**
   * Lets the limit of an incarnation hold for the next one in its place, which may have named it under the former entry,
   * until it names none.
   */
  passOn(before: string, next: string): void;
  list(): Record<string, number>;
}

/** A limit and when this instance learned of it last. */
interface KnownLimit {
  limit: number;
  namedAt: Milliseconds;
}

/** Starts knowing the limits of one kind that endpoints name to any instance. */
export function startStatedLimits(host: StatedLimitsHost, kind: StatedLimitKind): StatedLimits {
  const { clock, random, log, rows, signal } = host;
  const told = createToldVersion();
  const known = new Map<string, KnownLimit>();
  /** Limits in the rows of the store, by the rows' keys. */
  const stored = new Map<string, StatedLimitRow>();
  /** Endpoints whose limits are being written. */
  const writing = new Set<string>();
  /** Those of them whose limits have ended since; their rows are to be removed and tell nothing. */
  const endedSince = new Set<string>();
  let era: StoreEra | undefined;

  function set(endpoint: string, limit: number): void {
    const before = known.get(endpoint);
    const isKnown = before && isSame(before.limit, limit);
    known.set(endpoint, { limit: isKnown ? before.limit : limit, namedAt: clock.elapsed() });
    if (isKnown) return;
    log(kind.named, { endpoint, limit });
    applyLimits();
  }

  function end(endpoint: string): void {
    const before = known.get(endpoint);
    if (!before || !known.delete(endpoint)) return;
    log(kind.ended, { endpoint, limit: before.limit });
    applyLimits();
  }

  function applyLimits(): void {
    host.apply(new Map([...known].map(([endpoint, { limit }]) => [endpoint, limit])));
  }

  function applyChange({ table, key, value }: RowChange): void {
    const row = value === undefined ? undefined : decodeStatedLimit(value);
    const before = stored.get(key);
    if (value !== undefined && !row) log(Diagnostics.rowUnreadable, { table, key });
    if (row) {
      stored.set(key, row);
      if (endedSince.has(row.endpoint)) return;
      const limit = known.get(row.endpoint)?.limit;
      if (limit === undefined || !isSame(limit, row.limit)) set(row.endpoint, row.limit);
      return;
    }
    stored.delete(key);
    if (before) end(before.endpoint);
  }

  function applyChanges(changes: RowChange[]): void {
    told.noteChanges(changes);
    changes.forEach(applyChange);
  }

  // Rows that are missing in a new era were lost with an older copy of the store, and are written again.
  function replaceAll(view: RowView): void {
    told.noteView(view);
    const keys = new Set(view.rows.map(({ key }) => key));
    const missing = [...stored].filter(([key]) => !keys.has(key));
    missing.forEach(([key, { endpoint }]) => {
      stored.delete(key);
      if (view.era === era) end(endpoint);
    });
    era = view.era;
    view.rows.forEach(applyChange);
  }

  async function write(endpoint: string): Promise<void> {
    await sleep(clock, random.integer(0, WRITE_DELAY_MAX_MS));
    const named = known.get(endpoint);
    const row = stored.get(getKey(endpoint).key);
    if (!named) {
      if (row) await remove(endpoint);
    } else if (!row || !isSame(row.limit, named.limit)) {
      await put(endpoint, named);
    }
  }

  async function put(endpoint: string, named: KnownLimit): Promise<void> {
    const key = getKey(endpoint);
    const row = { endpoint, limit: named.limit };
    const puts = [{ ...key, value: encodeStatedLimit(row) }];
    writing.add(endpoint);
    const written = await rows.transact({ checks: [], puts, removals: [] });
    writing.delete(endpoint);
    if (written.ok && told.includes(written.val)) endRemoved(endpoint, named, written.val);
    else if (written.ok) stored.set(key.key, row);
    if (endedSince.has(endpoint)) await remove(endpoint);
  }

  async function remove(endpoint: string): Promise<void> {
    const key = getKey(endpoint);
    const written = await rows.transact({ checks: [], puts: [], removals: [key] });
    if (written.ok && !told.includes(written.val)) stored.delete(key.key);
    // A row that is there yet is that of another instance.
    const row = stored.get(key.key);
    if (endedSince.delete(endpoint) && row) set(endpoint, row.limit);
  }

  // The feed may tell that a row is gone without having told that it was written.
  function endRemoved(endpoint: string, named: KnownLimit, at: StoreVersion): void {
    const isStored = stored.has(getKey(endpoint).key);
    const isNamedSince = known.get(endpoint) !== named;
    if (!isStored && !isNamedSince && at.era === era) end(endpoint);
  }

  function getKey(endpoint: string): RowKey {
    return getStatedLimitKey(kind.partition, endpoint);
  }

  async function review(): Promise<void> {
    applyLimits();
    const gone = [...known.keys()].filter((endpoint) => !host.isListed(endpoint));
    gone.forEach(end);
    // What the store has already is not written.
    await Promise.all([...gone, ...known.keys()].map(write));
  }

  host.feed.listen(kind.partition, {
    onView: replaceAll,
    onChanges: applyChanges,
  });
  runPeriodically(clock, () => REVIEW_INTERVAL_MS, signal, review);
  return {
    note(endpoint, limit, sentAt) {
      const before = known.get(endpoint);
      if (limit !== undefined) {
        endedSince.delete(endpoint);
        set(endpoint, limit);
        if (!before) write(endpoint);
        return;
      }
      // Answers on other connections may overtake each other: this one may be from before the limit.
      if (!before || sentAt < before.namedAt) return;
      if (writing.has(endpoint)) endedSince.add(endpoint);
      end(endpoint);
      write(endpoint);
    },
    passOn(before, next) {
      const named = known.get(before);
      if (!named || known.has(next)) return;
      known.set(next, named);
      log(kind.named, { endpoint: next, limit: named.limit });
      applyLimits();
    },
    list: () => Object.fromEntries([...known].map(([endpoint, { limit }]) => [endpoint, limit])),
  };
}

function isSame(left: number, right: number): boolean {
  return Math.abs(left - right) <= SAME_LIMIT_RATIO * Math.max(left, right);
}
