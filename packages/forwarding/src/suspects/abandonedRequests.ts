import type { Clock, Milliseconds } from '@pomeloroad/core';

/** Time after which an endpoint has stopped work on a request whose connection was closed. */
const STOP_TIME_MS: Milliseconds = 2000;

/** Names of suspects in requests that were broken off or given up, by the requests' ids. */
export type RequestSuspects = Map<string, string[]>;

/** Requests that were given up lately while endpoints worked on them, and may crash those yet. */
export interface AbandonedRequests {
  note(incarnation: string, request: string, names: string[]): void;
  has(incarnation: string): boolean;
  /** Removes those at the incarnation, and returns the names of each. */
  take(incarnation: string): RequestSuspects;
}

interface AbandonedRequest {
  names: string[];
  at: Milliseconds;
}

/** Creates an empty list. */
export function createAbandonedRequests(clock: Clock): AbandonedRequests {
  const known = new Map<string, Map<string, AbandonedRequest>>();

  function forgetOld(): void {
    known.forEach((requests, incarnation) => {
      requests.forEach(({ at }, request) => {
        if (clock.elapsed() - at > STOP_TIME_MS) requests.delete(request);
      });
      if (requests.size === 0) known.delete(incarnation);
    });
  }

  return {
    note(incarnation, request, names) {
      forgetOld();
      const requests = known.get(incarnation) ?? new Map<string, AbandonedRequest>();
      requests.set(request, { names, at: clock.elapsed() });
      known.set(incarnation, requests);
    },
    has(incarnation) {
      forgetOld();
      return known.has(incarnation);
    },
    take(incarnation) {
      forgetOld();
      const requests = known.get(incarnation) ?? new Map<string, AbandonedRequest>();
      known.delete(incarnation);
      return new Map([...requests].map(([request, { names }]) => [request, names]));
    },
  };
}
