import type { Milliseconds } from '@pomeloroad/core';

/** Age of the lease at which the reserve begins to open: when quick restarts are over. */
const OPENING_MS: Milliseconds = 2200;
/** Age at which it is open: sooner than an instance would spend it. */
const OPEN_MS: Milliseconds = 5500;

/** The part of a reserve that may be spent at an age of the lease, 0 to 1. */
export function getOpenShare(age: Milliseconds): number {
  const part = (age - OPENING_MS) / (OPEN_MS - OPENING_MS);
  return Math.min(1, Math.max(0, part));
}

/** The age of the lease at which this part of a reserve may be spent. */
export function getOpeningAge(share: number): Milliseconds {
  if (share <= 0) return 0;
  return share <= 1 ? OPENING_MS + share * (OPEN_MS - OPENING_MS) : Infinity;
}
