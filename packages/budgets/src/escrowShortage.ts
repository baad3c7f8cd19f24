import type { Clock, Milliseconds, Tokens } from '@pomeloroad/core';

/**
 * Time after which a shortage is tried anew: an instance that was cut off may be back with tokens that it
 * could not return when it was asked.
 */
const SHORTAGE_MAX_AGE_MS: Milliseconds = 3000;

/** What an instance has learned from a request that waited for tokens in vain. */
export interface EscrowShortage {
  /** Records that a request for this many tokens has waited for those of the other instances in vain. */
  note(tokens: Tokens): void;
  /** Whether a request for this many tokens would wait in vain too. */
  covers(tokens: Tokens): boolean;
}

/** Creates the knowledge of an account that is not known to be short. */
export function createEscrowShortage(clock: Clock): EscrowShortage {
  let least: Tokens = Infinity;
  let notedAt: Milliseconds = -Infinity;

  const isRecent = () => clock.elapsed() - notedAt < SHORTAGE_MAX_AGE_MS;

  return {
    note(tokens) {
      least = isRecent() ? Math.min(least, tokens) : tokens;
      notedAt = clock.elapsed();
    },
    covers: (tokens) => tokens >= least && isRecent(),
  };
}
