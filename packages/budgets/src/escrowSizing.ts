import { MS_PER_SECOND } from '@pomeloroad/core';
import type { Milliseconds, Tokens } from '@pomeloroad/core';

/** What the target size of an instance's grant depends on. */
export interface GrantDemand {
  /** Tokens reserved a second, smoothed. */
  rate: number;
  /** Tokens that the account has paid for. */
  limit: Tokens;
  /** Tokens of the limit that no instance holds. */
  unallocated: Tokens;
  /** The number of instances that share the budget. */
  instances: number;
}

/** Tokens that an instance should hold beyond those in use. */
export interface GrantTarget {
  /** Tokens it may spend while the store answers; lost if the instance dies. */
  spare: Tokens;
  /** Tokens it may spend in addition as its lease ages; reclaimed after a quick restart. */
  reserve: Tokens;
}

/** Spare tokens while a budget runs out: a few requests, since tokens lost at a kill are scarce. */
const SPARE_HORIZON_MIN_MS: Milliseconds = 200;
/** Spare tokens of an ample budget: they last until the reserve may be spent in a network cut. */
const SPARE_HORIZON_MAX_MS: Milliseconds = 3000;
/** Unallocated part of the limit from which on a budget is ample. */
const AMPLE_UNALLOCATED_RATIO = 0.15;
/** Reserve in a large fleet while a budget runs out: many reserves would leave nothing to spend. */
const RESERVE_HORIZON_MIN_MS: Milliseconds = 4000;
/** How long the reserve of an ample budget lasts while the store does not answer. */
const RESERVE_HORIZON_MAX_MS: Milliseconds = 14_000;
/** Largest fleet in which tokens are returned as soon as the rate of use falls. */
const RETURN_EAGERLY_MAX_INSTANCES = 16;
/** Return ratio in a small fleet, or while a budget runs out. */
const RETURN_RATIO_MIN = 1.4;
/** Return ratio in a large fleet with an ample budget: the rate falls by so much within some 10 s. */
const RETURN_RATIO_MAX = 8;
/** Largest part of the unallocated tokens for one instance; an account's callers use only a few. */
const INSTANCE_MAX_RATIO = 0.6;
/** Part of the unallocated tokens held by all instances whatever their rates, for sudden cuts. */
const FLEET_IDLE_RATIO = 0.5;
/** Idle shares that are smaller parts of the limit cover no request, so they are left out. */
const IDLE_SHARE_MIN_RATIO = 0.01;
/** Part of an idle instance's share that is spare rather than reserve while the budget is ample. */
const IDLE_SPARE_RATIO = 0.1;

/**
 * Returns the ratio of what an instance holds idle to its target above which it returns the rest. Where many
 * instances share an ample budget each has a request now and then only, so that its rate falls and rises
 * with each of them; to return tokens each time would cost more calls than requests.
 */
export function getReturnRatio({ limit, unallocated, instances }: GrantDemand): number {
  if (instances <= RETURN_EAGERLY_MAX_INSTANCES) return RETURN_RATIO_MIN;
  const range = RETURN_RATIO_MAX - RETURN_RATIO_MIN;
  return RETURN_RATIO_MIN + range * getAmpleness(limit, unallocated);
}

/** Returns how much an instance should hold: enough for long cuts, little as a budget runs out. */
export function getGrantTarget({ rate, limit, unallocated, instances }: GrantDemand): GrantTarget {
  const maxTokens = unallocated * INSTANCE_MAX_RATIO;
  const idleShare = getIdleShare(unallocated, instances);
  const getUse = (horizon: Milliseconds) => (rate * horizon) / MS_PER_SECOND;
  const ampleness = getAmpleness(limit, unallocated);
  const getHorizon = (min: Milliseconds, max: Milliseconds) => min + (max - min) * ampleness;
  const spareHorizon = getHorizon(SPARE_HORIZON_MIN_MS, SPARE_HORIZON_MAX_MS);
  const reserveHorizon =
    idleShare > 0
      ? RESERVE_HORIZON_MAX_MS
      : getHorizon(RESERVE_HORIZON_MIN_MS, RESERVE_HORIZON_MAX_MS);
  const spare = Math.min(
    Math.max(getUse(spareHorizon), idleShare * IDLE_SPARE_RATIO * ampleness),
    maxTokens,
  );
  const reserve = Math.max(getUse(reserveHorizon), idleShare);
  return {
    spare: Math.floor(spare),
    reserve: Math.floor(Math.min(reserve, maxTokens - spare)),
  };
}

// In a large fleet the callers of an account reach only a few instances. Depends on the limit and not
// on the unallocated tokens, so that the shares given up do not bring the shares back.
function getIdleShare(unallocated: Tokens, instances: number): Tokens {
  const ratio = FLEET_IDLE_RATIO / Math.max(1, instances);
  return ratio < IDLE_SHARE_MIN_RATIO ? 0 : unallocated * ratio;
}

// From 0 to 1. Falls faster than the unallocated tokens, because the last part of a budget is used
// up within seconds.
function getAmpleness(limit: Tokens, unallocated: Tokens): number {
  if (limit <= 0) return 0;
  return Math.min(1, unallocated / (limit * AMPLE_UNALLOCATED_RATIO)) ** 2;
}
