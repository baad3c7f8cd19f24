import { hashFields, runPeriodically, sleep } from '@pomeloroad/core';
import type { Clock, Milliseconds } from '@pomeloroad/core';
import type { RowChange, RowKey, RowStore, VersionedRow } from '@pomeloroad/storage';
import { isText, parseList } from '../store/rowFields';
import { shareCalls } from '../store/sharedCalls';
import { createVersionHistory, STREAM_TIME_MAX_MS } from './versionHistory';
import type { ServedVersion, VersionHistory } from './versionHistory';

const VERSION_TABLE = 'versions';
const VERSION_PARTITION = '';
const RETRY_DELAY_MS: Milliseconds = 200;
const CHECK_INTERVAL_MS: Milliseconds = 10_000;
/** Time after a version has served last until its row is removed: no stream of it is left. */
const RETENTION_MS: Milliseconds = 4 * STREAM_TIME_MAX_MS;

/** Dependencies of recording versions. */
export interface VersionRowsHost {
  clock: Clock;
  rows: RowStore;
  signal: AbortSignal;
  versions: VersionHistory;
}

/** The versions that have served, recorded so that they outlive all instances. */
export interface VersionRows {
  /** Whether the versions are known that served before this instance started. */
  isLoaded(): boolean;
  /**
   * Whether the store lists several versions of a service, or did until lately; an instance that starts
   * then counts them.
   */
  hasSeveral(): boolean;
  /** Records versions that are not yet; called when the endpoints that serve have changed. */
  update(): void;
  /** Reads the versions again that any instance has recorded; false if the store failed. */
  refresh(): Promise<boolean>;
}

/**
 * Reads which versions have served, and records new ones. A version that only a row tells counts as having served until
 * that is first read, since nobody knows when it ended.
 */
export function startVersionRows({ clock, rows, signal, versions }: VersionRowsHost): VersionRows {
  const recorded = new Map<string, RowChange['version']>();
  const listed = createVersionHistory(clock);
  /** Keys of the versions that serve. */
  let serving = new Set<string>();
  /** Keys of the versions that have served since the start. */
  const seen = new Set<string>();
  let isLoaded = false;
  let isWriting = false;

  async function read(): Promise<boolean> {
    const view = await rows.list(VERSION_TABLE, VERSION_PARTITION);
    if (view.err) return false;
    // A version may have come and gone unseen, or before the start; it may have streams all the same.
    versions.remember(decodeVersions(view.val.rows.filter(isUnknown)));
    recorded.clear();
    view.val.rows.forEach(({ key, version }) => recorded.set(key, version));
    listed.update(decodeVersions(view.val.rows));
    isLoaded = true;
    return true;
  }

  function isUnknown({ key, version }: VersionedRow): boolean {
    return recorded.get(key) !== version;
  }

  async function load(): Promise<void> {
    while (!signal.aborted && !(await read())) await sleep(clock, RETRY_DELAY_MS, signal);
    update();
  }

  // Others may miss that a version has come back, and then notice that its row is a new one.
  function forgetReturned(): void {
    const current = new Set(versions.listServing().map((served) => getKey(served).key));
    current.forEach((key) => {
      if (seen.has(key) && !serving.has(key)) recorded.delete(key);
      seen.add(key);
    });
    serving = current;
  }

  function listMissing(): ServedVersion[] {
    return versions.list(STREAM_TIME_MAX_MS).filter((served) => !recorded.has(getKey(served).key));
  }

  async function update(): Promise<void> {
    if (!isLoaded || isWriting) return;
    isWriting = true;
    for (let missing = listMissing(); missing.length > 0; missing = listMissing()) {
      const puts = missing.map((served) => ({ ...getKey(served), value: encode(served) }));
      const written = await rows.transact({ checks: [], puts, removals: [] });
      if (written.ok) puts.forEach(({ key }) => recorded.set(key, written.val.revision));
      else await sleep(clock, RETRY_DELAY_MS, signal);
      if (signal.aborted) break;
    }
    isWriting = false;
  }

  // Rows may be lost with the store's latest writes, or have outlived their version.
  async function check(): Promise<void> {
    if (!(await read())) return;
    update();
    const kept = new Set(versions.list(RETENTION_MS).map((served) => getKey(served).key));
    const old = [...recorded].filter(([key]) => !kept.has(key));
    if (old.length === 0) return;
    const checks = old.map(([key, version]) => ({ ...toRowKey(key), version }));
    await rows.transact({ checks, puts: [], removals: old.map(([key]) => toRowKey(key)) });
  }

  load();
  runPeriodically(clock, () => CHECK_INTERVAL_MS, signal, check);
  return {
    isLoaded: () => isLoaded,
    hasSeveral: listed.hasSeveralAnywhere,
    update() {
      forgetReturned();
      update();
    },
    refresh: shareCalls(read),
  };
}

function toRowKey(key: string): RowKey {
  return { table: VERSION_TABLE, partition: VERSION_PARTITION, key };
}

function getKey(served: ServedVersion): RowKey {
  return toRowKey(hashFields([encode(served)], Buffer.alloc(0)));
}

function encode({ service, version }: ServedVersion): string {
  return JSON.stringify([service, version ?? null]);
}

// A row that can't be read tells no version.
function decodeVersions(rows: VersionedRow[]): ServedVersion[] {
  return rows.map(({ value }) => decode(value)).filter(isDefined);
}

function decode(value: string): ServedVersion | undefined {
  const [service, version] = parseList(value);
  if (!isText(service)) return undefined;
  return { service, version: isText(version) ? version : undefined };
}

function isDefined(served: ServedVersion | undefined): served is ServedVersion {
  return served !== undefined;
}
