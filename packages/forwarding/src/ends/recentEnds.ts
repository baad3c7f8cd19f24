import { match, P } from 'ts-pattern';
import { Diagnostics } from '@pomeloroad/core';
import type { Clock, Log, LogFields, Milliseconds } from '@pomeloroad/core';
import type { ForwardMetrics } from '../forwardMetrics';
import type { EndpointRecord } from '../types';

/** Time after an end within which its endpoint's loss makes it doubtful. */
const RECENT_END_MS: Milliseconds = 1000;
/** Maximum time between ends that one event at their endpoint has caused. */
const MOMENT_MS: Milliseconds = 20;
/** Maximum time by which the work of this process may part such ends; one that is always busy tells none of them apart. */
const WORK_MAX_MS: Milliseconds = 100;
/** Minimum number of streams that an endpoint has ended at once. */
const AT_ONCE_MIN = 3;
/** Maximum number of ends that are remembered; the oldest is forgotten first. */
const ENDS_MAX = 2000;
/** Maximum number of requests that one line names. */
const NAMED_REQUESTS_MAX = 20;

/** What became of an endpoint. `failed` is a connection or an answer that it broke off or an error. */
export type EndpointFate =
  'failed' | 'unreachable' | 'avoided' | 'leaving' | 'gone' | 'started again';

/** Dependencies of the memory of ends. */
export interface RecentEndsHost {
  clock: Clock;
  log: Log;
  metrics: Pick<ForwardMetrics, 'endsBeforeLoss'>;
}

/** An incarnation of an endpoint: its name here, and what tells it in its entry in the store. */
export interface EndpointIdentity extends Pick<EndpointRecord, 'id' | 'born' | 'version'> {
  name: string;
}

/** An end in order of an answer. */
export interface RecentEnd {
  /** Id of the request. */
  request: string;
  /** Time of `clock.elapsed()` when the end arrived. */
  at: Milliseconds;
  /** Time of `clock.idle()` then; left out if the end is known from elsewhere, so that `at` tells all. */
  idleAt?: Milliseconds | undefined;
  timeLeft: Milliseconds;
  /** Number of events of the whole stream; 0 of another answer. */
  events: number;
}

/** The ends in order that endpoints stated within the last second. */
export interface RecentEnds {
  add(endpoint: EndpointIdentity, end: RecentEnd): void;
  /** Whether the endpoint of this name has just ended most of its streams at one moment, at different events. */
  endedAtOnce(name: string): boolean;
  /** Logs which answers the endpoint of this name has just ended, each of them once. */
  noteFate(name: string, fate: EndpointFate): void;
  /** Returns the log with the same lines, each of which is read for what it tells of an endpoint. */
  watch(log: Log): Log;
}

interface KnownEnd extends RecentEnd {
  endpoint: EndpointIdentity;
}

/** Which incarnations a fate is of. */
type Concern = (endpoint: EndpointIdentity) => boolean;

/** Creates a memory of no ends. */
export function createRecentEnds({ clock, log, metrics }: RecentEndsHost): RecentEnds {
  let ends: KnownEnd[] = [];

  function forgetOld(): void {
    const since = clock.elapsed() - RECENT_END_MS;
    ends = ends.filter(({ at }) => at >= since);
  }

  function report(fate: EndpointFate, isConcerned: Concern): void {
    forgetOld();
    const found = ends.filter(({ endpoint }) => isConcerned(endpoint)).reverse();
    const [newest] = found;
    if (!newest) return;
    ends = ends.filter(({ endpoint }) => !isConcerned(endpoint));
    metrics.endsBeforeLoss.add(found.length, { fate });
    log(Diagnostics.endpointLostAfterEnds, {
      endpoint: newest.endpoint.id,
      fate,
      ends: found.length,
      requests: found.slice(0, NAMED_REQUESTS_MAX).map(describe).join(', '),
    });
  }

  function describe({ request, at, timeLeft, events }: RecentEnd): string {
    const ago = Math.round(clock.elapsed() - at);
    return `${request} ${ago} ago ${Math.round(timeLeft)} left ${events} events`;
  }

  return {
    add(endpoint, end) {
      if (ends.length >= ENDS_MAX) ends.shift();
      ends.push({ ...end, endpoint });
    },
    endedAtOnce(name) {
      forgetOld();
      const streams = ends.filter(({ endpoint, events }) => endpoint.name === name && events > 0);
      return streams.some((first) => {
        const together = streams.filter((end) => isOfMoment(first, end));
        const places = new Set(together.map(({ events }) => events));
        const isMost = together.length >= AT_ONCE_MIN && 2 * together.length > streams.length;
        return isMost && places.size > 1;
      });
    },
    noteFate: (name, fate) => report(fate, (endpoint) => endpoint.name === name),
    watch: (watched) => (event, fields, importance) => {
      watched(event, fields, importance);
      const fate = findFate(event.code, fields);
      if (fate) report(fate, createConcern(fate, fields));
    },
  };
}

// What ends them at once is read one by one, and the work with each delays the next.
function isOfMoment(first: RecentEnd, { at, idleAt }: RecentEnd): boolean {
  const { at: firstAt, idleAt: firstIdleAt } = first;
  const later = at - firstAt;
  const areKnown = idleAt !== undefined && firstIdleAt !== undefined;
  const waited = areKnown ? idleAt - firstIdleAt : later;
  return later >= 0 && later <= MOMENT_MS + WORK_MAX_MS && waited <= MOMENT_MS;
}

function findFate(code: number, fields: LogFields | undefined): EndpointFate | undefined {
  if (fields?.endpoint === undefined) return undefined;
  return match(code)
    .with(Diagnostics.endpointFailed.code, () => 'avoided' as const)
    .with(Diagnostics.endpointLeaving.code, () => 'leaving' as const)
    .with(Diagnostics.endpointUnlisted.code, () => 'gone' as const)
    .with(Diagnostics.endpointListed.code, () => 'started again' as const)
    .with(P.number, () => undefined)
    .exhaustive();
}

// Lines name an incarnation by its name, or by the id and start of its entry.
function createConcern(fate: EndpointFate, { endpoint, born, version }: LogFields = {}): Concern {
  if (fate === 'started again') {
    return (known) => known.id === endpoint && (known.born !== born || known.version !== version);
  }
  return (known) => known.name === endpoint || (known.id === endpoint && known.born === born);
}
