import { Diagnostics, sleep } from '@pomeloroad/core';
import type { Clock, Log, Milliseconds } from '@pomeloroad/core';
import type { RowStore, RowView } from '@pomeloroad/storage';
import { getOpeningAge, getOpenShare } from './escrowOpening';
import { getLeaseKey, parseLease } from './escrowRows';

/** How often the lease is renewed: in a large fleet less often, since the store is shared. */
const LEAST_RENEWAL_MS: Milliseconds = 250;
const MOST_RENEWAL_MS: Milliseconds = 600;
const RENEWAL_MS_PER_INSTANCE: Milliseconds = 8;
const RETRY_MS: Milliseconds = 100;
/** A lease looks older to a successor by this factor, since clocks differ in speed. */
const CLOCK_MARGIN = 1.1;

/** What a lease needs from its surroundings. */
export interface LeaseHost {
  clock: Clock;
  log: Log;
  rows: RowStore;
  /** Belongs to one machine, on which one process runs at a time. */
  instance: string;
  incarnation: string;
  signal: AbortSignal;
  /** How many instances renew leases, this one included. */
  countInstances(): number;
  /** Whether the rows of all grants cover what is spent; only then the lease may be renewed. */
  isCovered(): boolean;
}

/** An earlier life of this instance whose grants may be reclaimed. */
export interface Predecessor {
  incarnation: string;
  /** The part of its reserves that it can have spent, 0 to 1. */
  reserveShare: number;
}

/**
 * The lease by which a successor knows what this life can have spent. The older it is, the more of
 * its reserve may an instance spend beyond the ceilings of its grants.
 */
export interface EscrowLease {
  /** The part of the reserves that may be spent now, 0 to 1. */
  getReserveShare(): number;
  /** Until this part of the reserves may be spent, as things stand; infinite if it never may. */
  getOpeningDelay(share: number): Milliseconds;
  /** Takes the lease over from an earlier life, then renews it until the signal is aborted. */
  start(): Promise<Predecessor | undefined>;
  /** Ends the lease at a shutdown. */
  end(): Promise<void>;
}

interface Renewal {
  /** The store's time; not later than the renewal's start. */
  at: Milliseconds;
  startedAt: Milliseconds;
}

/** Creates a lease that has not been taken yet; until then no reserve may be spent. */
export function createEscrowLease(host: LeaseHost): EscrowLease {
  const { clock, log, rows, signal } = host;
  const place = getLeaseKey(host.instance);
  let storeTime: { now: Milliseconds; readAt: Milliseconds } | undefined;
  let version = 0;
  let renewal: Renewal | undefined;
  let isPending = false;
  let isLost = false;
  let isNoted = false;

  // Not later than the store's own time: what the answer took on its way is left out.
  function estimateStoreTime(): Milliseconds {
    return storeTime ? storeTime.now + clock.elapsed() - storeTime.readAt : 0;
  }

  async function read(): Promise<RowView | undefined> {
    const view = await rows.list(place.table, place.partition);
    if (view.err) return undefined;
    storeTime = { now: view.val.now, readAt: clock.elapsed() };
    return view.val;
  }

  async function start(): Promise<Predecessor | undefined> {
    while (!signal.aborted) {
      const askedAt = clock.elapsed();
      const view = await read();
      if (view) {
        const predecessor = findPredecessor(view, askedAt);
        run();
        return predecessor;
      }
      await sleep(clock, RETRY_MS, signal);
    }
    return undefined;
  }

  function findPredecessor(view: RowView, askedAt: Milliseconds): Predecessor | undefined {
    const row = view.rows.find((candidate) => candidate.key === host.instance);
    version = row?.version ?? 0;
    const lease = row && parseLease(row.value);
    if (!lease) return undefined;
    // The clock counts from the start of the process, when the earlier life was over.
    const startedBefore = view.now - askedAt;
    const reserveShare = getOpenShare((startedBefore - lease.at) * CLOCK_MARGIN);
    log(Diagnostics.predecessorFound, { predecessor: lease.incarnation, reserveShare, version });
    return { incarnation: lease.incarnation, reserveShare };
  }

  async function run(): Promise<void> {
    while (!signal.aborted && !isLost) {
      const isRenewed = await renew();
      noteOpening();
      await sleep(clock, isRenewed ? getPause() : RETRY_MS, signal);
    }
  }

  // A renewal that was sent again says when it was first sent, which may be long ago.
  function getPause(): Milliseconds {
    const interval = getRenewalInterval(host.countInstances());
    return getAge() < interval ? interval : 0;
  }

  function noteOpening(): void {
    const isOpening = getReserveShare() > 0;
    if (isOpening && !isNoted) log(Diagnostics.reserveOpened, { at: renewal?.at, version });
    isNoted = isOpening;
  }

  // Young as long as the lease was never taken, or is another process's.
  function getAge(): Milliseconds {
    return isLost || !renewal ? 0 : clock.elapsed() - renewal.startedAt;
  }

  function getReserveShare(): number {
    return getOpenShare(getAge());
  }

  function getOpeningDelay(share: number): Milliseconds {
    return isLost || !renewal ? Infinity : getOpeningAge(share) - getAge();
  }

  // A renewal without an answer is sent again as it was: its time must not be younger than it says.
  async function renew(): Promise<boolean> {
    if (!isPending) {
      if (!host.isCovered()) return false;
      renewal = { at: estimateStoreTime(), startedAt: clock.elapsed() };
    }
    isPending = true;
    const value = JSON.stringify({ incarnation: host.incarnation, at: renewal?.at });
    const written = await rows.transact({
      checks: [{ ...place, version }],
      puts: [{ ...place, value }],
      removals: [],
    });
    if (written.ok) {
      version = written.val;
      isPending = false;
      return true;
    }
    if (written.val.kind === 'conflict') {
      const row = written.val.rows.find((candidate) => candidate.key === host.instance);
      takeConflict(row?.version ?? 0, row && parseLease(row.value)?.incarnation);
    }
    return false;
  }

  // An earlier attempt was done after all, or another process runs under this name.
  function takeConflict(found: number, incarnation: string | undefined): void {
    isPending = false;
    if (incarnation === host.incarnation) {
      version = found;
      return;
    }
    isLost = true;
    log(Diagnostics.leaseLost, { by: incarnation, version: found });
  }

  return {
    start,
    getReserveShare,
    getOpeningDelay,
    async end() {
      const ended = await rows.transact({
        checks: [{ ...place, version }],
        puts: [],
        removals: [place],
      });
      if (ended.err) log(Diagnostics.heartbeatFailed, { outcome: ended.val.kind });
    },
  };
}

function getRenewalInterval(instances: number): Milliseconds {
  const interval = instances * RENEWAL_MS_PER_INSTANCE;
  return Math.min(MOST_RENEWAL_MS, Math.max(LEAST_RENEWAL_MS, interval));
}
