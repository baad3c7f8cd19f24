import type { Milliseconds, Tokens } from '@pomeloroad/core';

/** What the size of an instance's spare tokens depends on. */
export interface SpareDemand {
  /** Tokens reserved a second, smoothed. */
  rate: number;
  /** Tokens that no instance holds. */
  room: Tokens;
  instances: number;
}

/** How long an instance goes on while the store does not answer, where the budget is rich. */
const HORIZON_MS: Milliseconds = 8000;
const MS_PER_SECOND = 1000;
/** All instances together hold at most one in this many tokens of what is left. */
const SHARE_LEFT = 2;
/** Part of its share that an instance holds whatever its rate is, against sudden cuts. */
const BASE_SHARE = 4;

/** Spare tokens for an account: for the horizon, but little of a budget that runs out. */
export function getTarget({ rate, room, instances }: SpareDemand): Tokens {
  const share = room / (SHARE_LEFT * Math.max(1, instances));
  const wanted = Math.max((rate * HORIZON_MS) / MS_PER_SECOND, share / BASE_SHARE);
  return Math.floor(Math.min(wanted, share));
}
