import { Diagnostics, sleep } from '@pomeloroad/core';
import type { Clock, Log, Milliseconds } from '@pomeloroad/core';
import type { RowStore, VersionedRow } from '@pomeloroad/storage';

/** Table with one row for each instance, written again and again while it lives. */
const INSTANCE_TABLE = 'instances';
const HEARTBEAT_MS: Milliseconds = 2000;
/** Silence after which an instance is not counted any more. */
const LOST_MS: Milliseconds = 7000;
/** Before the first reading; too many is safe, since shares are smaller then. */
const ASSUMED_INSTANCES = 8;

/** What counting needs from its surroundings. */
export interface CountHost {
  clock: Clock;
  log: Log;
  rows: RowStore;
  instance: string;
  incarnation: string;
  signal: AbortSignal;
}

/** How many instances share budgets and repeats, by their rows in the store. */
export interface InstanceCount {
  count(): number;
  /** Removes this instance's row. */
  leave(): Promise<void>;
}

interface Sighting {
  version: number;
  at: Milliseconds;
}

/** Starts to announce this instance and to count the others. */
export function countInstances(host: CountHost): InstanceCount {
  const { clock, log, rows, signal } = host;
  const place = { table: INSTANCE_TABLE, partition: '', key: host.instance };
  const sightings = new Map<string, Sighting>();
  let counted = ASSUMED_INSTANCES;

  async function beat(): Promise<void> {
    const value = JSON.stringify({ incarnation: host.incarnation });
    const written = await rows.transact({ checks: [], puts: [{ ...place, value }], removals: [] });
    const listed = written.ok ? await rows.list(INSTANCE_TABLE, '') : undefined;
    if (!listed || listed.err) {
      log(Diagnostics.heartbeatFailed, { counted });
      return;
    }
    listed.val.rows.forEach(noteSighting);
    const since = clock.elapsed() - LOST_MS;
    // While the store is away nobody is seen; the last count stays.
    counted = Math.max(1, [...sightings.values()].filter(({ at }) => at >= since).length);
  }

  function noteSighting(row: VersionedRow): void {
    const known = sightings.get(row.key);
    if (known?.version === row.version) return;
    sightings.set(row.key, { version: row.version, at: clock.elapsed() });
  }

  async function run(): Promise<void> {
    while (!signal.aborted) {
      await beat();
      await sleep(clock, HEARTBEAT_MS, signal);
    }
  }

  run();
  return {
    count: () => counted,
    async leave() {
      const removed = await rows.transact({ checks: [], puts: [], removals: [place] });
      if (removed.err) log(Diagnostics.heartbeatFailed, { counted });
    },
  };
}
