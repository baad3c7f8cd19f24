import type { Milliseconds } from '@pomeloroad/core';

/** Age of the lease from which on part of a reserve may be spent: when quick restarts are over. */
const START_AGE_MS: Milliseconds = 2200;
/** Age at which all of it may be spent: sooner than an instance would use it up. */
const FULL_AGE_MS: Milliseconds = 5500;

/** The part of a reserve that may be spent at an age of the lease, 0 to 1. */
export function getReserveShareAtAge(age: Milliseconds): number {
  const part = (age - START_AGE_MS) / (FULL_AGE_MS - START_AGE_MS);
  return Math.min(1, Math.max(0, part));
}

/** The age of the lease at which this part of a reserve may be spent; infinite if it exceeds 1. */
export function getAgeForReserveShare(share: number): Milliseconds {
  if (share <= 0) return 0;
  return share <= 1 ? START_AGE_MS + share * (FULL_AGE_MS - START_AGE_MS) : Infinity;
}
