import { Diagnostics } from '@pomeloroad/core';
import type { Clock, Log, Milliseconds } from '@pomeloroad/core';

/** Dependencies of knowing rate limits. */
export interface RateLimitsHost {
  clock: Clock;
  log: Log;
}

/** The limits that endpoints name in their answers. */
export interface RateLimits {
  /**
   * Notes what the head of an answer named: requests a second that the endpoint takes from all instances
   * together, or none. `sentAt` is the time of `clock.elapsed()` when its request was sent.
   */
  note(endpoint: string, limit: number | undefined, sentAt: Milliseconds): void;
}

/** A limit and when it was named last. */
interface NamedLimit {
  limit: number;
  namedAt: Milliseconds;
}

/** Creates a memory of no limit. */
export function createRateLimits({ clock, log }: RateLimitsHost): RateLimits {
  const named = new Map<string, NamedLimit>();
  return {
    note(endpoint, limit, sentAt) {
      const known = named.get(endpoint);
      if (limit !== undefined) {
        named.set(endpoint, { limit, namedAt: clock.elapsed() });
        if (known?.limit !== limit) log(Diagnostics.rateLimitNamed, { endpoint, limit });
        return;
      }
      // Answers on other connections may overtake each other: this one may be from before the limit.
      if (!known || sentAt < known.namedAt) return;
      named.delete(endpoint);
      log(Diagnostics.rateLimitEnded, { endpoint, limit: known.limit });
    },
  };
}
