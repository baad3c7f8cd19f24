import { match } from 'ts-pattern';
import { Diagnostics } from '@pomeloroad/core';
import type { Milliseconds } from '@pomeloroad/core';
import type { EscrowQueue } from './escrowQueue';
import { UNREACHABLE_ERROR } from './escrowReservations';
import type { EscrowOutcome, StoreFailure } from './escrowTransactionTypes';
import type { EscrowHost } from './escrowTypes';

/** First back-off after the store refused a call; doubled with each further refusal in a row. */
export const BACKOFF_MIN_MS = 60;
/** Longest back-off after a refused call. */
const BACKOFF_MAX_MS = 2000;
/** Interval for each instance over which the calls that put back grants are spread. */
const RESTORE_SPREAD_PER_INSTANCE_MS: Milliseconds = 16;

/** Dependencies of the outcomes of one account's transactions. */
export interface EscrowOutcomesHost {
  escrow: EscrowHost;
  account: string;
  /** Requests that wait for tokens. */
  queue: Pick<EscrowQueue, 'count' | 'refuseAll'>;
  /** Runs the transactions that are needed. */
  requestRun(): void;
}

/** What follows from the outcomes of transactions. */
export interface EscrowOutcomes {
  /** Returns whether there may be another step to run at once; if not, one is scheduled where it may help. */
  handle(outcome: EscrowOutcome): boolean;
  /** Schedules the step that puts back the grant after a rewind of the store. */
  scheduleRestore(): void;
}

/** Creates the outcomes of an account. */
export function createEscrowOutcomes(host: EscrowOutcomesHost): EscrowOutcomes {
  const { escrow, account, queue, requestRun } = host;
  const { clock, log } = escrow;
  let consecutiveRefusals = 0;

  // All instances put back their grants in the same row after a rewind, so the calls are spread.
  function scheduleRestore(): void {
    const spread = escrow.countInstances() * RESTORE_SPREAD_PER_INSTANCE_MS;
    clock.after(escrow.random.fraction() * spread, requestRun);
  }

  function handleStoreFailure(error: StoreFailure): void {
    log(Diagnostics.budgetStoreFailed, { account, ...error, waiting: queue.count() });
    // A store that refused a call may accept the next one, but one without an answer is not waited
    // for.
    if (error.kind === 'unavailable') scheduleRetry();
    else queue.refuseAll(UNREACHABLE_ERROR);
  }

  function scheduleRetry(): void {
    const backoff = Math.min(BACKOFF_MAX_MS, BACKOFF_MIN_MS * 2 ** consecutiveRefusals);
    consecutiveRefusals += 1;
    clock.after(backoff, requestRun);
  }

  return {
    handle: (outcome) =>
      match(outcome)
        .with({ kind: 'failed' }, ({ error }) => {
          handleStoreFailure(error);
          return false;
        })
        .with({ kind: 'refreshed' }, () => true)
        .with({ kind: 'contended' }, () => {
          scheduleRestore();
          return false;
        })
        .with({ kind: 'changed' }, { kind: 'conflict' }, () => {
          consecutiveRefusals = 0;
          return true;
        })
        .exhaustive(),
    scheduleRestore,
  };
}
