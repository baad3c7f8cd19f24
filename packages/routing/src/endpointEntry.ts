import { Diagnostics, MS_PER_SECOND } from '@pomeloroad/core';
import type { Clock, Log, Milliseconds } from '@pomeloroad/core';
import type { Endpoint } from '@pomeloroad/configuration';
import type { Reachability } from './reachability';
import type { EndpointView, LoadReport, SlotResult } from './types';

/** Consecutive failures after which an endpoint is avoided for a while. */
const FAILURES_BEFORE_BACKOFF = 2;
/** Back-off of the first round; each further round adds as much. */
const BACKOFF_STEP_MS = 2000;
/** Maximum back-off of an endpoint that keeps failing. */
const BACKOFF_MAX_MS = 8000;
/** Silence with requests in flight after which an endpoint is chosen only as a last resort. */
const STALL_TIMEOUT_MS = 600;
/** Must be shorter than the time within which a leaving endpoint must get no new requests. */
const LOAD_REPORT_MAX_AGE_MS = 1500;

/** Dependencies of an endpoint's entry. */
export interface EndpointEntryHost {
  clock: Clock;
  log: Log;
  /** Called when an endpoint has failed; not for one that was only silent. */
  onFailure?(name: string, result: 'failed' | 'unreachable'): void;
}

/** When an endpoint may be asked again. */
export interface Pace {
  /** Time of `clock.elapsed()` until which it wants no requests. */
  pausedUntil: Milliseconds;
  /** Time of `clock.elapsed()` when it was last sent one. */
  lastTakenAt: Milliseconds;
}

/** One endpoint with its load and health. */
export interface EndpointEntry {
  view(): EndpointView;
  configure(endpoint: Endpoint): void;
  setListedLeaving(isListed: boolean): void;
  setRateShare(share: number | undefined): void;
  setSlotShare(share: number | undefined): void;
  pause(until: Milliseconds): void;
  /** Keeps to the pause and pace of the entry in whose place this one has started, and counts its requests too. */
  follow(predecessor: EndpointEntry): void;
  getPace(): Pace;
  /** Returns the number of requests in flight, also at the entry that this one follows. */
  countInFlight(): number;
  report(report: LoadReport): void;
  isStale(): boolean;
  take(): void;
  recordActivity(): void;
  getActivityTime(): Milliseconds;
  release(result: SlotResult): void;
}

