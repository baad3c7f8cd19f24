import { Diagnostics, sleep } from '@pomeloroad/core';
import type { Milliseconds, Outcome } from '@pomeloroad/core';
import type { FetchError, TransactError, VersionedRow } from '@pomeloroad/storage';
import type { Predecessor } from './escrowLease';
import {
  findRow,
  getGrantKey,
  getSpendable,
  getTotalKey,
  parseGrant,
  parseTotal,
} from './escrowRows';
import type { EscrowHost } from './escrowTypes';

/** Others change the same budget, and the store may be away: a reclaim tries again for some time. */
const ATTEMPTS = 40;
const RETRY_MS: Milliseconds = 150;

type ReclaimResult = Outcome<number, TransactError | FetchError> | undefined;

/**
 * Gives back what an earlier life can't have spent, by the age of its lease at its death. The
 * changed row ends every write of it that is still on its way.
 */
export async function reclaimGrant(
  host: EscrowHost,
  account: string,
  predecessor: Predecessor,
): Promise<void> {
  for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
    const result = await tryReclaim(host, account, predecessor);
    if (!result || result.ok) return;
    host.log(Diagnostics.budgetStoreFailed, { account, outcome: result.val.kind });
    if (result.val.kind !== 'conflict') await sleep(host.clock, RETRY_MS);
  }
}

async function tryReclaim(
  { rows, log }: EscrowHost,
  account: string,
  { incarnation, reserveShare }: Predecessor,
): Promise<ReclaimResult> {
  const totalKey = getTotalKey(account);
  const grantKey = getGrantKey(account, incarnation);
  const totals = await rows.list(totalKey.table, account);
  if (totals.err) return totals;
  const grants = await rows.list(grantKey.table, account);
  if (grants.err) return grants;
  const totalRow = findRow(totals.val.rows, totalKey);
  const grantRow = findRow(grants.val.rows, grantKey);
  const total = totalRow && parseTotal(totalRow.value);
  const grant = grantRow && parseGrant(grantRow.value);
  if (!total || !grant) return undefined;
  const spendable = getSpendable(grant, reserveShare);
  const unspent = grant.held - spendable;
  if (unspent === 0) return undefined;
  const allocated = total.allocated - unspent;
  const written = await rows.transact({
    checks: [toCheck(totalRow), toCheck(grantRow)],
    puts: [
      { ...totalKey, value: JSON.stringify({ ...total, allocated }) },
      { ...grantKey, value: JSON.stringify({ held: spendable, ceiling: spendable }) },
    ],
    removals: [],
  });
  if (written.ok) {
    log(Diagnostics.grantReclaimed, {
      account,
      predecessor: incarnation,
      tokens: unspent,
      version: written.val,
    });
  }
  return written;
}

function toCheck({ table, partition, key, version }: VersionedRow) {
  return { table, partition, key, version };
}
