import type { Tokens } from '@pomeloroad/core';
import { needsResize, planGrant, raiseCeiling } from './escrowPlan';
import type { GrantUse } from './escrowPlan';
import type { Grant } from './escrowRows';
import { getGrantTarget, getReturnRatio } from './escrowSizing';
import type { GrantDemand, GrantTarget } from './escrowSizing';
import type { EscrowTransactions } from './escrowTransactionTypes';
import type { EscrowHost } from './escrowTypes';
import type { RateMeter } from './rate';

/** Dependencies of the planner of one account. */
export interface EscrowPlannerHost {
  escrow: EscrowHost;
  transactions: EscrowTransactions;
  /** Rate at which tokens are reserved. */
  rate: RateMeter;
  /** Tokens that the account has paid for. */
  getLimit(): Tokens;
  /** Tokens spent or reserved. */
  getUsed(): Tokens;
  /** Whether this instance holds no spare tokens any more. */
  isRetired(): boolean;
  /** Whether another instance has asked for spare tokens just now. */
  isAskedToReturn(): boolean;
}

/** Plans the size of this instance's grant on a budget. */
export interface EscrowPlanner {
  /** Tokens of the budget that no instance holds and that may be granted now. */
  getUnallocated(): Tokens;
  /** Tokens that requests may reserve after a transaction. */
  getAvailable(): Tokens;
  /** Whether the grant keeps its size, since other instances have not put back theirs after a rewind. */
  isHeldBack(): boolean;
  /** Whether the lease is so old that nothing more is granted to this instance. */
  isLeaseOverdue(): boolean;
  /** Whether the grant's size differs enough from what the rate of use calls for. */
  needsResize(): boolean;
  /** Returns the next grant; it covers the tokens needed as far as they are available. */
  plan(needed: Tokens): Grant;
  /** Returns the same grant with a ceiling that covers what is used. */
  planCeiling(): Grant;
}

/** Creates the planner of an account. */
export function createEscrowPlanner(host: EscrowPlannerHost): EscrowPlanner {
  const { escrow, transactions, rate, getLimit, getUsed, isRetired } = host;
  const { getTotal, getGrant, canGrant } = transactions;

  // Until all instances have put back their grants after a rewind of the store, an instance keeps
  // what it holds, since it would not get it again.
  function isHeldBack(): boolean {
    return !isRetired() && !canGrant();
  }

  function getUnallocated(): Tokens {
    if (!canGrant()) return 0;
    return Math.max(0, getLimit() - getTotal().allocated);
  }

  // An instance that does not renew its lease is soon taken for gone, and what others read of its grant
  // then is all that counts as granted to it after a rewind.
  function isLeaseOverdue(): boolean {
    return escrow.getReserveShare() >= 1;
  }

  function getGrantable(): Tokens {
    return isLeaseOverdue() ? 0 : getUnallocated();
  }

  function getTarget(): GrantTarget {
    if (isRetired() || host.isAskedToReturn()) return { spare: 0, reserve: 0 };
    return getGrantTarget(getDemand());
  }

  function getDemand(): GrantDemand {
    // Shares of a fleet that is still starting would be too large, and be taken all at once.
    const instances = escrow.isFleetCounted() ? escrow.countInstances() : Infinity;
    return { rate: rate.perSecond(), limit: getLimit(), unallocated: getUnallocated(), instances };
  }

  function getUse(): GrantUse {
    const returnRatio = getReturnRatio(getDemand());
    return { grant: getGrant(), used: getUsed(), unallocated: getGrantable(), returnRatio };
  }

  return {
    getUnallocated,
    getAvailable: () => getGrant().held + getGrantable() - getUsed(),
    isHeldBack,
    isLeaseOverdue,
    needsResize: () => needsResize(getUse(), getTarget()),
    plan(needed) {
      if (isHeldBack()) return raiseCeiling(getUse(), needed);
      return planGrant(getUse(), getTarget(), needed);
    },
    planCeiling: () => raiseCeiling(getUse(), 0),
  };
}
