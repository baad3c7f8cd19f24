import type { Milliseconds } from '@pomeloroad/core';

interface Stage {
  /** Age of the lease at which the stage is reached. */
  age: Milliseconds;
  /** Part of the reserve that may be spent then. */
  share: number;
}

/**
 * How the reserve opens as the lease grows old. The first stage is later than renewals usually come.
 * Up to the second it opens about as fast as the instance spends: restarts fall into this time, and
 * what may have been spent by then is lost with a process. After it, hardly any predecessor is young
 * enough to give much back, and a long cut should find all that is held.
 */
const STAGES: readonly [Stage, Stage, Stage] = [
  { age: 450, share: 0 },
  { age: 2500, share: 0.18 },
  { age: 6000, share: 1 },
];

/** The part of a reserve that may be spent at an age of the lease, 0 to 1. */
export function getOpenShare(age: Milliseconds): number {
  const [first, second, last] = STAGES;
  if (age <= first.age) return first.share;
  if (age <= second.age) return interpolate(age, first, second);
  return age < last.age ? interpolate(age, second, last) : last.share;
}

/** The age of the lease at which this part of a reserve may be spent. */
export function getOpeningAge(share: number): Milliseconds {
  const [first, second, last] = STAGES;
  if (share <= first.share) return 0;
  if (share <= second.share) return interpolateAge(share, first, second);
  return share <= last.share ? interpolateAge(share, second, last) : Infinity;
}

function interpolate(age: Milliseconds, from: Stage, to: Stage): number {
  const part = (age - from.age) / (to.age - from.age);
  return from.share + part * (to.share - from.share);
}

function interpolateAge(share: number, from: Stage, to: Stage): Milliseconds {
  const part = (share - from.share) / (to.share - from.share);
  return from.age + part * (to.age - from.age);
}
