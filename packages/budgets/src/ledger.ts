import { Err, Ok } from 'ts-results';
import type { Clock, Identity, Outcome, Tokens } from '@pomeloroad/core';
import type { Row, Table } from '@pomeloroad/storage';
import {
  getRowKeys,
  planClose,
  planResize,
  planSeal,
  planSettle,
  planSetWitness,
  planTakeOver,
} from './grantPlans';
import type { Sizer, TakeOver } from './grantPlans';
import { planCredit, planTopUp } from './paymentPlans';
import type { TopUpEffect } from './paymentPlans';
import type { PlanResult } from './planSteps';
import {
  getBudgetKey,
  getClosedGrantKey,
  getCreditKey,
  getGrantKey,
  getTopUpKey,
  parseBudget,
} from './rows';
import type { BudgetRow, Grant, GrantRow, LedgerError } from './types';

const MAX_TRANSACTION_ATTEMPTS = 12;

/** Services that the ledger depends on. */
export interface LedgerHost {
  clock: Clock;
  table: Table;
}

/** Budgets and grants in the table. Each operation is one transaction and safe to repeat. */
export interface Ledger {
  /** Adds tokens once for each identifier; `mismatch` if it exists with another amount. */
  topUp(budget: string, id: string, tokens: Tokens): Promise<Outcome<TopUpEffect, LedgerError>>;
  /** Credits a charge back to the budget, once for each request. */
  credit(budget: string, request: string, tokens: Tokens): Promise<Outcome<void, LedgerError>>;
  readBudget(budget: string): Promise<Outcome<BudgetRow, LedgerError>>;
  /**
   * Opens or resizes a grant. With `mustWrite` the row is written even if its size stays, so that
   * an earlier write with an unknown outcome can no longer take effect.
   */
  resize(grant: Grant, sizer: Sizer, mustWrite: boolean): Promise<Outcome<Grant, LedgerError>>;
  /** Writes the grant's spent tokens and sequence; does nothing if the row is as far already. */
  settle(grant: Grant, spent: Tokens, sequence: number): Promise<Outcome<Grant, LedgerError>>;
  /** Closes a grant and charges what it spent; the rest returns to the budget. */
  close(grant: Grant, spent: Tokens, sequence: number): Promise<Outcome<Grant, LedgerError>>;
  /** Replaces or clears the witness in the grant's row. */
  setWitness(grant: Grant, witness: Identity | undefined): Promise<Outcome<Grant, LedgerError>>;
  /** Closes a lost holder's grant, charges what is settled and moves the rest to a new grant. */
  takeOver(lost: Grant, successor: Grant): Promise<Outcome<TakeOver, LedgerError>>;
  /** Closes a lost holder's grant and charges the given tokens of it, at least what it spent. */
  seal(grant: Grant, getCharge: (row: GrantRow) => Tokens): Promise<Outcome<Grant, LedgerError>>;
}

/** Creates a ledger that stores its rows in the table. */
export function createLedger(host: LedgerHost): Ledger {
  const { clock, table } = host;
  const getTimestamp = () => clock.now().toISOString();

  // Each attempt reads the rows again, so a write whose answer was lost is seen and not repeated.
  // `mustWrite` tells the plan that an earlier write may still take effect. Only a commit that
  // raises the rows' versions rules that out.
  async function transact<T>(
    keys: string[],
    plan: (rows: Map<string, Row>, mustWrite: boolean) => PlanResult<T>,
    isUncertain = false,
  ): Promise<Outcome<T, LedgerError>> {
    let mustWrite = isUncertain;
    for (let attempt = 0; attempt < MAX_TRANSACTION_ATTEMPTS; attempt += 1) {
      const read = await table.read(keys);
      if (read.err) return read;
      const planned = plan(new Map(read.val.map((row) => [row.key, row])), mustWrite);
      if (planned.err) return planned;
      const step = planned.val;
      if (step.kind === 'done') return Ok(step.value);
      const outcome = await table.commit(step.transaction);
      if (outcome.ok) return Ok(step.value);
      if (outcome.val.kind === 'unavailable') return Err(outcome.val);
      mustWrite = mustWrite || outcome.val.kind === 'unknown';
    }
    return Err({ kind: 'unavailable', message: 'too many conflicts' });
  }

  return {
    topUp: (budget, id, tokens) =>
      transact([getBudgetKey(budget), getTopUpKey(budget, id)], (rows) =>
        planTopUp({ budget, id, tokens, at: getTimestamp() }, rows),
      ),
    credit: (budget, request, tokens) =>
      transact([getBudgetKey(budget), getCreditKey(budget, request)], (rows) =>
        planCredit({ budget, id: request, tokens, at: getTimestamp() }, rows),
      ),
    async readBudget(budget) {
      const read = await table.read([getBudgetKey(budget)]);
      return read.map((rows) => parseBudget(rows[0]));
    },
    resize: (grant, sizer, isUncertain) =>
      transact(
        getRowKeys(grant),
        (rows, mustWrite) => planResize(grant, sizer, rows, mustWrite),
        isUncertain,
      ),
    settle: (grant, spent, sequence) =>
      transact([getGrantKey(grant.id), getClosedGrantKey(grant.id)], (rows) =>
        planSettle(grant, spent, sequence, rows),
      ),
    close: (grant, spent, sequence) =>
      transact(getRowKeys(grant), (rows) => planClose(grant, spent, sequence, rows)),
    setWitness: (grant, witness) =>
      transact([getGrantKey(grant.id), getClosedGrantKey(grant.id)], (rows) =>
        planSetWitness(grant, witness, rows),
      ),
    takeOver: (lost, successor) =>
      transact([...getRowKeys(lost), getGrantKey(successor.id)], (rows) =>
        planTakeOver(lost, successor, rows),
      ),
    seal: (grant, getCharge) =>
      transact(getRowKeys(grant), (rows) => planSeal(grant, getCharge, rows)),
  };
}
