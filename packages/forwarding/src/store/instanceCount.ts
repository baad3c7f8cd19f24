import { sleep } from '@pomeloroad/core';
import type { Clock, Milliseconds } from '@pomeloroad/core';
import { LEASE_PARTITIONS, LEASE_TABLE, parseLease } from '@pomeloroad/budgets';
import { FIRST_ERA } from '@pomeloroad/storage';
import type { RowStore, StoreEra, VersionedRow } from '@pomeloroad/storage';

const COUNT_INTERVAL_MS: Milliseconds = 4000;
/** Pause before a first reading that failed is tried again, since budgets wait for it after a rewind. */
const RETRY_INTERVAL_MS: Milliseconds = 500;
/** Time without a lease renewal after which an instance is no longer counted. */
const RENEWAL_TIMEOUT_MS: Milliseconds = 11_000;
/**
 * Age of a lease, against the newest one, above which its instance was gone before this process started.
 * More than a store is away, and than the age of the copy from which it may come back.
 */
const FORMER_LEASE_AGE_MS: Milliseconds = 30_000;
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
  /** Names of the instances that renew their leases; `undefined` until the leases have been read. */
  list(): string[] | undefined;
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
  /** Instances whose leases were old at the first reading, and have not been renewed since. */
  let former = new Set<string>();
  let counted: string[] | undefined;
  let era: StoreEra = FIRST_ERA;
  let instanceCount = INITIAL_INSTANCE_COUNT;
  let isConfirmed = false;

  async function updateCount(least: number): Promise<void> {
    const views = await Promise.all(LEASE_PARTITIONS.map((name) => rows.list(LEASE_TABLE, name)));
    // No renewal can be seen while the store is unavailable, so the last count stays in force.
    if (views.some((view) => view.err)) return;
    const found = views.map((view) => view.unwrap());
    const leases = found.flatMap((view) => view.rows);
    keepThroughRewind(Math.max(...found.map((view) => view.era)), leases);
    if (!counted) former = findFormer(leases);
    leases.forEach(recordRenewal);
    const since = clock.elapsed() - RENEWAL_TIMEOUT_MS;
    counted = [...renewals].filter(([, { at }]) => at >= since).map(([name]) => name);
    instanceCount = Math.max(least, counted.length);
    if (least > 1) return;
    isConfirmed = true;
    onCounted?.(counted);
  }

  // The copy may lack the lease of an instance that is cut off, so it counts as renewed at the rewind. The
  // lease of one that was not counted before is an older one, which is no renewal.
  function keepThroughRewind(next: StoreEra, leases: VersionedRow[]): void {
    if (next <= era) return;
    era = next;
    counted?.forEach((name) => {
      const known = renewals.get(name);
      if (known) renewals.set(name, { ...known, at: clock.elapsed() });
    });
    leases.forEach(({ key, version }) => {
      const known = renewals.get(key);
      if (known && !counted?.includes(key)) renewals.set(key, { ...known, version });
    });
  }

  function recordRenewal(row: VersionedRow): void {
    const known = renewals.get(row.key);
    if (known?.version === row.version) return;
    if (known) former.delete(row.key);
    renewals.set(row.key, { version: row.version, at: clock.elapsed() });
  }

  async function poll(): Promise<void> {
    const startedAt = clock.elapsed();
    while (!signal.aborted) {
      const isStarting = !counted && clock.elapsed() - startedAt < COUNT_INTERVAL_MS;
      await updateCount(isStarting ? INITIAL_INSTANCE_COUNT : 1);
      await sleep(clock, counted ? COUNT_INTERVAL_MS : RETRY_INTERVAL_MS, signal);
    }
  }

  poll();
  return {
    get: () => instanceCount,
    list: () => counted?.filter((name) => !former.has(name)),
    isConfirmed: () => isConfirmed,
  };
}

function findFormer(leases: VersionedRow[]): Set<string> {
  const renewedAt = (row: VersionedRow) => parseLease(row.value)?.at ?? Infinity;
  const newest = Math.max(...leases.map(renewedAt).filter(Number.isFinite));
  const old = leases.filter((row) => newest - renewedAt(row) > FORMER_LEASE_AGE_MS);
  return new Set(old.map(({ key }) => key));
}
