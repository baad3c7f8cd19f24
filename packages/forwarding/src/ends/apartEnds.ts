import type { Milliseconds } from '@pomeloroad/core';

/** Maximum number of endpoints that are remembered; the longest known is forgotten first. */
const ENDPOINTS_MAX = 1000;
/** Number of endpoints whose ends apart at one time are likely to have one cause. */
const SHARED_MIN = 3;
/** Time for which an end counts as of the same time as others; whole ones are late by no more than that. */
const SAME_TIME_MS: Milliseconds = 1000;

const NOBODY: ReadonlySet<string> = new Set();

interface ApartEnd {
  service: string;
  at: Milliseconds;
}

/**
 * Endpoints that have just ended a stream some time after its last event, and have shown nothing since. What ends streams
 * so at several endpoints of a service at one time may be common to them, so none of them tells whether another one's end
 * holds.
 */
export interface ApartEnds {
  /** Notes that the endpoint of the service has ended a stream in order, and whether apart from its last event. */
  note(service: string, endpoint: string, isApart: boolean, at: Milliseconds): void;
  /** Notes that the endpoint has gone on from one event to the next, or that its end has turned out to be true. */
  clear(endpoint: string): void;
  /** Returns the names of such endpoints of the service; none if they are too few for one cause. */
  listShared(service: string, now: Milliseconds): ReadonlySet<string>;
}

/** Creates the knowledge of a process that has seen no end. */
export function createApartEnds(): ApartEnds {
  const ends = new Map<string, ApartEnd>();
  return {
    note(service, endpoint, isApart, at) {
      ends.delete(endpoint);
      if (isApart) ends.set(endpoint, { service, at });
      const [oldest] = ends.keys();
      if (ends.size > ENDPOINTS_MAX && oldest !== undefined) ends.delete(oldest);
    },
    clear: (endpoint) => ends.delete(endpoint),
    listShared(service, now) {
      const recent = [...ends].filter(
        ([, end]) => end.service === service && now - end.at < SAME_TIME_MS,
      );
      return recent.length < SHARED_MIN ? NOBODY : new Set(recent.map(([endpoint]) => endpoint));
    },
  };
}
