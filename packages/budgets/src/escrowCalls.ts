import { Err, Ok } from 'ts-results';
import type { Outcome } from '@pomeloroad/core';
import type {
  FetchError,
  RowStore,
  RowTransaction,
  StoreEra,
  StoreVersion,
  TransactError,
} from '@pomeloroad/storage';
import type { StoreFailure } from './escrowTransactionTypes';

/** Dependencies of the calls. */
export interface EscrowCallsHost {
  rows: RowStore;
  /** The era whose rows are known here. */
  getEra(): StoreEra;
  /** Follows the store into a later era; does nothing in any other. */
  startEra(next: StoreEra): void;
}

/** `refreshed`: the store is in another era than the one in which the rows were asked for. */
type ReadFailure = { kind: 'refreshed' } | { kind: 'failed'; error: StoreFailure };

/** `rewound`: the store is in another era than the one in which the transaction was sent. */
type SendOutcome =
  | { kind: 'written'; version: StoreVersion }
  | { kind: 'rewound' }
  | { kind: 'failed'; error: TransactError };

/**
 * Calls to the store that follow it into a later era. An answer of another era says nothing about the rows
 * of the era in which the call was sent.
 */
export interface EscrowCalls {
  /** Sends a transaction on rows of the present era. */
  send(transaction: RowTransaction): Promise<SendOutcome>;
  /** Returns the rows that were asked for in an era if they are of that era, or what else came of it. */
  acceptRows<T extends { era: StoreEra }>(
    sentIn: StoreEra,
    answer: Outcome<T, FetchError>,
  ): Outcome<T, ReadFailure>;
}

/** An answer of an era that is over. */
const OUTDATED = {
  kind: 'failed',
  error: { kind: 'unknown', message: 'the answer is of an older era' },
} as const;

/** Creates the calls of one account. */
export function createEscrowCalls({ rows, getEra, startEra }: EscrowCallsHost): EscrowCalls {
  return {
    async send(transaction) {
      const sentIn = getEra();
      const outcome = await rows.transact(transaction);
      const answeredIn = getAnswerEra(outcome);
      if (answeredIn !== undefined) startEra(answeredIn);
      if (getEra() !== sentIn) return { kind: 'rewound' };
      if (answeredIn !== undefined && answeredIn !== sentIn) return OUTDATED;
      if (outcome.err) return { kind: 'failed', error: outcome.val };
      return { kind: 'written', version: outcome.val };
    },
    // Not asynchronous: another era may begin before a caller goes on that awaits this.
    acceptRows(sentIn, answer) {
      if (answer.err) return Err({ kind: 'failed', error: { message: '', ...answer.val } });
      startEra(answer.val.era);
      if (getEra() !== sentIn) return Err({ kind: 'refreshed' });
      return answer.val.era === sentIn ? Ok(answer.val) : Err(OUTDATED);
    },
  };
}

function getAnswerEra(outcome: Outcome<StoreVersion, TransactError>): StoreEra | undefined {
  if (outcome.ok) return outcome.val.era;
  return outcome.val.kind === 'conflict' ? outcome.val.era : undefined;
}
