import { Diagnostics, sleep } from '@pomeloroad/core';
import type { Milliseconds, Outcome } from '@pomeloroad/core';
import type { FetchError, StoreVersion, TransactError, VersionedRow } from '@pomeloroad/storage';
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

/** Attempts fail if other instances change the same budget or the store does not answer. */
const MAX_ATTEMPTS = 40;
/** Pause after an attempt that the store did not answer. */
const RETRY_INTERVAL_MS: Milliseconds = 150;

/** Holds the new rows' version; `undefined` if there was nothing to return. */
type ReclaimResult = Outcome<StoreVersion, TransactError | FetchError> | undefined;

/**
 * Returns to the budget the tokens that an earlier run of the instance cannot have spent, by the
 * age that its lease had at its end. The change of the grant's row makes every write of that run
 * that is still in flight fail its check. Gives up after some seconds of failures.
 */
export async function reclaimGrant(
  host: EscrowHost,
  account: string,
  predecessor: Predecessor,
): Promise<void> {
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    const result = await tryReclaim(host, account, predecessor);
    if (!result || result.ok) return;
    host.log(Diagnostics.budgetStoreFailed, { account, outcome: result.val.kind });
    if (result.val.kind !== 'conflict') await sleep(host.clock, RETRY_INTERVAL_MS);
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
      version: written.val.revision,
    });
  }
  return written;
}

function toCheck({ table, partition, key, version }: VersionedRow) {
  return { table, partition, key, version };
}
