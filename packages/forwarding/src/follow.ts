import { Diagnostics, sleep } from '@pomeloroad/core';
import type { Clock, Log, Milliseconds } from '@pomeloroad/core';
import type { RowChange, RowStore, RowView } from '@pomeloroad/storage';

/** How long the store may keep a call waiting; a feed that went silent is noticed after it. */
const WAIT_MS: Milliseconds = 700;
const RETRY_MS: Milliseconds = 100;

/** What following a table needs from its surroundings. */
export interface FollowHost {
  clock: Clock;
  log: Log;
  rows: RowStore;
  signal: AbortSignal;
}

/** A table to follow, and who wants to know. */
export interface Follower {
  table: string;
  /** The partition whose rows are read at the start; `undefined` reads none. */
  partition: string | undefined;
  /** Pause between calls, so that changes come in bundles. */
  pause: Milliseconds;
  onView(view: RowView): void;
  onChanges(changes: RowChange[]): void;
  onOutage(): void;
  onReturn(): void;
}

/** A table that is followed. */
export interface Following {
  /** Reads the rows anew; for a process that stood still. */
  refresh(): Promise<boolean>;
}

/** Follows a table until the signal is aborted: a whole reading first, then its changes. */
export function followTable(host: FollowHost, follower: Follower): Following {
  const { clock, log, rows, signal } = host;
  const { table, partition } = follower;
  let version = 0;
  let isAway = false;

  async function refresh(): Promise<boolean> {
    const view = await rows.list(table, partition ?? '');
    if (view.err) {
      noteOutage(view.val.kind === 'unavailable' ? view.val.message : view.val.kind);
      return false;
    }
    noteReturn();
    version = Math.max(version, view.val.version);
    follower.onView(view.val);
    log(Diagnostics.feedRestarted, { table, version: view.val.version });
    return true;
  }

  async function run(): Promise<void> {
    let isCurrent = false;
    while (!signal.aborted) {
      isCurrent = isCurrent ? await followOnce() : await refresh();
      await sleep(clock, isCurrent ? follower.pause : RETRY_MS, signal);
    }
  }

  // Whether the feed can go on from where it is.
  async function followOnce(): Promise<boolean> {
    const view = await rows.follow(table, version, WAIT_MS);
    if (view.err) {
      if (view.val.kind === 'unavailable') noteOutage(view.val.message);
      return false;
    }
    noteReturn();
    version = Math.max(version, view.val.version);
    if (view.val.changes.length > 0) follower.onChanges(view.val.changes);
    return true;
  }

  function noteOutage(message: string): void {
    if (!isAway) log(Diagnostics.platformUnavailable, { table, version, message });
    isAway = true;
    follower.onOutage();
  }

  function noteReturn(): void {
    if (isAway) log(Diagnostics.platformRecovered, { table, version });
    isAway = false;
    follower.onReturn();
  }

  run();
  return { refresh };
}
