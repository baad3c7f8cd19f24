import { Err, Ok } from 'ts-results';
import { assert } from '@pomeloroad/core';
import type { Clock, Identity, Outcome, Tokens } from '@pomeloroad/core';
import type { Row, Table, Transaction } from '@pomeloroad/storage';
import {
  getBudgetKey,
  getClosedGrantKey,
  getCreditKey,
  getGrantKey,
  getTopUpKey,
  getUnallocated,
  parseBudget,
  parseGrant,
  parseTopUp,
} from './rows';
import type { BudgetRow, Grant, GrantRow, LedgerError } from './types';

const MAX_TRANSACTION_ATTEMPTS = 12;

/** Services that the ledger depends on. */
export interface LedgerHost {
  clock: Clock;
  table: Table;
}

/** Returns a grant's new size, given the unallocated tokens of its budget and its present size. */
export type Sizer = (unallocated: Tokens, size: Tokens) => Tokens;

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

/** A grant that was moved to a successor. */
export interface TakeOver {
  /** Row of the lost holder's grant as it was closed. */
  closed: GrantRow;
  grant: Grant;
}

/** Whether a top-up added tokens or repeats an earlier one. */
export type TopUpEffect = 'added' | 'repeated';

type PlanStep<T> =
  { kind: 'done'; value: T } | { kind: 'commit'; transaction: Transaction; value: T };
type PlanResult<T> = Outcome<PlanStep<T>, LedgerError>;

