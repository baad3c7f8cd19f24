import { z } from 'zod';
import { AuditSchema, BudgetAccountSchema, UsageSchema } from './answers';
import { callOperatorsInterface } from './client';
import type { OperatorTarget } from './client';
import { createFailure, createSuccess, ExitCode, formatTable } from './output';
import type { CommandResult } from './output';
import { fetchParsed, reportError } from './results';

/** Adds tokens to a prepaid budget. Idempotent: a repeated identifier changes nothing. */
export async function topUp(
  target: OperatorTarget,
  budget: string,
  tokens: number,
  id: string,
): Promise<CommandResult> {
  const body = JSON.stringify({ budget, tokens, id });
  const answer = await callOperatorsInterface(target, 'POST', '/v1/topups', body);
  if (answer.err) return createFailure(ExitCode.unavailable, answer.val);
  if (answer.val.status !== 200) return reportError(answer.val);
  const { result } = z.object({ result: z.string() }).parse(answer.val.body);
  const text =
    result === 'added' ? `added ${tokens} tokens to ${budget}` : `${id} was added before`;
  return createSuccess(text, answer.val.body);
}

/**
 * Shows budgets and billed requests, either of one client account or of all. Fails, and shows what is
 * known, if the records that were found are not the bill that the ledger states.
 */
export async function showUsage(target: OperatorTarget, account?: string): Promise<CommandResult> {
  const query = account ? `?account=${encodeURIComponent(account)}` : '';
  const usage = await fetchParsed(target, `/v1/usage${query}`, UsageSchema);
  if (usage.err) return usage.val;
  const { accounts, records, faults } = usage.val;
  const matching = accounts.filter((entry) => !account || entry.budget.startsWith(`${account}/`));
  const budgets = formatAccounts(matching);
  const rows = records.map((record) => [
    record.at,
    record.budget,
    record.request,
    record.key ?? '',
    record.model,
    record.promptTokens,
    record.completionTokens,
    record.tokens,
  ]);
  const head = ['at', 'budget', 'request', 'key', 'model', 'prompt', 'completion', 'tokens'];
  const text = `${budgets}\n\n${formatTable(head, rows)}`;
  const [first] = faults;
  const data = { accounts: matching, records, faults };
  if (!first) return createSuccess(text, data);
  const doubt = `the bill does not add up: ${first.key}: ${first.message}`;
  return createFailure(ExitCode.auditFault, `${text}\n${doubt}`, data);
}

function formatAccounts(accounts: z.output<typeof BudgetAccountSchema>[]): string {
  const rows = accounts.map((entry) => [
    entry.budget,
    entry.toppedUp,
    entry.billed,
    entry.credited,
    entry.writtenOff,
    entry.held,
    entry.unallocated,
  ]);
  return formatTable(
    ['budget', 'topped up', 'billed', 'given back', 'written off', 'held', 'free'],
    rows,
  );
}

/** Checks that the ledger accounts for every token; if not, the text names the first fault. */
export async function auditBudgets(target: OperatorTarget): Promise<CommandResult> {
  const audit = await fetchParsed(target, '/v1/audit', AuditSchema);
  if (audit.err) return audit.val;
  const { accounts, faults, records } = audit.val;
  const [first] = faults;
  const table = formatAccounts(accounts);
  if (!first) return createSuccess(`${table}\n${records} records add up`, audit.val);
  const text = `${table}\n${first.key}: ${first.message}`;
  return createFailure(ExitCode.auditFault, text, audit.val);
}
