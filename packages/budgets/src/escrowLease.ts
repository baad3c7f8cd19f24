import { Diagnostics, sleep } from '@pomeloroad/core';
import type { Clock, Log, Milliseconds } from '@pomeloroad/core';
import { FIRST_ERA } from '@pomeloroad/storage';
import type { RowStore, RowView, StoreEra, StoreVersion } from '@pomeloroad/storage';
import { getAgeForReserveShare, getReserveShareAtAge } from './escrowReserveShare';
import { getLeaseKey, parseLease } from './escrowRows';

/** Shortest interval between renewals of the lease. */
const RENEWAL_INTERVAL_MIN_MS: Milliseconds = 250;
/** Longest interval between renewals of the lease. */
const RENEWAL_INTERVAL_MAX_MS: Milliseconds = 600;
/** Interval for each instance: a larger fleet renews less often, because it shares the store. */
const RENEWAL_INTERVAL_PER_INSTANCE_MS: Milliseconds = 8;
/** Pause before a failed read or renewal is tried again. */
const RETRY_INTERVAL_MS: Milliseconds = 100;
/** Factor by which a successor overestimates a lease's age, because clocks differ in speed. */
const CLOCK_DRIFT_FACTOR = 1.1;

/** Dependencies of the lease. */
export interface LeaseHost {
  clock: Clock;
  log: Log;
  rows: RowStore;
  /** Name of the instance; it belongs to one machine, on which one process runs at a time. */
  instance: string;
  /** Identifies this run of the instance. */
  incarnation: string;
  /** Aborted when the lease is no longer to be renewed. */
  signal: AbortSignal;
  /** The number of instances that renew leases, this one included. */
  countInstances(): number;
  /** Whether the ceilings in the grants' rows cover all tokens in use; if not, no renewal starts. */
  isUsageCovered(): boolean;
}

/** An earlier run of this instance, whose grants may be reclaimed. */
export interface Predecessor {
  incarnation: string;
  /** The share of its reserves that it may have spent, from 0 to 1. */
  reserveShare: number;
}

/**
 * The lease of an instance on its reserves. The longer ago it was renewed, the more of its reserves
 * the instance may spend beyond the ceilings of its grants. A restarted instance derives from the
 * lease's age how much the earlier run may have spent. The lease stays after a shutdown: it names the
 * run whose grants the next one puts back if the store comes back from a copy that lacks them.
 */
export interface EscrowLease {
  /** The share of the reserves that may be spent now, from 0 to 1. */
  getReserveShare(): number;
  /** Time until this share may be spent if the lease is not renewed; infinite if it never may. */
  getReserveDelay(share: number): Milliseconds;
  /**
   * Waits until the leases can be read, then renews the lease until the signal is aborted. Returns
   * the earlier run that the lease names, if any.
   */
  start(): Promise<Predecessor | undefined>;
}

interface Renewal {
  /** The store's time when the renewal began, or earlier. */
  at: Milliseconds;
  /** The process's time when the renewal began. */
  startedAt: Milliseconds;
}

