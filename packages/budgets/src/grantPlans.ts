import { Err, Ok } from 'ts-results';
import { assert } from '@pomeloroad/core';
import type { Identity, Outcome, Tokens } from '@pomeloroad/core';
import type { Row, Transaction } from '@pomeloroad/storage';
import { createVersionCheck, planCommit, skipCommit } from './planSteps';
import type { PlanResult, PlanStep } from './planSteps';
import {
  getBudgetKey,
  getClosedGrantKey,
  getGrantKey,
  getUnallocated,
  parseBudget,
  parseGrant,
} from './rows';
import type { BudgetRow, Grant, GrantRow, LedgerError } from './types';

/** Returns a grant's new size, given the unallocated tokens of its budget and its present size. */
export type Sizer = (unallocated: Tokens, size: Tokens) => Tokens;

/** A grant that was moved to a successor. */
export interface TakeOver {
  /** Row of the lost holder's grant as it was closed. */
  closed: GrantRow;
  grant: Grant;
}

/** Plans the opening of a grant or its new size. */
export function planResize(
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
  const resized = { ...row, size };
  const changed = { ...budget, open: { ...budget.open, [grant.id]: size } };
  assert(getUnallocated(changed) >= 0, 'a grant would exceed its budget');
  const writes = [{ key: getGrantKey(grant.id), value: resized }];
  return planBudgetWrite({ ...current.val, row: resized }, changed, writes, rows);
}

/** Plans the record of what a grant has spent. */
export function planSettle(
  grant: Grant,
  spent: Tokens,
  sequence: number,
  rows: Map<string, Row>,
): PlanResult<Grant> {
  const current = readGrant(grant, rows);
  if (current.err) return current;
  const { row } = current.val;
  assert(spent <= row.size, 'a grant is spent beyond its size');
  if (row.sequence >= sequence) return skipCommit(current.val);
  return planRowWrite(current.val, { ...row, spent, sequence });
}

/** Plans another witness of a grant, or none. */
export function planSetWitness(
  grant: Grant,
  witness: Identity | undefined,
  rows: Map<string, Row>,
): PlanResult<Grant> {
  const current = readGrant(grant, rows);
  if (current.err) return current;
  const { row, version } = current.val;
  if (version === 0) return skipCommit({ ...grant, row: { ...grant.row, witness } });
  if (isSameIncarnation(row.witness, witness)) return skipCommit(current.val);
  return planRowWrite(current.val, { ...row, witness });
}

// Writes the grant's row alone: its size stays as the budget's row says.
function planRowWrite({ id, version }: Grant, row: GrantRow): PlanResult<Grant> {
  const key = getGrantKey(id);
  const written: Grant = { id, version: version + 1, row };
  return planCommit(written, { checks: [{ key, version }], writes: [{ key, value: row }] });
}

/** Plans the move of a lost holder's grant to a successor. */
export function planTakeOver(
  lost: Grant,
  successor: Grant,
  rows: Map<string, Row>,
): PlanResult<TakeOver> {
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

/** Plans the close of a grant by its holder. */
export function planClose(
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

/** Plans the close of a lost holder's grant, which is charged the given tokens. */
export function planSeal(
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
  const writes = [
    { key: getGrantKey(grant.id), value: undefined },
    { key: getClosedGrantKey(grant.id), value: closed },
  ];
  return planBudgetWrite({ ...grant, row: closed }, charged, writes, rows);
}

function chargeBudget(budget: BudgetRow, grantId: string, spent: Tokens): BudgetRow {
  const open = { ...budget.open };
  delete open[grantId];
  return { ...budget, open, closedSpent: budget.closedSpent + spent };
}

// Writes the budget's row, then those of the grant.
function planBudgetWrite(
  { id, version, row }: Grant,
  budget: BudgetRow,
  grantWrites: Transaction['writes'],
  rows: Map<string, Row>,
): PlanResult<Grant> {
  const budgetKey = getBudgetKey(row.budget);
  const checks = [createVersionCheck(budgetKey, rows), { key: getGrantKey(id), version }];
  const writes = [{ key: budgetKey, value: budget }, ...grantWrites];
  return planCommit<Grant>({ id, version: version + 1, row }, { checks, writes });
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

/** Returns the keys of the rows that a change of the grant's size reads. */
export function getRowKeys(grant: Grant): string[] {
  return [getBudgetKey(grant.row.budget), getGrantKey(grant.id), getClosedGrantKey(grant.id)];
}