/** Creates the entry of an endpoint with no requests in flight and no known failures. */
export function createEndpointEntry(
  { clock, log, onFailure }: EndpointEntryHost,
  reachability: Reachability,
  initial: Endpoint,
): EndpointEntry {
  let endpoint = initial;
  let inFlight = 0;
  let inFlightAtReport = 0;
  let lastReport: LoadReport = { running: 0, queued: 0, state: 'live' };
  let reportedAt: Milliseconds = -Infinity;
  let failures = 0;
  let backoffRounds = 0;
  let wasUnreachable = false;
  let isSilent = false;
  let lastActivityAt: Milliseconds = 0;
  let backoffUntil: Milliseconds = 0;
  let isListedLeaving = false;
  let rateShare: number | undefined;
  let slotShare: number | undefined;
  let pausedUntil: Milliseconds = 0;
  let lastTakenAt: Milliseconds = clock.elapsed();
  let predecessor: EndpointEntry | undefined;

  // A healthy engine sends data for some request all the time, so one that sends none has failed.
  const isStalled = () => inFlight > 0 && clock.elapsed() - lastActivityAt > STALL_TIMEOUT_MS;
  const isBackingOff = () => clock.elapsed() < backoffUntil;
  const isUnreachable = () =>
    (isBackingOff() && wasUnreachable) || reachability.isUnreachable(endpoint.dataCentre);
  const isFailing = () => isBackingOff() || isStalled() || isUnreachable();
  // Requests are spaced evenly, because instances that share a limit know nothing of each other's bursts.
  const isPaced = () =>
    rateShare !== undefined && (clock.elapsed() - lastTakenAt) * rateShare < MS_PER_SECOND;
  const isLeaving = () => endpoint.leaving || isListedLeaving || lastReport.state === 'leaving';

  // One without requests is forgotten, as endpoints may start again any number of times.
  function countInFlight(): number {
    const before = predecessor?.countInFlight() ?? 0;
    if (before === 0) predecessor = undefined;
    return inFlight + before;
  }

  function applyChange(change: () => void): void {
    const wasLeaving = isLeaving();
    change();
    if (!wasLeaving && isLeaving()) log(Diagnostics.endpointLeaving, { endpoint: endpoint.name });
  }

  // An unreachable endpoint is avoided at once; a single failure among answers may be transient.
  function recordFailure(result: 'failed' | 'unreachable' | 'silent'): void {
    failures += 1;
    if (result !== 'silent') onFailure?.(endpoint.name, result);
    if (result !== 'unreachable' && failures < FAILURES_BEFORE_BACKOFF) return;
    if (clock.elapsed() < backoffUntil) return;
    backoffRounds += 1;
    backoffUntil = clock.elapsed() + Math.min(BACKOFF_STEP_MS * backoffRounds, BACKOFF_MAX_MS);
    log(Diagnostics.endpointFailed, { endpoint: endpoint.name, failures });
  }

  function recordSuccess(): void {
    if (failures >= FAILURES_BEFORE_BACKOFF) {
      log(Diagnostics.endpointRecovered, { endpoint: endpoint.name });
    }
    failures = 0;
    backoffRounds = 0;
    backoffUntil = 0;
  }

  return {
    view: () => ({
      endpoint,
      inFlight: countInFlight(),
      othersInFlight: Math.max(0, lastReport.running + lastReport.queued - inFlightAtReport),
      isLeaving: isLeaving(),
      isFailing: isFailing(),
      isUnreachable: isUnreachable(),
      rateShare,
      isPaced: isPaced(),
      slotShare,
      pausedFor: Math.max(0, pausedUntil - clock.elapsed()),
    }),
    configure(next) {
      applyChange(() => {
        endpoint = next;
      });
    },
    setListedLeaving(isListed) {
      applyChange(() => {
        isListedLeaving = isListed;
      });
    },
    setRateShare(share) {
      rateShare = share;
    },
    setSlotShare(share) {
      slotShare = share;
    },
    pause(until) {
      pausedUntil = Math.max(pausedUntil, until);
    },
    getPace: () => ({ pausedUntil, lastTakenAt }),
    countInFlight,
    follow(entry) {
      predecessor = entry;
      ({ pausedUntil, lastTakenAt } = entry.getPace());
    },
    isStale: () => clock.elapsed() - reportedAt > LOAD_REPORT_MAX_AGE_MS,
    report(report) {
      reportedAt = clock.elapsed();
      inFlightAtReport = inFlight;
      applyChange(() => {
        lastReport = report;
      });
    },
    take() {
      if (inFlight === 0) lastActivityAt = clock.elapsed();
      lastTakenAt = clock.elapsed();
      inFlight += 1;
    },
    recordActivity() {
      lastActivityAt = clock.elapsed();
      // Silence shows no more than that an endpoint is slow, until it sends again.
      if (isSilent) recordSuccess();
      isSilent = false;
    },
    getActivityTime: () => lastActivityAt,
    release(result) {
      inFlight = Math.max(0, inFlight - 1);
      if (result === 'unused') return;
      if (result === 'ok') recordSuccess();
      else recordFailure(result);
      isSilent = result === 'silent';
      wasUnreachable = result === 'unreachable';
      if (isSilent) return;
      if (wasUnreachable) {
        reachability.markUnreachable(endpoint.dataCentre, endpoint.address);
      } else {
        reachability.markReachable(endpoint.dataCentre);
      }
    },
  };
}
