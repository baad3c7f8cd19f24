import { Diagnostics } from '@pomeloroad/core';
import type { Clock, Log, Milliseconds } from '@pomeloroad/core';
import type { Endpoint } from '@pomeloroad/configuration';
import { createReachability } from './reachability';
import type { Reachability } from './reachability';
import type { EndpointView, LoadReport, RouteRequest, SlotResult } from './types';

const FAILURES_TO_AVOID = 2;
const AVOID_MS = 2000;
/** An endpoint that stays unreachable is tried more and more rarely. */
const LONGEST_AVOID_MS = 8000;
/** Silence with work in progress after which an endpoint is the last choice. */
const SILENT_MS = 600;
/** Below the time in which an endpoint that leaves must get nothing new. */
const STALE_MS = 1500;

/** What the endpoint table needs from its surroundings. */
export interface EndpointsHost {
  clock: Clock;
  log: Log;
}

/** The endpoints that this instance knows, and what it knows about them. */
export interface Endpoints {
  /** Takes over the list; counts of running requests stay. */
  configure(endpoints: Endpoint[]): void;
  /** Names of endpoints that must get nothing new, by the membership list and operators. */
  setLeaving(names: Set<string>): void;
  report(name: string, report: LoadReport): void;
  /** Whether the endpoint's last load report is too old to go by. */
  isStale(name: string): boolean;
  /** Live endpoints that serve the target. */
  findCandidates(request: RouteRequest): EndpointView[];
  /** Whether the endpoint is leaving, or not known any more. */
  isLeaving(name: string): boolean;
  take(name: string): void;
  /** Notes that bytes came from it. */
  touch(name: string): void;
  release(name: string, result: SlotResult): void;
  list(): EndpointView[];
}

/** One endpoint of the table. */
interface Entry {
  view(): EndpointView;
  configure(endpoint: Endpoint): void;
  setListedLeaving(isListed: boolean): void;
  report(report: LoadReport): void;
  isStale(): boolean;
  take(): void;
  touch(): void;
  release(result: SlotResult): void;
}

/** Creates an empty endpoint table. */
export function createEndpoints(host: EndpointsHost): Endpoints {
  const entries = new Map<string, Entry>();
  const reachability = createReachability(host.clock);
  let leaving = new Set<string>();

  function addEntry(endpoint: Endpoint): void {
    const entry = createEntry(host, reachability, endpoint);
    entry.setListedLeaving(leaving.has(endpoint.name));
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
    report: (name, report) => entries.get(name)?.report(report),
    isStale: (name) => entries.get(name)?.isStale() ?? true,
    findCandidates: ({ target, excluded }) =>
      [...entries.values()]
        .map((entry) => entry.view())
        .filter((view) => !view.isLeaving && !excluded.has(view.endpoint.name))
        .filter((view) => isServing(view.endpoint, target)),
    isLeaving: (name) => entries.get(name)?.view().isLeaving ?? true,
    take: (name) => entries.get(name)?.take(),
    touch: (name) => entries.get(name)?.touch(),
    release: (name, result) => entries.get(name)?.release(result),
    list: () => [...entries.values()].map((entry) => entry.view()),
  };
}

function isServing(endpoint: Endpoint, target: RouteRequest['target']): boolean {
  if (target.kind === 'engine') {
    return endpoint.kind === 'engine' && endpoint.models.includes(target.model);
  }
  return endpoint.kind === 'service' && endpoint.service === target.service;
}

function createEntry(
  { clock, log }: EndpointsHost,
  reachability: Reachability,
  initial: Endpoint,
): Entry {
  let endpoint = initial;
  let inFlight = 0;
  let inFlightAtReport = 0;
  let last: LoadReport = { running: 0, queued: 0, state: 'live' };
  let reportedAt: Milliseconds = -Infinity;
  let failures = 0;
  let rounds = 0;
  let wasUnreachable = false;
  let heardAt: Milliseconds = 0;
  let avoidUntil: Milliseconds = 0;
  let isListedLeaving = false;

  // Engines answer some request or other all the time: one that has work and says nothing is gone.
  const isSilent = () => inFlight > 0 && clock.elapsed() - heardAt > SILENT_MS;
  const isAvoided = () => clock.elapsed() < avoidUntil;
  const isUnreachable = () =>
    (isAvoided() && wasUnreachable) || reachability.isSuspect(endpoint.dataCentre);
  const isFailing = () => isAvoided() || isSilent() || isUnreachable();
  const isLeaving = () => endpoint.leaving || isListedLeaving || last.state === 'leaving';

  function noteChange(change: () => void): void {
    const wasLeaving = isLeaving();
    change();
    if (!wasLeaving && isLeaving()) log(Diagnostics.endpointLeaving, { endpoint: endpoint.name });
  }

  // One that can't be reached is avoided at once; one failure among answers may be an accident.
  function noteFailure(result: 'failed' | 'unreachable'): void {
    failures += 1;
    if (result === 'failed' && failures < FAILURES_TO_AVOID) return;
    if (clock.elapsed() < avoidUntil) return;
    rounds += 1;
    avoidUntil = clock.elapsed() + Math.min(AVOID_MS * rounds, LONGEST_AVOID_MS);
    log(Diagnostics.endpointFailed, { endpoint: endpoint.name, failures });
  }

  function noteSuccess(): void {
    if (failures >= FAILURES_TO_AVOID) {
      log(Diagnostics.endpointRecovered, { endpoint: endpoint.name });
    }
    failures = 0;
    rounds = 0;
    avoidUntil = 0;
  }

  return {
    view: () => ({
      endpoint,
      inFlight,
      othersInFlight: Math.max(0, last.running + last.queued - inFlightAtReport),
      isLeaving: isLeaving(),
      isFailing: isFailing(),
      isUnreachable: isUnreachable(),
    }),
    configure(next) {
      noteChange(() => {
        endpoint = next;
      });
    },
    setListedLeaving(isListed) {
      noteChange(() => {
        isListedLeaving = isListed;
      });
    },
    isStale: () => clock.elapsed() - reportedAt > STALE_MS,
    report(report) {
      reportedAt = clock.elapsed();
      inFlightAtReport = inFlight;
      noteChange(() => {
        last = report;
      });
    },
    take() {
      if (inFlight === 0) heardAt = clock.elapsed();
      inFlight += 1;
    },
    touch() {
      heardAt = clock.elapsed();
    },
    release(result) {
      inFlight = Math.max(0, inFlight - 1);
      if (result === 'ok') noteSuccess();
      else noteFailure(result);
      wasUnreachable = result === 'unreachable';
      if (wasUnreachable) {
        reachability.noteUnreachable(endpoint.dataCentre, endpoint.name);
      } else {
        reachability.noteReached(endpoint.dataCentre);
      }
    },
  };
}
