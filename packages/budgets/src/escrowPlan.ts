import type { Tokens } from '@pomeloroad/core';
import type { Grant } from './escrowRows';
import type { GrantTarget } from './escrowSizing';

/** A grant is resized if its spare tokens, or all it holds idle, fall below this ratio to their target. */
const RESIZE_LOWER_RATIO = 0.5;
/** A grant's ceiling is lowered if its spare tokens exceed this ratio to their target. */
const SPARE_UPPER_RATIO = 1.4;

/** A grant and what its next size depends on. */
export interface GrantUse {
  grant: Grant;
  /** Tokens of the grant that are spent or reserved. */
  used: Tokens;
  /** Tokens of the budget that no instance holds. */
  unallocated: Tokens;
  /** Ratio of what is held idle to its target above which the rest is returned. */
  returnRatio: number;
}

/** Returns whether a grant differs so much from its target that a transaction is worthwhile. */
export function needsResize(
  { grant, used, returnRatio }: GrantUse,
  { spare, reserve }: GrantTarget,
): boolean {
  const { held, ceiling } = grant;
  return (
    isOutOfRange(ceiling - used, spare, SPARE_UPPER_RATIO) ||
    isOutOfRange(held - used, spare + reserve, returnRatio)
  );
}

/**
 * Returns a grant that covers the tokens needed and, as far as unallocated tokens allow, the target. The
 * tokens held stay as they are while they are near the target: all instances change the budget's row.
 */
export function planGrant(use: GrantUse, target: GrantTarget, needed: Tokens): Grant {
  const least = use.used + needed;
  const held = planHeld(use, target, least);
  return { held, ceiling: Math.min(held, least + target.spare) };
}

function planHeld(
  { grant, unallocated, returnRatio }: GrantUse,
  { spare, reserve }: GrantTarget,
  least: Tokens,
): Tokens {
  if (!isOutOfRange(grant.held - least, spare + reserve, returnRatio)) return grant.held;
  return Math.max(least, Math.min(least + spare + reserve, grant.held + unallocated));
}

/** Returns the same grant with a ceiling that covers the tokens needed, as far as it holds them. */
export function raiseCeiling({ grant, used }: GrantUse, needed: Tokens): Grant {
  const { held, ceiling } = grant;
  return { held, ceiling: Math.min(held, Math.max(ceiling, used + needed)) };
}

function isOutOfRange(value: Tokens, target: Tokens, upperRatio: number): boolean {
  return value < target * RESIZE_LOWER_RATIO || value > target * upperRatio;
}
