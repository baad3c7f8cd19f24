import { Err, Ok, Result } from 'ts-results';
import { checkDefined, Diagnostics, sleep } from '@pomeloroad/core';
import type { Clock, Log, Milliseconds, Outcome } from '@pomeloroad/core';
import type {
  FetchError,
  RowChange,
  RowStore,
  RowView,
  StoreCall,
  StoreEra,
} from '@pomeloroad/storage';

/** Time that the store holds a call open at most; also bounds the detection of a dead feed. */
const LONG_POLL_WAIT_MS: Milliseconds = 700;
const RETRY_DELAY_MS: Milliseconds = 100;

/** Dependencies of following a table. */
export interface FollowHost {
  clock: Clock;
  log: Log;
  rows: RowStore;
  signal: AbortSignal;
}

/** The table to follow and the callbacks for its rows. */
export interface TableListener {
  table: string;
  /** Partitions whose rows are read on a refresh, at least one. */
  partitions: readonly string[];
  /** Delay between calls, so that changes arrive in batches. */
  pause: Milliseconds;
  /** Time that the store holds a call open at most, if not the usual one. */
  wait?: Milliseconds;
  /** Receives all rows of the partitions, at the version of the oldest reading. */
  onView(view: RowView): void;
  onChanges(changes: RowChange[]): void;
  onUnavailable(): void;
  onAvailable(): void;
}

/** Handle of a table that is being followed. */
export interface FollowedTable {
  /** Reads all rows again, such as after a pause of the process; false if the store failed. */
  refresh(): Promise<boolean>;
  /** Time since the start of the latest call that was answered; infinite before the first one. */
  getAge(): Milliseconds;
  /** Returns the era of the latest answer; 0 before the first one. */
  getEra(): StoreEra;
  /** Duration of the running call or of the last one, whichever is longer. */
  getCallTime(): Milliseconds;
}

/** Reads all rows of the partitions, then follows the table's changes until the signal is aborted. */
export function followTable(host: FollowHost, listener: TableListener): FollowedTable {
  const { clock, log, rows, signal } = host;
  const { table, partitions } = listener;
  let version = 0;
  let era: StoreEra = 0;
  let isCurrent = false;
  let isUnavailable = false;
  let currentAt: Milliseconds = -Infinity;
  let callStartedAt: Milliseconds | undefined;
  let lastCallTime: Milliseconds = 0;

  async function refresh(): Promise<boolean> {
    const startedAt = clock.elapsed();
    const view = await listPartitions(rows, table, partitions);
    if (view.err) {
      logFailure('list', view.val);
      markUnavailable(view.val.kind === 'unavailable' ? view.val.message : view.val.kind);
      return false;
    }
    if (view.val.era < era) return false;
    if (view.val.era > era) startEra(view.val.era);
    markAvailable(startedAt);
    // The feed was faster: what it has told is newer than this reading, and is not told again.
    if (isCurrent && view.val.version < version) return true;
    version = Math.max(version, view.val.version);
    listener.onView(view.val);
    log(Diagnostics.feedRestarted, { table, version: view.val.version });
    return true;
  }

  async function pollChanges(): Promise<void> {
    while (!signal.aborted) {
      callStartedAt = clock.elapsed();
      isCurrent = isCurrent ? await readChanges() : await refresh();
      lastCallTime = clock.elapsed() - callStartedAt;
      callStartedAt = undefined;
      await sleep(clock, isCurrent ? listener.pause : RETRY_DELAY_MS, signal);
    }
  }

  // Returns whether the feed can continue from the current version.
  async function readChanges(): Promise<boolean> {
    const startedAt = clock.elapsed();
    const eraBefore = era;
    const view = await rows.follow(table, version, listener.wait ?? LONG_POLL_WAIT_MS);
    if (view.err) {
      logFailure('follow', view.val);
      if (view.val.kind === 'unavailable') markUnavailable(view.val.message);
      return false;
    }
    // Changes of another era do not continue from the version asked for: all rows are read again.
    if (view.val.era !== eraBefore || era !== eraBefore) return false;
    markAvailable(startedAt);
    // A reading was faster: it is newer than these changes, and the feed goes on from it.
    if (view.val.version < version) return true;
    version = view.val.version;
    if (view.val.changes.length > 0) listener.onChanges(view.val.changes);
    return true;
  }

  // Rows that are missing in a new era may be written again, as after an outage.
  function startEra(next: StoreEra): void {
    if (era > 0) {
      log(Diagnostics.storeRewound, { table, before: era, era: next, version });
      listener.onUnavailable();
    }
    era = next;
    version = 0;
  }

  function logFailure(call: StoreCall, error: FetchError): void {
    const message = error.kind === 'unavailable' ? error.message : undefined;
    const age = Math.round(getAge());
    log(Diagnostics.feedCallFailed, { table, call, version, age, outcome: error.kind, message });
  }

  function getAge(): Milliseconds {
    return clock.elapsed() - currentAt;
  }

  function getCallTime(): Milliseconds {
    const running = callStartedAt === undefined ? 0 : clock.elapsed() - callStartedAt;
    return Math.max(running, lastCallTime);
  }

  function markUnavailable(message: string): void {
    if (!isUnavailable) log(Diagnostics.platformUnavailable, { table, version, message });
    isUnavailable = true;
    listener.onUnavailable();
  }

  function markAvailable(startedAt: Milliseconds): void {
    currentAt = Math.max(currentAt, startedAt);
    if (isUnavailable) log(Diagnostics.platformRecovered, { table, version });
    isUnavailable = false;
    listener.onAvailable();
  }

  pollChanges();
  return { refresh, getAge, getEra: () => era, getCallTime };
}

// Changes between the readings are read again by the feed, which goes on from the oldest version.
async function listPartitions(
  rows: RowStore,
  table: string,
  partitions: readonly string[],
): Promise<Outcome<RowView, FetchError>> {
  const listed = Result.all(
    ...(await Promise.all(partitions.map((partition) => rows.list(table, partition)))),
  );
  if (listed.err) return listed;
  const views: RowView[] = listed.val;
  const first = checkDefined(views[0], 'a feed follows no partition');
  if (views.some((view) => view.era !== first.era)) return Err({ kind: 'forgotten' });
  return Ok({
    ...first,
    rows: views.flatMap((view) => view.rows),
    version: Math.min(...views.map((view) => view.version)),
  });
}
