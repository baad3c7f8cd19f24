import { Diagnostics, sleep } from '@pomeloroad/core';
import type { Milliseconds, Outcome } from '@pomeloroad/core';
import type { FetchError, TransactError, VersionedRow } from '@pomeloroad/storage';
import type { Predecessor } from './escrowLease';
import { getAncestry } from './escrowRestoration';
import type { AccountRows, Ancestry } from './escrowRestoration';
import { listAccountRows } from './escrowListing';
import {
  findRow,
  formatGrant,
  getEraKey,
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

/**
 * Returns to the budget the tokens that an earlier run of the instance cannot have spent, by the
 * age that its lease had at its end. The change of the grant's row makes every write of that run
 * that is still in flight fail its check. Gives up after some seconds of failures. Resolves to what
 * the rows tell about the earlier runs.
 */
export async function reclaimGrant(
  host: EscrowHost,
  account: string,
  predecessor: Predecessor,
): Promise<Ancestry> {
  let ancestry: Ancestry = { kind: 'unknown' };
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    const listed = await listAccountRows(host.rows, account);
    if (listed.ok && ancestry.kind !== 'known')
      ancestry = getReclaimedAncestry(listed.val, host.instance, predecessor);
    const result = listed.ok ? await tryReclaim(host, account, predecessor, listed.val) : listed;
    if (!result || result.ok) return ancestry;
    host.log(Diagnostics.budgetStoreFailed, { account, outcome: result.val.kind });
    if (result.val.kind !== 'conflict') await sleep(host.clock, RETRY_INTERVAL_MS);
  }
  return ancestry;
}

// Of the predecessor's grant only what it can have spent counts.
function getReclaimedAncestry(
  rows: AccountRows,
  instance: string,
  { incarnation, reserveShare }: Predecessor,
): Ancestry {
  const ancestry = getAncestry(rows, instance);
  const row = rows.grants.find(({ key }) => key === getEraKey(incarnation, rows.era));
  const grant = row && parseGrant(row.value);
  if (ancestry.kind !== 'known' || !grant) return ancestry;
  const spendable = getSpendable(grant, reserveShare);
  const ended = { [incarnation]: spendable };
  return { ...ancestry, held: { ...ancestry.held, ...ended }, ended };
}

// Returns `undefined` if there is nothing to return.
async function tryReclaim(
  { rows, log, instance }: EscrowHost,
  account: string,
  { incarnation, reserveShare }: Predecessor,
  { era, totals, grants }: AccountRows,
): Promise<Outcome<unknown, TransactError | FetchError> | undefined> {
  const totalKey = getTotalKey(account, era);
  const grantKey = getGrantKey(account, incarnation, era);
  const totalRow = findRow(totals, totalKey);
  const grantRow = findRow(grants, grantKey);
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
      { ...grantKey, value: formatGrant({ held: spendable, ceiling: spendable }, instance) },
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
