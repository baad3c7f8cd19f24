import { sleep } from '@pomeloroad/core';
import type { Clock, Milliseconds } from '@pomeloroad/core';
import { LEASE_PARTITIONS, LEASE_TABLE } from '@pomeloroad/budgets';
import type { RowStore, VersionedRow } from '@pomeloroad/storage';

const COUNT_INTERVAL_MS: Milliseconds = 4000;
/** Time without a lease renewal after which an instance is no longer counted. */
const RENEWAL_TIMEOUT_MS: Milliseconds = 11_000;
/**
 * Least count until the second reading, since the first one misses instances that start at the same
 * time; a high value is safe because it makes each share smaller.
 */
const INITIAL_INSTANCE_COUNT = 8;

/** Dependencies of counting instances. */
export interface InstanceCountHost {
  clock: Clock;
  rows: RowStore;
  signal: AbortSignal;
  /** Called with the names of the counted instances, from the second reading on. */
  onCounted?(names: string[]): void;
}

/** How many instances renew their leases. */
export interface InstanceCount {
  /** Returns the latest count, at least 1. */
  get(): number;
  /** Whether all instances that started together with this one are counted. */
  isConfirmed(): boolean;
}

interface Renewal {
  version: number;
  at: Milliseconds;
}

/** Starts counting the instances that renew their leases, until the signal is aborted. */
export function startInstanceCount({
  clock,
  rows,
  signal,
  onCounted,
}: InstanceCountHost): InstanceCount {
  const renewals = new Map<string, Renewal>();
  let instanceCount = INITIAL_INSTANCE_COUNT;
  let isConfirmed = false;

  async function updateCount(least: number): Promise<void> {
    const views = await Promise.all(LEASE_PARTITIONS.map((name) => rows.list(LEASE_TABLE, name)));
    // No renewal can be seen while the store is unavailable, so the last count stays in force.
    if (views.some((view) => view.err)) return;
    views.forEach((view) => view.map(({ rows: found }) => found.forEach(recordRenewal)));
    const since = clock.elapsed() - RENEWAL_TIMEOUT_MS;
    const counted = [...renewals].filter(([, { at }]) => at >= since).map(([name]) => name);
    instanceCount = Math.max(least, counted.length);
    if (least > 1) return;
    isConfirmed = true;
    onCounted?.(counted);
  }

  function recordRenewal(row: VersionedRow): void {
    const known = renewals.get(row.key);
    if (known?.version === row.version) return;
    renewals.set(row.key, { version: row.version, at: clock.elapsed() });
  }

  async function poll(): Promise<void> {
    await updateCount(INITIAL_INSTANCE_COUNT);
    while (!signal.aborted) {
      await sleep(clock, COUNT_INTERVAL_MS, signal);
      await updateCount(1);
    }
  }

  poll();
  return { get: () => instanceCount, isConfirmed: () => isConfirmed };
}
