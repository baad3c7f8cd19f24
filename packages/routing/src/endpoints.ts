import type { Milliseconds } from '@pomeloroad/core';
import type { Endpoint } from '@pomeloroad/configuration';
import { createEndpointEntry } from './endpointEntry';
import type { EndpointEntry, EndpointEntryHost } from './endpointEntry';
import { createReachability } from './reachability';
import type { EndpointView, LoadReport, RouteRequest, SlotResult } from './types';

/** Dependencies of the endpoint table. */
export type EndpointsHost = EndpointEntryHost;

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
  /**
   * Lets an endpoint that is not configured yet keep to the pause and pace of the one in whose place it has started, and
   * counts what is in flight there as its own.
   */
  passOn(before: string, next: string): void;
  /** Stores an endpoint's load report. */
  report(name: string, report: LoadReport): void;
  /** Whether the endpoint's latest load report is missing or too old to be used. */
  isStale(name: string): boolean;
  /** Returns the endpoints that serve the target, are not leaving and are not excluded. */
  findCandidates(request: Pick<RouteRequest, 'target' | 'excluded' | 'only'>): EndpointView[];
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

/** Creates an empty endpoint table. */
export function createEndpoints(host: EndpointsHost): Endpoints {
  const entries = new Map<string, EndpointEntry>();
  const reachability = createReachability(host.clock);
  /** Entries in whose place others have started, by their names, while requests are in flight there. */
  const former = new Map<string, EndpointEntry>();
  /** The same, by the names of those that are not configured yet. */
  const predecessors = new Map<string, EndpointEntry>();
  let leaving = new Set<string>();
  let rateShares = new Map<string, number>();
  let slotShares = new Map<string, number>();

  function addEntry(endpoint: Endpoint): void {
    const entry = createEndpointEntry(host, reachability, endpoint);
    entry.setListedLeaving(leaving.has(endpoint.name));
    entry.setRateShare(rateShares.get(endpoint.name));
    entry.setSlotShare(slotShares.get(endpoint.name));
    const predecessor = predecessors.get(endpoint.name);
    if (predecessor) entry.follow(predecessor);
    predecessors.delete(endpoint.name);
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
    passOn(before, next) {
      const entry = entries.get(before);
      if (!entry || entries.has(next)) return;
      predecessors.set(next, entry);
      if (entry.countInFlight() > 0) former.set(before, entry);
    },
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
    release(name, result) {
      const entry = former.get(name);
      if (!entry) {
        entries.get(name)?.release(result);
        return;
      }
      // What became of the request tells nothing of who has started in its place.
      entry.release('unused');
      if (entry.countInFlight() === 0) former.delete(name);
    },
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
