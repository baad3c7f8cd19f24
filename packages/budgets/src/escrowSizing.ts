import type { Milliseconds, Tokens } from '@pomeloroad/core';

/** What the sizes of an instance's grant depend on. */
export interface GrantDemand {
  /** Tokens reserved a second, smoothed. */
  rate: number;
  /** Tokens that no instance holds. */
  room: Tokens;
  instances: number;
}

/** Tokens that an instance holds beyond those in use. */
export interface GrantTarget {
  /** What it may spend while the store answers; lost if the instance dies. */
  spare: Tokens;
  /** What it may spend besides once its lease has run out; reclaimed after a quick restart. */
  reserve: Tokens;
}

/** Covers the time until the reserve opens; what is spare is lost at a kill. */
const SPARE_HORIZON_MS: Milliseconds = 600;
/** How long an instance goes on beyond that while the store does not answer. */
const RESERVE_HORIZON_MS: Milliseconds = 14_000;
const MS_PER_SECOND = 1000;
/** Part of what nobody holds that one instance may take: callers of an account stick to few. */
const LARGEST_SHARE = 0.6;
/** Part of it that all instances together hold whatever their rates are, against sudden cuts. */
const IDLE_SHARE = 0.5;
/** Part of an idle instance's share that may be spent at any time. */
const IDLE_SPARE = 0.05;

/** How much an instance holds of a budget: for long cuts, but little of one that runs out. */
export function getGrantTarget({ rate, room, instances }: GrantDemand): GrantTarget {
  const most = room * LARGEST_SHARE;
  const idle = (room * IDLE_SHARE) / Math.max(1, instances);
  const cover = (horizon: Milliseconds) => (rate * horizon) / MS_PER_SECOND;
  const spare = Math.min(Math.max(cover(SPARE_HORIZON_MS), idle * IDLE_SPARE), most);
  const reserve = Math.max(cover(RESERVE_HORIZON_MS), idle);
  return {
    spare: Math.floor(spare),
    reserve: Math.floor(Math.min(reserve, most - spare)),
  };
}
