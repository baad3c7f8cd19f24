import type { Tokens } from '@pomeloroad/core';
import type { Grant } from './escrowRows';
import type { GrantTarget } from './escrowSizing';

/** A grant is resized if its spare tokens or its reserve fall below this ratio to their target. */
const RESIZE_LOWER_RATIO = 0.5;
/** A grant is resized if its spare tokens or its reserve exceed this ratio to their target. */
const RESIZE_UPPER_RATIO = 1.4;

/** A grant and what its next size depends on. */
export interface GrantUse {
  grant: Grant;
  /** Tokens of the grant that are spent or reserved. */
  used: Tokens;
  /** Tokens of the budget that no instance holds. */
  unallocated: Tokens;
}

/** Returns whether a grant differs so much from its target that a transaction is worthwhile. */
export function needsResize({ grant, used }: GrantUse, { spare, reserve }: GrantTarget): boolean {
  const { held, ceiling } = grant;
  return isOutOfRange(ceiling - used, spare) || isOutOfRange(held - ceiling, reserve);
}

/** Returns a grant that covers the tokens needed and, as far as unallocated tokens allow, the target. */
export function planGrant(
  { grant, used, unallocated }: GrantUse,
  { spare, reserve }: GrantTarget,
  needed: Tokens,
): Grant {
  const least = used + needed;
  const held = Math.max(least, Math.min(least + spare + reserve, grant.held + unallocated));
  return { held, ceiling: Math.min(held, least + spare) };
}

/** Returns the same grant with a ceiling that covers the tokens needed, as far as it holds them. */
export function raiseCeiling({ grant, used }: GrantUse, needed: Tokens): Grant {
  const { held, ceiling } = grant;
  return { held, ceiling: Math.min(held, Math.max(ceiling, used + needed)) };
}

function isOutOfRange(value: Tokens, target: Tokens): boolean {
  return value < target * RESIZE_LOWER_RATIO || value > target * RESIZE_UPPER_RATIO;
}
