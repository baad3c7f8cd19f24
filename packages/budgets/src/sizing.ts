import { match } from 'ts-pattern';
import type { Tokens } from '@pomeloroad/core';

/** How a data centre's part of a budget is chosen. */
export type GrantPolicy =
  /** Enough for the horizon at the present rate, and never more than a share of what is left. */
  | { kind: 'adaptive'; horizonSeconds: number }
  /** An equal part of the whole budget for each data centre, taken at once and kept. */
  | { kind: 'even' }
  /** Just what the waiting requests need: a table transaction for nearly each request. */
  | { kind: 'central' };

/** What the size of a grant depends on. */
export interface Demand {
  /** Tokens that waiting requests need beyond what is free. */
  needed: Tokens;
  /** Tokens spent a second, smoothed. */
  rate: number;
  unallocated: Tokens;
  toppedUp: Tokens;
  dataCentres: number;
  /** The present size of the grant. */
  size: Tokens;
}

/** Requests of the size seen that an idle grant keeps room for. */
const IDLE_REQUESTS = 8;
/** What one data centre leaves of the rest to all the others together. */
const SHARE_LEFT = 2;
/** Part of that share that a data centre takes whatever its rate is, against sudden cuts. */
const BASE_SHARE = 4;

/** How many tokens to add to a grant. */
export function getGrowth(policy: GrantPolicy, demand: Demand): Tokens {
  const { needed, unallocated } = demand;
  const wanted = match(policy)
    .with({ kind: 'adaptive' }, ({ horizonSeconds }) => getAdaptiveGrowth(horizonSeconds, demand))
    .with({ kind: 'even' }, () => {
      const share = Math.floor(demand.toppedUp / demand.dataCentres);
      return Math.max(0, share - demand.size);
    })
    .with({ kind: 'central' }, () => needed)
    .exhaustive();
  return Math.min(wanted, unallocated);
}

function getAdaptiveGrowth(horizonSeconds: number, demand: Demand): Tokens {
  const { needed, rate, unallocated, dataCentres } = demand;
  const left = Math.max(0, unallocated - needed);
  const share = Math.floor(left / (SHARE_LEFT * dataCentres));
  const base = Math.floor(share / BASE_SHARE);
  const wanted = Math.max(Math.ceil(rate * horizonSeconds), needed * IDLE_REQUESTS, base);
  return needed + Math.min(wanted, share);
}

/** How many free tokens an adaptive grant may keep; more than that returns to the budget. */
export function getIdleLimit(policy: GrantPolicy, rate: number, typical: Tokens): Tokens {
  return match(policy)
    .with({ kind: 'adaptive' }, ({ horizonSeconds }) =>
      Math.max(Math.ceil(rate * horizonSeconds) * 2, typical * IDLE_REQUESTS * 2),
    )
    .with({ kind: 'even' }, () => Infinity)
    .with({ kind: 'central' }, () => 0)
    .exhaustive();
}
