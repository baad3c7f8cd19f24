import { sleep } from '@pomeloroad/core';
import type { Clock, Milliseconds } from '@pomeloroad/core';
import { LEASE_PARTITIONS, LEASE_TABLE } from '@pomeloroad/budgets';
import type { RowStore, VersionedRow } from '@pomeloroad/storage';

const COUNT_MS: Milliseconds = 4000;
/** Time without a renewal after which an instance is not counted any more. */
const LOST_MS: Milliseconds = 11_000;
/** Before the first reading; too many is safe, since shares are smaller then. */
const ASSUMED_INSTANCES = 8;

/** What counting needs from its surroundings. */
export interface CountHost {
  clock: Clock;
  rows: RowStore;
  signal: AbortSignal;
}

interface Sighting {
  version: number;
  at: Milliseconds;
}

/** Starts to count the instances that renew their leases; the result reads the latest count. */
export function countInstances({ clock, rows, signal }: CountHost): () => number {
  const sightings = new Map<string, Sighting>();
  let counted = ASSUMED_INSTANCES;

  async function read(): Promise<void> {
    const views = await Promise.all(LEASE_PARTITIONS.map((name) => rows.list(LEASE_TABLE, name)));
    // While the store is away nobody is seen; the last count stays.
    if (views.some((view) => view.err)) return;
    views.forEach((view) => view.map(({ rows: found }) => found.forEach(noteSighting)));
    const since = clock.elapsed() - LOST_MS;
    counted = Math.max(1, [...sightings.values()].filter(({ at }) => at >= since).length);
  }

  function noteSighting(row: VersionedRow): void {
    const known = sightings.get(row.key);
    if (known?.version === row.version) return;
    sightings.set(row.key, { version: row.version, at: clock.elapsed() });
  }

  async function run(): Promise<void> {
    while (!signal.aborted) {
      await sleep(clock, COUNT_MS, signal);
      await read();
    }
  }

  run();
  return () => counted;
}
