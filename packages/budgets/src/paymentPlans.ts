import { Err } from 'ts-results';
import type { Tokens } from '@pomeloroad/core';
import type { Row } from '@pomeloroad/storage';
import { createVersionCheck, planCommit, skipCommit } from './planSteps';
import type { PlanResult } from './planSteps';
import { getBudgetKey, getCreditKey, getTopUpKey, parseBudget, parseTopUp } from './rows';

/** Whether a top-up added tokens or repeats an earlier one. */
export type TopUpEffect = 'added' | 'repeated';

/** Tokens added to a budget once for each identifier. */
interface Payment {
  budget: string;
  id: string;
  tokens: Tokens;
  /** ISO 8601 time of the payment. */
  at: string;
}

/** Plans a top-up; a repeat of one with the same amount changes nothing. */
export function planTopUp(
  { budget, id, tokens, at }: Payment,
  rows: Map<string, Row>,
): PlanResult<TopUpEffect> {
  const budgetKey = getBudgetKey(budget);
  const topUpKey = getTopUpKey(budget, id);
  const known = rows.get(topUpKey);
  if (known) return planRepeatedTopUp(id, tokens, parseTopUp(known).tokens);
  const row = parseBudget(rows.get(budgetKey));
  return planCommit<TopUpEffect>('added', {
    checks: [createVersionCheck(budgetKey, rows), { key: topUpKey, version: 0 }],
    writes: [
      { key: budgetKey, value: { ...row, toppedUp: row.toppedUp + tokens } },
      { key: topUpKey, value: { tokens, at } },
    ],
  });
}

/** Plans the return of a charge, identified by its request; a repeat changes nothing. */
export function planCredit(
  { budget, id, tokens, at }: Payment,
  rows: Map<string, Row>,
): PlanResult<void> {
  const budgetKey = getBudgetKey(budget);
  const key = getCreditKey(budget, id);
  if (rows.has(key)) return skipCommit(undefined);
  const row = parseBudget(rows.get(budgetKey));
  return planCommit<void>(undefined, {
    checks: [createVersionCheck(budgetKey, rows), { key, version: 0 }],
    writes: [
      { key: budgetKey, value: { ...row, credited: row.credited + tokens } },
      { key, value: { request: id, tokens, at } },
    ],
  });
}

function planRepeatedTopUp(id: string, tokens: Tokens, known: Tokens): PlanResult<TopUpEffect> {
  if (known === tokens) return skipCommit('repeated');
  const message = `top-up ${id} exists with ${known} tokens`;
  return Err({ kind: 'mismatch', message });
}
