import { Diagnostics } from '@pomeloroad/core';
import type { Clock, Log, Milliseconds } from '@pomeloroad/core';
import type { Configuration, Endpoint } from '@pomeloroad/configuration';
import type { EndpointView, LoadReport, RouteRequest } from './types';

const FAILURES_TO_AVOID = 2;
const AVOID_MS = 2000;

/** What the endpoint table needs from its surroundings. */
export interface EndpointsHost {
  clock: Clock;
  log: Log;
}

/** The endpoints that this instance knows, and what it knows about them. */
export interface Endpoints {
  /** Takes over a configuration; counts of running requests stay. */
  configure(configuration: Configuration): void;
  /** Names of endpoints that must get nothing new, by the membership list and operators. */
  setLeaving(names: Set<string>): void;
  report(name: string, report: LoadReport): void;
  /** Live endpoints that serve the target. */
  findCandidates(request: RouteRequest): EndpointView[];
  take(view: EndpointView): void;
  release(name: string, result: 'ok' | 'failed'): void;
  list(): EndpointView[];
}

interface Entry {
  endpoint: Endpoint;
  inFlight: number;
  report?: LoadReport;
  inFlightAtReport: number;
  failures: number;
  avoidUntil: Milliseconds;
  isListedLeaving: boolean;
}

/** Creates an empty endpoint table. */
export function createEndpoints(host: EndpointsHost): Endpoints {
  const { clock, log } = host;
  const entries = new Map<string, Entry>();
  let leaving = new Set<string>();

  function toView(entry: Entry): EndpointView {
    const reported = (entry.report?.running ?? 0) + (entry.report?.queued ?? 0);
    return {
      endpoint: entry.endpoint,
      inFlight: entry.inFlight,
      othersInFlight: Math.max(0, reported - entry.inFlightAtReport),
      isLeaving: isLeaving(entry),
      isFailing: clock.elapsed() < entry.avoidUntil,
    };
  }

  function isLeaving(entry: Entry): boolean {
    return entry.endpoint.leaving || entry.isListedLeaving || entry.report?.state === 'leaving';
  }

  function createEntry(endpoint: Endpoint): Entry {
    return {
      endpoint,
      inFlight: 0,
      inFlightAtReport: 0,
      failures: 0,
      avoidUntil: 0,
      isListedLeaving: leaving.has(endpoint.name),
    };
  }

  function noteFailure(entry: Entry): void {
    entry.failures += 1;
    if (entry.failures < FAILURES_TO_AVOID) return;
    entry.avoidUntil = clock.elapsed() + AVOID_MS;
    log(Diagnostics.endpointFailed, { endpoint: entry.endpoint.name, failures: entry.failures });
  }

  function noteSuccess(entry: Entry): void {
    if (entry.failures >= FAILURES_TO_AVOID) {
      log(Diagnostics.endpointRecovered, { endpoint: entry.endpoint.name });
    }
    entry.failures = 0;
    entry.avoidUntil = 0;
  }

  return {
    configure(configuration) {
      const names = new Set(configuration.endpoints.map((endpoint) => endpoint.name));
      [...entries.keys()].filter((name) => !names.has(name)).forEach((name) => entries.delete(name));
      configuration.endpoints.forEach((endpoint) => {
        const known = entries.get(endpoint.name);
        if (known) known.endpoint = endpoint;
        else entries.set(endpoint.name, createEntry(endpoint));
      });
    },
    setLeaving(names) {
      leaving = names;
      entries.forEach((entry, name) => {
        const isListed = names.has(name);
        if (isListed && !entry.isListedLeaving) log(Diagnostics.endpointLeaving, { endpoint: name });
        entry.isListedLeaving = isListed;
      });
    },
    report(name, report) {
      const entry = entries.get(name);
      if (!entry) return;
      entry.report = report;
      entry.inFlightAtReport = entry.inFlight;
    },
    findCandidates({ target, excluded }) {
      return [...entries.values()]
        .filter((entry) => !excluded.has(entry.endpoint.name) && !isLeaving(entry))
        .filter(({ endpoint }) => {
          if (target.kind === 'engine') {
            return endpoint.kind === 'engine' && endpoint.models.includes(target.model);
          }
          return endpoint.kind === 'service' && endpoint.service === target.service;
        })
        .map(toView);
    },
    take(view) {
      const entry = entries.get(view.endpoint.name);
      if (entry) entry.inFlight += 1;
    },
    release(name, result) {
      const entry = entries.get(name);
      if (!entry) return;
      entry.inFlight = Math.max(0, entry.inFlight - 1);
      if (result === 'failed') noteFailure(entry);
      else noteSuccess(entry);
    },
    list: () => [...entries.values()].map(toView),
  };
}