/** Creates a lease that is not renewed before `start`; until then no reserve may be spent. */
export function createEscrowLease(host: LeaseHost): EscrowLease {
  const { clock, log, rows, signal } = host;
  const leaseKey = getLeaseKey(host.instance);
  let storeTime: { now: Milliseconds; readAt: Milliseconds } | undefined;
  let version = 0;
  let era: StoreEra = FIRST_ERA;
  /** The earlier run that the lease named at the start. */
  let predecessor: string | undefined;
  let renewal: Renewal | undefined;
  let isRenewalPending = false;
  let isLeaseLost = false;
  let isReserveUseLogged = false;

  // Never later than the store's own time, because the answer's time in transit is not added.
  function estimateStoreTime(): Milliseconds {
    return storeTime ? storeTime.now + clock.elapsed() - storeTime.readAt : 0;
  }

  async function readLeases(): Promise<RowView | undefined> {
    const view = await rows.list(leaseKey.table, leaseKey.partition);
    if (view.err) return undefined;
    storeTime = { now: view.val.now, readAt: clock.elapsed() };
    return view.val;
  }

  async function start(): Promise<Predecessor | undefined> {
    while (!signal.aborted) {
      const requestedAt = clock.elapsed();
      const view = await readLeases();
      if (view) {
        const found = findPredecessor(view, requestedAt);
        renewRepeatedly();
        return found;
      }
      await sleep(clock, RETRY_INTERVAL_MS, signal);
    }
    return undefined;
  }

  function findPredecessor(view: RowView, requestedAt: Milliseconds): Predecessor | undefined {
    const row = view.rows.find((candidate) => candidate.key === host.instance);
    version = row?.version ?? 0;
    era = view.era;
    const lease = row && parseLease(row.value);
    if (!lease) return undefined;
    // The clock starts at 0 with the process, when the earlier run had ended. The lease's age is
    // taken at that moment.
    const startedBefore = view.now - requestedAt;
    predecessor = lease.incarnation;
    const reserveShare = getReserveShareAtAge((startedBefore - lease.at) * CLOCK_DRIFT_FACTOR);
    log(Diagnostics.predecessorFound, { predecessor: lease.incarnation, reserveShare, version });
    return { incarnation: lease.incarnation, reserveShare };
  }

  async function renewRepeatedly(): Promise<void> {
    while (!signal.aborted && !isLeaseLost) {
      const isRenewed = await renew();
      logReserveUse();
      await sleep(clock, isRenewed ? getRenewalDelay() : RETRY_INTERVAL_MS, signal);
    }
  }

  // A repeated renewal carries the time of its first attempt. If that is long ago, the next renewal
  // follows at once.
  function getRenewalDelay(): Milliseconds {
    const interval = getRenewalInterval(host.countInstances());
    return getLeaseAge() < interval ? interval : 0;
  }

  function logReserveUse(): void {
    const isReserveInUse = getReserveShare() > 0;
    if (isReserveInUse && !isReserveUseLogged)
      log(Diagnostics.reserveOpened, { at: renewal?.at, version });
    isReserveUseLogged = isReserveInUse;
  }

  // The age is 0, so that no reserve may be spent, before the first renewal and after a lost lease.
  function getLeaseAge(): Milliseconds {
    return isLeaseLost || !renewal ? 0 : clock.elapsed() - renewal.startedAt;
  }

  function getReserveShare(): number {
    return getReserveShareAtAge(getLeaseAge());
  }

  function getReserveDelay(share: number): Milliseconds {
    return isLeaseLost || !renewal ? Infinity : getAgeForReserveShare(share) - getLeaseAge();
  }

  // A renewal without an answer is repeated unchanged: it may have taken effect, so the lease must
  // not count as younger than the row says.
  async function renew(): Promise<boolean> {
    if (!isRenewalPending) {
      if (!host.isUsageCovered()) return false;
      renewal = { at: estimateStoreTime(), startedAt: clock.elapsed() };
    }
    isRenewalPending = true;
    const value = JSON.stringify({ incarnation: host.incarnation, at: renewal?.at });
    const written = await rows.transact({
      checks: [{ ...leaseKey, version }],
      puts: [{ ...leaseKey, value }],
      removals: [],
    });
    if (written.ok) {
      version = written.val.revision;
      era = written.val.era;
      isRenewalPending = false;
      return true;
    }
    if (written.val.kind === 'conflict') {
      const row = written.val.rows.find((candidate) => candidate.key === host.instance);
      const incarnation = row && parseLease(row.value)?.incarnation;
      handleConflict({ era: written.val.era, revision: row?.version ?? 0 }, incarnation);
    }
    return false;
  }

  // Either an earlier attempt has taken effect, or another process runs under the same name.
  function handleConflict(found: StoreVersion, incarnation: string | undefined): void {
    isRenewalPending = false;
    const isOlder = found.era > era && isFromBefore(incarnation);
    if (incarnation === host.incarnation || isOlder) {
      version = found.revision;
      era = found.era;
      return;
    }
    isLeaseLost = true;
    log(Diagnostics.leaseLost, { by: incarnation, version: found.revision });
  }

  // An older copy of the store has no lease of this run if it was made before the first renewal.
  function isFromBefore(incarnation: string | undefined): boolean {
    return incarnation === undefined || incarnation === predecessor;
  }

  return {
    start,
    getReserveShare,
    getReserveDelay,
  };
}

function getRenewalInterval(instances: number): Milliseconds {
  const interval = instances * RENEWAL_INTERVAL_PER_INSTANCE_MS;
  return Math.min(RENEWAL_INTERVAL_MAX_MS, Math.max(RENEWAL_INTERVAL_MIN_MS, interval));
}
