import { Err, Ok } from 'ts-results';
import type { Outcome } from '@pomeloroad/core';
import type { FetchError, RowStore } from '@pomeloroad/storage';
import type { AccountRows } from './escrowRestoration';
import { BUDGET_TABLE, GRANT_TABLE } from './escrowTypes';

/** Reads the budget's and the grants' rows of an account, `forgotten` if the era changed meanwhile. */
export async function listAccountRows(
  rows: RowStore,
  account: string,
): Promise<Outcome<AccountRows, FetchError>> {
  const totals = await rows.list(BUDGET_TABLE, account);
  if (totals.err) return totals;
  const grants = await rows.list(GRANT_TABLE, account);
  if (grants.err) return grants;
  const { era } = grants.val;
  if (totals.val.era !== era) return Err({ kind: 'forgotten' });
  return Ok({ era, totals: totals.val.rows, grants: grants.val.rows });
}
