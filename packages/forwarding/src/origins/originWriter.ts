import { runPeriodically, sleep } from '@pomeloroad/core';
import type { Clock, Milliseconds } from '@pomeloroad/core';
import type { RowStore, StoreEra, VersionedRow } from '@pomeloroad/storage';
import type { OriginMemory } from './originMemory';
import { STREAM_TIME_MAX_MS } from './versionHistory';
import { decodeOrigins, EMPTY_ROW, encodeOrigins, getOriginKey } from './originRows';
import type { OriginsByName } from './originRows';
import { createStoreTime } from './storeTime';

/** Shortest interval between two writes. */
const WRITE_INTERVAL_MIN_MS: Milliseconds = 100;
/** Interval for each instance: a larger fleet writes less often, because it shares the store. */
const WRITE_INTERVAL_PER_INSTANCE_MS: Milliseconds = 4;
/** Interval between checks for writes that no new stream causes, such as after a failure. */
const CHECK_INTERVAL_MS: Milliseconds = 300;
/** Age from which on the store's time is read again, since the clocks of two machines drift apart. */
const STORE_TIME_AGE_MAX_MS: Milliseconds = 60_000;

/** Dependencies of writing origins. */
export interface OriginWriterHost {
  clock: Clock;
  rows: RowStore;
  signal: AbortSignal;
  instance: string;
  /** Origins of this instance's streams by their names in rows. */
  memory: OriginMemory;
  countInstances(): number;
  /** Returns the era of the store as the instance knows it. */
  getEra(): StoreEra;
  /** Whether other instances may need the origins. */
  isNeeded(): boolean;
}

/** Somebody who waits for a write, until the signal is aborted. */
interface Waiting {
  signal: AbortSignal;
  onWritten(): void;
}

/** Writes origins to the store. */
export interface OriginWriter {
  /** Notes that there is a new origin. */
  note(): void;
  /** Notes that there is one that others need; resolves once it is in the store, or the signal is aborted. */
  record(signal: AbortSignal): Promise<void>;
}

/**
 * Records the origins of this instance's streams in one row while others may need them, so that
 * they outlive the instance. What an earlier run of the instance recorded is kept.
 */
export function startOriginWriter(host: OriginWriterHost): OriginWriter {
  const { clock, rows, signal, memory } = host;
  const key = getOriginKey(host.instance);
  const storeTime = createStoreTime(clock);
  let version = 0;
  let isDirty = true;
  let isRestored = false;
  let isWriting = false;
  let lastWriteAt: Milliseconds = -Infinity;
  let isRowEmpty = true;
  let knownEra = host.getEra();
  /** Those that wait until what was noted by then is in the store. */
  let waiting: Waiting[] = [];
  /** Time of `clock.elapsed()` until which the origins of an earlier run are kept. */
  let keepUntil: Milliseconds = -Infinity;

  const isNeeded = () => host.isNeeded() || clock.elapsed() < keepUntil;

  async function read(): Promise<VersionedRow[] | undefined> {
    const view = await rows.list(key.table, key.partition);
    if (view.err) return undefined;
    storeTime.note(view.val.now);
    return view.val.rows;
  }

  async function restore(): Promise<boolean> {
    const found = await read();
    if (!found) return false;
    const row = found.find((candidate) => candidate.key === key.key);
    if (!row) return true;
    version = row.version;
    isRowEmpty = row.value === EMPTY_ROW;
    if (!isRowEmpty) keepUntil = clock.elapsed() + STREAM_TIME_MAX_MS;
    const origins: OriginsByName = new Map();
    decodeOrigins(row.value, origins);
    origins.forEach(([origin], name) => {
      if (origin && !memory.find(name)) memory.restore(name, origin);
    });
    return true;
  }

  function encode(): string {
    const writtenAt = { timeOfDay: clock.now(), storeTime: storeTime.get() };
    return encodeOrigins(memory.list(), writtenAt);
  }

  async function write(): Promise<boolean> {
    // Without a new reading the time goes on from the last one.
    if (isNeeded() && storeTime.getAge() > STORE_TIME_AGE_MAX_MS) await read();
    // In one step with the change of `isDirty`: a stream that is noted in between would be missed.
    const value = isNeeded() ? encode() : EMPTY_ROW;
    const served = waiting;
    waiting = [];
    // Streams that an empty row leaves out are written once they are needed.
    isDirty = value === EMPTY_ROW;
    const written = await rows.transact({
      checks: [{ ...key, version }],
      puts: [{ ...key, value }],
      removals: [],
    });
    if (written.ok) {
      version = written.val.revision;
      isRowEmpty = value === EMPTY_ROW;
      served.forEach(({ onWritten }) => onWritten());
      return true;
    }
    isDirty = true;
    waiting.unshift(...served);
    // An earlier write without an answer has taken effect, or the store came back from a copy.
    if (written.val.kind === 'conflict') {
      version = written.val.rows.find((row) => row.key === key.key)?.version ?? 0;
    }
    return false;
  }

  function shouldWrite(): boolean {
    return isNeeded() ? isDirty && memory.list().length > 0 : !isRowEmpty;
  }

  function getInterval(): Milliseconds {
    const interval = host.countInstances() * WRITE_INTERVAL_PER_INSTANCE_MS;
    return Math.max(WRITE_INTERVAL_MIN_MS, interval);
  }

  // Writes at once, or an interval after the last write.
  async function flush(): Promise<void> {
    if (isWriting || !isRestored || !shouldWrite()) return;
    isWriting = true;
    await sleep(clock, Math.max(0, lastWriteAt + getInterval() - clock.elapsed()), signal);
    lastWriteAt = clock.elapsed();
    const isWritten = !signal.aborted && (await write());
    isWriting = false;
    if (isWritten) flush();
  }

  // What was written last may be missing from the copy, and what was emptied may be back.
  function noteEra(): void {
    const era = host.getEra();
    if (era === knownEra) return;
    knownEra = era;
    isDirty = true;
    isRowEmpty = false;
  }

  // Also notices that origins have come to be needed, or are needed no more.
  async function check(): Promise<void> {
    if (!isRestored) isRestored = await restore();
    noteEra();
    await flush();
  }

  function note(): void {
    isDirty = true;
    flush();
  }

  runPeriodically(clock, () => CHECK_INTERVAL_MS, signal, check);
  return {
    note,
    record(waitSignal) {
      // While the store is lost, those that have given up are not kept.
      waiting = waiting.filter((each) => !each.signal.aborted);
      const recorded = new Promise<void>((resolve) => {
        waiting.push({ signal: waitSignal, onWritten: resolve });
        waitSignal.addEventListener('abort', () => resolve(), { once: true });
      });
      note();
      return recorded;
    },
  };
}
