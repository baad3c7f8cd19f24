import { Diagnostics } from '@pomeloroad/core';
import type { Clock, Log, Milliseconds } from '@pomeloroad/core';
import type { Endpoint } from '@pomeloroad/configuration';
import { createReachability } from './reachability';
import type { Reachability } from './reachability';
import type { EndpointView, LoadReport, RouteRequest, SlotResult } from './types';

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
const MS_PER_SECOND = 1000;

/** Dependencies of the endpoint table. */
export interface EndpointsHost {
  clock: Clock;
  log: Log;
  /** Called when an endpoint has failed; not for one that was only silent. */
  onFailure?(name: string, result: 'failed' | 'unreachable'): void;
}

/** The endpoints that this instance knows, with their load and health. */
export interface Endpoints {
  /** Replaces the list; endpoints that stay in it keep their counts of requests in flight. */
  configure(endpoints: Endpoint[]): void;
  /** Sets the endpoints that must get no new requests by the membership list or by operators. */
  setLeaving(names: Set<string>): void;
  /** Sets the requests a second that may be sent to each limited endpoint; others have no limit. */
  setRateShares(shares: Map<string, number>): void;
  /** Sets the requests that may be in flight at endpoints that bear no rejections; others have no limit. */
  setSlotShares(shares: Map<string, number>): void;
  /** Keeps requests away from the endpoint until the time of `clock.elapsed()`. */
  pause(name: string, until: Milliseconds): void;
  /** Stores an endpoint's load report. */
  report(name: string, report: LoadReport): void;
  /** Whether the endpoint's latest load report is missing or too old to be used. */
  isStale(name: string): boolean;
  /** Returns the endpoints that serve the target, are not leaving and are not excluded. */
  findCandidates(request: RouteRequest): EndpointView[];
  /** Whether the endpoint is leaving or no longer known. */
  isLeaving(name: string): boolean;
  /** Whether the endpoint should be chosen only as a last resort; false if it is not known. */
  isFailing(name: string): boolean;
  /** Counts one more request in flight. */
  take(name: string): void;
  /** Records that bytes arrived from the endpoint. */
  recordActivity(name: string): void;
  /** Returns when bytes last arrived, or else when the first request in flight was sent. */
  getActivityTime(name: string): Milliseconds;
  /** Counts one request less in flight and updates the endpoint's health from the result. */
  release(name: string, result: SlotResult): void;
  list(): EndpointView[];
}

/** One endpoint of the table. */
interface Entry {
  view(): EndpointView;
  configure(endpoint: Endpoint): void;
  setListedLeaving(isListed: boolean): void;
  setRateShare(share: number | undefined): void;
  setSlotShare(share: number | undefined): void;
  pause(until: Milliseconds): void;
  report(report: LoadReport): void;
  isStale(): boolean;
  take(): void;
  recordActivity(): void;
  getActivityTime(): Milliseconds;
  release(result: SlotResult): void;
}

/** Creates an empty endpoint table. */
export function createEndpoints(host: EndpointsHost): Endpoints {
  const entries = new Map<string, Entry>();
  const reachability = createReachability(host.clock);
  let leaving = new Set<string>();
  let rateShares = new Map<string, number>();
  let slotShares = new Map<string, number>();

  function addEntry(endpoint: Endpoint): void {
    const entry = createEntry(host, reachability, endpoint);
    entry.setListedLeaving(leaving.has(endpoint.name));
    entry.setRateShare(rateShares.get(endpoint.name));
    entry.setSlotShare(slotShares.get(endpoint.name));
    entries.set(endpoint.name, entry);
  }

  return {
    configure(listed) {
      const names = new Set(listed.map((endpoint) => endpoint.name));
      const removed = [...entries.keys()].filter((name) => !names.has(name));
      removed.forEach((name) => entries.delete(name));
      listed.forEach((endpoint) => {
        const known = entries.get(endpoint.name);
        if (known) known.configure(endpoint);
        else addEntry(endpoint);
      });
    },
    setLeaving(names) {
      leaving = names;
      entries.forEach((entry, name) => entry.setListedLeaving(names.has(name)));
    },
    setRateShares(shares) {
      rateShares = shares;
      entries.forEach((entry, name) => entry.setRateShare(shares.get(name)));
    },
    setSlotShares(shares) {
      slotShares = shares;
      entries.forEach((entry, name) => entry.setSlotShare(shares.get(name)));
    },
    pause: (name, until) => entries.get(name)?.pause(until),
    report: (name, report) => entries.get(name)?.report(report),
    isStale: (name) => entries.get(name)?.isStale() ?? true,
    findCandidates: ({ target, excluded, only }) =>
      [...entries.values()]
        .map((entry) => entry.view())
        .filter((view) => !view.isLeaving && !excluded.has(view.endpoint.name))
        .filter((view) => !only || only.has(view.endpoint.name))
        .filter((view) => isServing(view.endpoint, target)),
    isLeaving: (name) => entries.get(name)?.view().isLeaving ?? true,
    isFailing: (name) => entries.get(name)?.view().isFailing ?? false,
    take: (name) => entries.get(name)?.take(),
    recordActivity: (name) => entries.get(name)?.recordActivity(),
    getActivityTime: (name) => entries.get(name)?.getActivityTime() ?? -Infinity,
    release: (name, result) => entries.get(name)?.release(result),
    list: () => [...entries.values()].map((entry) => entry.view()),
  };
}

function isServing(endpoint: Endpoint, target: RouteRequest['target']): boolean {
  if (target.kind === 'engine') {
    return endpoint.kind === 'engine' && endpoint.models.includes(target.model);
  }
  if (endpoint.kind !== 'service' || endpoint.service !== target.service) return false;
  return !target.origin || target.origin.version === endpoint.version;
}

function createEntry(
  { clock, log, onFailure }: EndpointsHost,
  reachability: Reachability,
  initial: Endpoint,
): Entry {
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
      inFlight,
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
        reachability.markUnreachable(endpoint.dataCentre, endpoint.name);
      } else {
        reachability.markReachable(endpoint.dataCentre);
      }
    },
  };
}
