import type { Clock, Milliseconds } from '@pomeloroad/core';
import type { BudgetTotal, KnownTotal } from './escrowRows';

/** How long an instance holds no spare tokens after another one asked for their return. */
const NO_SPARE_MS = 1500;
/** Shortest interval between two calls on the other instances to return tokens. */
const RETURN_CALL_INTERVAL_MS = 1000;

/** Calls of the instances on each other to return spare tokens of one account. */
export interface ReturnCalls {
  /** Notes that this instance calls on the others now. */
  noteOwn(): void;
  /** Notes the calls that the budget's row counts, beside what was known of it. */
  noteTotal(next: BudgetTotal, known: KnownTotal): void;
  /** Whether another instance has asked for spare tokens just now. */
  isAskedToReturn(): boolean;
  /** Whether this instance has called so lately that it does not call again. */
  hasCalledRecently(): boolean;
}

/** Creates the calls of an account, of which none is known. */
export function createReturnCalls(clock: Clock): ReturnCalls {
  let noSpareUntil: Milliseconds = -Infinity;
  let returnCalledAt: Milliseconds = -Infinity;

  function hasCalledRecently(): boolean {
    return clock.elapsed() - returnCalledAt < RETURN_CALL_INTERVAL_MS;
  }

  return {
    noteOwn() {
      returnCalledAt = clock.elapsed();
    },
    noteTotal(next, known) {
      if (next.calls > known.calls && known.version > 0 && !hasCalledRecently()) {
        noSpareUntil = clock.elapsed() + NO_SPARE_MS;
      }
    },
    isAskedToReturn: () => clock.elapsed() < noSpareUntil,
    hasCalledRecently,
  };
}
