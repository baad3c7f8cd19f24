import type { Clock, Milliseconds } from '@pomeloroad/core';

/** A pause counts for one to two of these spans. */
const SPAN_MS: Milliseconds = 5000;
/** Maximum number of endpoints and services that are remembered; the longest known is forgotten first. */
const NAMES_MAX = 1000;

/** The pauses between events that endpoints have lately shown, in all of their streams. */
export interface PauseHistory {
  note(endpoint: string, service: string, pause: Milliseconds): void;
  /** Returns the longest one of the endpoint, or of its service if none of its own is known; 0 if none at all is. */
  getLongest(endpoint: string, service: string): Milliseconds;
}

/** The longest pause in each of two spans of time. */
interface LongestPause {
  /** End of the present span, a time of `clock.elapsed()`. */
  until: Milliseconds;
  present: Milliseconds;
  previous: Milliseconds;
}

/** Creates a history of no pauses. */
export function createPauseHistory(clock: Clock): PauseHistory {
  const endpoints = new Map<string, LongestPause>();
  const services = new Map<string, LongestPause>();

  function note(pauses: Map<string, LongestPause>, name: string, pause: Milliseconds): void {
    const known = renew(pauses.get(name));
    pauses.set(name, { ...known, present: Math.max(known.present, pause) });
    const [oldest] = pauses.keys();
    if (pauses.size > NAMES_MAX && oldest !== undefined) pauses.delete(oldest);
  }

  function renew(known: LongestPause | undefined): LongestPause {
    const now = clock.elapsed();
    if (known && now < known.until) return known;
    const isRecent = known !== undefined && now < known.until + SPAN_MS;
    return { until: now + SPAN_MS, present: 0, previous: isRecent ? known.present : 0 };
  }

  function get(known: LongestPause | undefined): Milliseconds {
    const { present, previous } = renew(known);
    return Math.max(present, previous);
  }

  return {
    note(endpoint, service, pause) {
      note(endpoints, endpoint, pause);
      note(services, service, pause);
    },
    getLongest: (endpoint, service) => get(endpoints.get(endpoint)) || get(services.get(service)),
  };
}