/** Creates a ledger that stores its rows in the table. */
export function createLedger(host: LedgerHost): Ledger {
  const { clock, table } = host;

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

  function planTopUp(budget: string, id: string, tokens: Tokens, rows: Map<string, Row>) {
    const budgetKey = getBudgetKey(budget);
    const topUpKey = getTopUpKey(budget, id);
    const known = rows.get(topUpKey);
    if (known) return planRepeatedTopUp(id, tokens, parseTopUp(known).tokens);
    const row = parseBudget(rows.get(budgetKey));
    return planCommit<TopUpEffect>('added', {
      checks: [createVersionCheck(budgetKey, rows), { key: topUpKey, version: 0 }],
      writes: [
        { key: budgetKey, value: { ...row, toppedUp: row.toppedUp + tokens } },
        { key: topUpKey, value: { tokens, at: clock.now().toISOString() } },
      ],
    });
  }

  function planCredit(
    budget: string,
    request: string,
    tokens: Tokens,
    rows: Map<string, Row>,
  ): PlanResult<void> {
    const budgetKey = getBudgetKey(budget);
    const key = getCreditKey(budget, request);
    if (rows.has(key)) return skipCommit(undefined);
    const row = parseBudget(rows.get(budgetKey));
    return planCommit<void>(undefined, {
      checks: [createVersionCheck(budgetKey, rows), { key, version: 0 }],
      writes: [
        { key: budgetKey, value: { ...row, credited: row.credited + tokens } },
        { key, value: { request, tokens, at: clock.now().toISOString() } },
      ],
    });
  }

  return {
    topUp: (budget, id, tokens) =>
      transact([getBudgetKey(budget), getTopUpKey(budget, id)], (rows) =>
        planTopUp(budget, id, tokens, rows),
      ),
    credit: (budget, request, tokens) =>
      transact([getBudgetKey(budget), getCreditKey(budget, request)], (rows) =>
        planCredit(budget, request, tokens, rows),
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

function planRepeatedTopUp(id: string, tokens: Tokens, known: Tokens): PlanResult<TopUpEffect> {
  if (known === tokens) return Ok({ kind: 'done', value: 'repeated' });
  const message = `top-up ${id} exists with ${known} tokens`;
  return Err({ kind: 'mismatch', message });
}

function planResize(
  grant: Grant,
  sizer: Sizer,
  rows: Map<string, Row>,
  mustWrite: boolean,
): PlanResult<Grant> {
  const current = readGrant(grant, rows);
  if (current.err) return current;
  const { row } = current.val;
  const budget = parseBudget(rows.get(getBudgetKey(row.budget)));
  const size = sizer(getUnallocated(budget), current.val.version === 0 ? 0 : row.size);
  if (current.val.version === 0 && size === 0 && !mustWrite) return skipCommit(grant);
  if (current.val.version > 0 && size === row.size && !mustWrite) return skipCommit(current.val);
  const open = { ...budget.open, [grant.id]: size };
  return planGrantWrite(current.val, { ...row, size }, { ...budget, open }, rows);
}

function planSettle(
  grant: Grant,
  spent: Tokens,
  sequence: number,
  rows: Map<string, Row>,
): PlanResult<Grant> {
  const current = readGrant(grant, rows);
  if (current.err) return current;
  const { row, version } = current.val;
  assert(spent <= row.size, 'a grant is spent beyond its size');
  if (row.sequence >= sequence) return skipCommit(current.val);
  const next: Grant = { id: grant.id, version: version + 1, row: { ...row, spent, sequence } };
  const key = getGrantKey(grant.id);
  return planCommit(next, { checks: [{ key, version }], writes: [{ key, value: next.row }] });
}

function planSetWitness(
  grant: Grant,
  witness: Identity | undefined,
  rows: Map<string, Row>,
): PlanResult<Grant> {
  const current = readGrant(grant, rows);
  if (current.err) return current;
  const { row, version } = current.val;
  if (version === 0) return skipCommit({ ...grant, row: { ...grant.row, witness } });
  if (isSameIncarnation(row.witness, witness)) return skipCommit(current.val);
  const next: Grant = { id: grant.id, version: version + 1, row: { ...row, witness } };
  const key = getGrantKey(grant.id);
  return planCommit(next, { checks: [{ key, version }], writes: [{ key, value: next.row }] });
}

function planTakeOver(lost: Grant, successor: Grant, rows: Map<string, Row>): PlanResult<TakeOver> {
  const taken = rows.get(getGrantKey(successor.id));
  const closed = rows.get(getClosedGrantKey(lost.id));
  if (taken && closed) {
    const grant = { ...successor, version: taken.version, row: parseGrant(taken) };
    return skipCommit({ closed: parseGrant(closed), grant });
  }
  const current = readGrant(lost, rows);
  if (current.err) return current;
  if (current.val.version === 0) return Err({ kind: 'sealed' });
  const closing = planMoveToClosed(current.val, current.val.row, rows);
  return closing.map((step) => addSuccessor(step, current.val, successor));
}

function addSuccessor(step: PlanStep<Grant>, lost: Grant, successor: Grant): PlanStep<TakeOver> {
  assert(step.kind === 'commit', 'closing a grant needs a write');
  const { checks, writes } = step.transaction;
  const [budgetWrite, ...others] = writes;
  const row: GrantRow = { ...successor.row, size: lost.row.size - lost.row.spent };
  const budget = budgetWrite?.value as BudgetRow;
  const open = { ...budget.open, [successor.id]: row.size };
  const key = getGrantKey(successor.id);
  return {
    kind: 'commit',
    value: { closed: step.value.row, grant: { ...successor, version: 1, row } },
    transaction: {
      checks: [...checks, { key, version: 0 }],
      writes: [
        { key: getBudgetKey(row.budget), value: { ...budget, open } },
        ...others,
        { key, value: row },
      ],
    },
  };
}

function isSameIncarnation(left: Identity | undefined, right: Identity | undefined): boolean {
  return left?.incarnation === right?.incarnation;
}

function planClose(
  grant: Grant,
  spent: Tokens,
  sequence: number,
  rows: Map<string, Row>,
): PlanResult<Grant> {
  const current = readGrant(grant, rows);
  if (current.err) return current;
  const { row } = current.val;
  assert(spent <= row.size, 'a grant is closed beyond its size');
  return planMoveToClosed(current.val, { ...row, spent, sequence }, rows);
}

function planSeal(
  grant: Grant,
  getCharge: (row: GrantRow) => Tokens,
  rows: Map<string, Row>,
): PlanResult<Grant> {
  const current = readGrant(grant, rows);
  if (current.err) return current;
  const { row } = current.val;
  const charged = Math.min(row.size, Math.max(row.spent, getCharge(row)));
  return planMoveToClosed(current.val, { ...row, writtenOff: charged - row.spent }, rows);
}

// Moves the row to the closed grants, so that listing the open grants does not slow down with time.
function planMoveToClosed(grant: Grant, row: GrantRow, rows: Map<string, Row>): PlanResult<Grant> {
  const closed: GrantRow = { ...row, state: 'closed' };
  const budget = parseBudget(rows.get(getBudgetKey(row.budget)));
  const charged = chargeBudget(budget, grant.id, closed.spent + closed.writtenOff);
  const budgetKey = getBudgetKey(row.budget);
  const grantKey = getGrantKey(grant.id);
  return planCommit<Grant>(
    { id: grant.id, version: grant.version + 1, row: closed },
    {
      checks: [createVersionCheck(budgetKey, rows), { key: grantKey, version: grant.version }],
      writes: [
        { key: budgetKey, value: charged },
        { key: grantKey, value: undefined },
        { key: getClosedGrantKey(grant.id), value: closed },
      ],
    },
  );
}

function chargeBudget(budget: BudgetRow, grantId: string, spent: Tokens): BudgetRow {
  const open = { ...budget.open };
  delete open[grantId];
  return { ...budget, open, closedSpent: budget.closedSpent + spent };
}

function planGrantWrite(
  grant: Grant,
  row: GrantRow,
  budget: BudgetRow,
  rows: Map<string, Row>,
): PlanResult<Grant> {
  assert(getUnallocated(budget) >= 0, 'a grant would exceed its budget');
  const budgetKey = getBudgetKey(row.budget);
  const grantKey = getGrantKey(grant.id);
  return planCommit<Grant>(
    { id: grant.id, version: grant.version + 1, row },
    {
      checks: [createVersionCheck(budgetKey, rows), { key: grantKey, version: grant.version }],
      writes: [
        { key: budgetKey, value: budget },
        { key: grantKey, value: row },
      ],
    },
  );
}

// Only the holder resizes and settles its grant, so the stored row is its own latest write.
function readGrant(grant: Grant, rows: Map<string, Row>): Outcome<Grant, LedgerError> {
  if (rows.has(getClosedGrantKey(grant.id))) return Err({ kind: 'sealed' });
  const stored = rows.get(getGrantKey(grant.id));
  if (!stored) return Ok({ ...grant, version: 0 });
  const row = parseGrant(stored);
  if (!isSameIncarnation(row.holder, grant.row.holder)) return Err({ kind: 'sealed' });
  return Ok({ id: grant.id, version: stored.version, row });
}

function getRowKeys(grant: Grant): string[] {
  return [getBudgetKey(grant.row.budget), getGrantKey(grant.id), getClosedGrantKey(grant.id)];
}

function createVersionCheck(key: string, rows: Map<string, Row>) {
  return { key, version: rows.get(key)?.version ?? 0 };
}

function skipCommit<T>(value: T): PlanResult<T> {
  return Ok({ kind: 'done', value });
}

function planCommit<T>(value: T, transaction: Transaction): PlanResult<T> {
  return Ok({ kind: 'commit', transaction, value });
}
