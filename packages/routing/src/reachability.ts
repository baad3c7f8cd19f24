import type { Clock, Milliseconds } from '@pomeloroad/core';

/** Number of unreachable endpoints from which a data centre counts as unreachable. */
const UNREACHABLE_ENDPOINTS_MIN = 2;
/** Time after the latest failure for which a data centre counts as unreachable. */
const UNREACHABLE_HOLD_MS: Milliseconds = 2000;

/** Tracks which data centres can be reached, from the results of requests to their endpoints. */
export interface Reachability {
  markReachable(dataCentre: string): void;
  /** Notes that nothing was reached at an address, at which one endpoint may follow another. */
  markUnreachable(dataCentre: string, address: string): void;
  /** Whether several endpoints there were unreachable recently and none was reached since. */
  isUnreachable(dataCentre: string): boolean;
}

interface Failures {
  addresses: Set<string>;
  at: Milliseconds;
}

/** Creates a tracker in which every data centre counts as reachable. */
export function createReachability(clock: Clock): Reachability {
  const failures = new Map<string, Failures>();
  return {
    markReachable(dataCentre) {
      failures.delete(dataCentre);
    },
    markUnreachable(dataCentre, address) {
      const known = failures.get(dataCentre)?.addresses ?? [];
      failures.set(dataCentre, {
        addresses: new Set([...known, address]),
        at: clock.elapsed(),
      });
    },
    isUnreachable(dataCentre) {
      const found = failures.get(dataCentre);
      if (!found || found.addresses.size < UNREACHABLE_ENDPOINTS_MIN) return false;
      return clock.elapsed() - found.at < UNREACHABLE_HOLD_MS;
    },
  };
}
