import type { Milliseconds, Tokens } from '@pomeloroad/core';

/** What the sizes of an instance's grant depend on. */
export interface GrantDemand {
  /** Tokens reserved a second, smoothed. */
  rate: number;
  /** What the account has paid for. */
  limit: Tokens;
  /** Tokens of it that no instance holds. */
  room: Tokens;
  instances: number;
}

/** Tokens that an instance holds beyond those in use. */
export interface GrantTarget {
  /** What it may spend while the store answers; lost if the instance dies. */
  spare: Tokens;
  /** What it may spend besides as its lease grows old; reclaimed after a quick restart. */
  reserve: Tokens;
}

/** Of a budget that runs out: a few requests, since what is lost at a kill is missed soon. */
const LEAST_SPARE_MS: Milliseconds = 200;
/** Of a budget with plenty left: until the reserve opens in a cut. */
const MOST_SPARE_MS: Milliseconds = 3000;
/** Part of a budget that nobody holds while there is plenty left. */
const PLENTY = 0.15;
/** How long an instance goes on beyond its spare tokens while the store does not answer. */
const RESERVE_HORIZON_MS: Milliseconds = 14_000;
const MS_PER_SECOND = 1000;
/** Part of what nobody holds that one instance may take: callers of an account stick to few. */
const LARGEST_SHARE = 0.6;
/** Part of it that all instances together hold whatever their rates are, against sudden cuts. */
const IDLE_SHARE = 0.5;
/** Part of an idle instance's share that may be spent at any time, while there is plenty left. */
const IDLE_SPARE = 0.1;

/** How much an instance holds of a budget: for long cuts, but little of one that runs out. */
export function getGrantTarget({ rate, limit, room, instances }: GrantDemand): GrantTarget {
  const most = room * LARGEST_SHARE;
  const idle = (room * IDLE_SHARE) / Math.max(1, instances);
  const cover = (horizon: Milliseconds) => (rate * horizon) / MS_PER_SECOND;
  const plenty = getPlenty(limit, room);
  const horizon = LEAST_SPARE_MS + (MOST_SPARE_MS - LEAST_SPARE_MS) * plenty;
  const spare = Math.min(Math.max(cover(horizon), idle * IDLE_SPARE * plenty), most);
  const reserve = Math.max(cover(RESERVE_HORIZON_MS), idle);
  return {
    spare: Math.floor(spare),
    reserve: Math.floor(Math.min(reserve, most - spare)),
  };
}

// Falls faster than what is left: the last part of a budget is used up within seconds.
function getPlenty(limit: Tokens, room: Tokens): number {
  if (limit <= 0) return 0;
  return Math.min(1, room / (limit * PLENTY)) ** 2;
}
