import type { Clock, Milliseconds } from '@pomeloroad/core';

/** Endpoints of a data centre that must be unreachable before the way there counts as cut. */
const UNREACHABLE_TO_SUSPECT = 2;
/** How long the way to a data centre counts as cut after the last failure. */
const SUSPECT_MS: Milliseconds = 2000;

/** Which data centres can be reached, by what happened to their endpoints. */
export interface Reachability {
  noteReached(dataCentre: string): void;
  noteUnreachable(dataCentre: string, endpoint: string): void;
  /** Whether several endpoints there could not be reached lately, and none could. */
  isSuspect(dataCentre: string): boolean;
}

interface Failures {
  endpoints: Set<string>;
  at: Milliseconds;
}

/** Creates a view in which every data centre can be reached. */
export function createReachability(clock: Clock): Reachability {
  const failures = new Map<string, Failures>();
  return {
    noteReached(dataCentre) {
      failures.delete(dataCentre);
    },
    noteUnreachable(dataCentre, endpoint) {
      const known = failures.get(dataCentre)?.endpoints ?? [];
      failures.set(dataCentre, {
        endpoints: new Set([...known, endpoint]),
        at: clock.elapsed(),
      });
    },
    isSuspect(dataCentre) {
      const found = failures.get(dataCentre);
      if (!found || found.endpoints.size < UNREACHABLE_TO_SUSPECT) return false;
      return clock.elapsed() - found.at < SUSPECT_MS;
    },
  };
}
