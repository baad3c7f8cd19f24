import { Diagnostics, runPeriodically, sleep } from '@pomeloroad/core';
import type { Clock, Log, Milliseconds, Random } from '@pomeloroad/core';
import type { RowChange, RowStore, RowView, StoreEra } from '@pomeloroad/storage';
import { followTable } from '../store/follow';
import {
  decodeRateLimit,
  encodeRateLimit,
  getRateLimitKey,
  RATE_LIMIT_PARTITION,
  RATE_LIMIT_TABLE,
} from './rateLimitRows';
import type { RateLimitRow } from './rateLimitRows';
import { getRateShare } from './rateShares';

/** A dead connection is noticed within 3 s. */
const FEED_WAIT_MS: Milliseconds = 2500;
const FEED_PAUSE_MS: Milliseconds = 100;
/** Interval at which shares follow the instances that are known, and lost rows are written again. */
const REVIEW_INTERVAL_MS: Milliseconds = 1000;
/** Maximum random delay of a write, so that not all instances that were told write at once. */
const WRITE_DELAY_MAX_MS: Milliseconds = 200;
/** Change of a limit, as a part of it, up to which it counts as the same: some name another one each time. */
const SAME_LIMIT_RATIO = 0.1;

/** Dependencies of keeping to rate limits. */
export interface RateLimitsHost {
  clock: Clock;
  random: Random;
  log: Log;
  rows: RowStore;
  signal: AbortSignal;
  instance: string;
  /** Returns the names of the instances that run; empty until they are known. */
  listInstances(): string[];
  /** Whether the endpoint's incarnation is known and has not gone. */
  isListed(endpoint: string): boolean;
  /** Sets the requests a second that this instance may send to each limited endpoint. */
  setRateShares(shares: Map<string, number>): void;
}

/** The limits that endpoints name, as all instances know them. */
export interface RateLimits {
  /**
   * Notes what the head of an answer named: requests a second that the endpoint takes from all instances
   * together, or none. `sentAt` is the time of `clock.elapsed()` when its request was sent.
   */
  note(endpoint: string, limit: number | undefined, sentAt: Milliseconds): void;
  list(): Record<string, number>;
}

/** A limit and when this instance learned of it last. */
interface KnownLimit {
  limit: number;
  namedAt: Milliseconds;
}

/** Starts keeping to the limits that endpoints name to any instance. */
export function startRateLimits(host: RateLimitsHost): RateLimits {
  const { clock, random, log, rows, signal } = host;
  const known = new Map<string, KnownLimit>();
  /** Limits in the rows of the store, by the rows' keys. */
  const stored = new Map<string, RateLimitRow>();
  let era: StoreEra | undefined;

  function set(endpoint: string, limit: number): void {
    const before = known.get(endpoint);
    const isKnown = before && isSame(before.limit, limit);
    known.set(endpoint, { limit: isKnown ? before.limit : limit, namedAt: clock.elapsed() });
    if (isKnown) return;
    log(Diagnostics.rateLimitNamed, { endpoint, limit });
    applyShares();
  }

  function end(endpoint: string): void {
    const before = known.get(endpoint);
    if (!before || !known.delete(endpoint)) return;
    log(Diagnostics.rateLimitEnded, { endpoint, limit: before.limit });
    applyShares();
  }

  function applyShares(): void {
    const instances = host.listInstances();
    const shares = [...known].map(([endpoint, { limit }]): [string, number] => [
      endpoint,
      getRateShare(endpoint, limit, host.instance, instances),
    ]);
    host.setRateShares(new Map(shares));
  }

  function applyChange({ key, value }: RowChange): void {
    const row = value === undefined ? undefined : decodeRateLimit(value);
    const before = stored.get(key);
    if (value !== undefined && !row)
      log(Diagnostics.rowUnreadable, { table: RATE_LIMIT_TABLE, key });
    if (row) {
      stored.set(key, row);
      const told = known.get(row.endpoint)?.limit;
      if (told === undefined || !isSame(told, row.limit)) set(row.endpoint, row.limit);
      return;
    }
    stored.delete(key);
    if (before) end(before.endpoint);
  }

  // Rows that are missing in a new era were lost with an older copy of the store, and are written again.
  function replaceAll(view: RowView): void {
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
    const key = getRateLimitKey(endpoint);
    const limit = known.get(endpoint)?.limit;
    const row = stored.get(key.key);
    if (limit === undefined ? !row : row && isSame(row.limit, limit)) return;
    const puts =
      limit === undefined ? [] : [{ ...key, value: encodeRateLimit({ endpoint, limit }) }];
    const removals = limit === undefined ? [key] : [];
    const written = await rows.transact({ checks: [], puts, removals });
    if (written.err) return;
    if (limit === undefined) stored.delete(key.key);
    else stored.set(key.key, { endpoint, limit });
  }

  async function review(): Promise<void> {
    applyShares();
    const gone = [...known.keys()].filter((endpoint) => !host.isListed(endpoint));
    gone.forEach(end);
    // What the store has already is not written.
    await Promise.all([...gone, ...known.keys()].map(write));
  }

  followTable(host, {
    table: RATE_LIMIT_TABLE,
    partition: RATE_LIMIT_PARTITION,
    pause: FEED_PAUSE_MS,
    wait: FEED_WAIT_MS,
    onView: replaceAll,
    onChanges: (changes) => changes.forEach(applyChange),
    onUnavailable: () => undefined,
    onAvailable: () => undefined,
  });
  runPeriodically(clock, () => REVIEW_INTERVAL_MS, signal, review);
  return {
    note(endpoint, limit, sentAt) {
      const before = known.get(endpoint);
      if (limit !== undefined) {
        set(endpoint, limit);
        if (!before) write(endpoint);
        return;
      }
      // Answers on other connections may overtake each other: this one may be from before the limit.
      if (!before || sentAt < before.namedAt) return;
      end(endpoint);
      write(endpoint);
    },
    list: () => Object.fromEntries([...known].map(([endpoint, { limit }]) => [endpoint, limit])),
  };
}

function isSame(left: number, right: number): boolean {
  return Math.abs(left - right) <= SAME_LIMIT_RATIO * Math.max(left, right);
}
