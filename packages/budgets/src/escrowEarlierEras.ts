import type { Tokens } from '@pomeloroad/core';
import type { EscrowHolders } from './escrowHolders';
import { mergeHeld } from './escrowRestoration';
import type { BudgetTotal } from './escrowRows';

/**
 * What an instance can tell of others when it puts back its grant after a rewind: who may hold tokens that
 * were granted in an earlier era, and what those hold that are gone.
 */
export interface EscrowEarlierEras {
  /**
   * Takes in what is known at the end of an era. What was seen before the rewind counts: the copy may lack
   * it, and it may be forgotten soon. `isRestored`: the own grant had been put back into that era.
   */
  endEra(total: BudgetTotal, isRestored: boolean): void;
  /**
   * Instances that may hold tokens of an earlier era, as known at its end. If the leases had not been read by
   * then, those count that are known at the first call.
   */
  listHolders(): string[];
  /** Tokens of an earlier era held by incarnations that are gone, as far as this instance knows. */
  getHeldByGone(): Record<string, Tokens>;
}

/** Creates the knowledge of an instance that has seen no era end. */
export function createEscrowEarlierEras(known: EscrowHolders): EscrowEarlierEras {
  let holders: string[] = [];
  let heldByGone: Record<string, Tokens> = {};
  /** Whether the leases had been read when the last era ended. */
  let areHoldersListed = true;

  return {
    endEra({ restoration }, isRestored) {
      const unsettled = isRestored ? [] : holders;
      const listed = known.list();
      holders = [...unsettled, ...(restoration?.missing ?? []), ...(listed ?? [])];
      areHoldersListed = listed !== undefined;
      const heldBefore = mergeHeld(isRestored ? {} : heldByGone, restoration?.carried ?? {});
      heldByGone = mergeHeld(heldBefore, known.getHeld());
    },
    listHolders() {
      if (!areHoldersListed) holders.push(...(known.list() ?? []));
      areHoldersListed = true;
      return holders;
    },
    getHeldByGone: () => heldByGone,
  };
}
