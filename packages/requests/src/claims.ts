import { Err, Ok } from 'ts-results';
import { z } from 'zod';
import { sleep } from '@pomeloroad/core';
import type { Clock, Identity, Outcome } from '@pomeloroad/core';
import type { Table } from '@pomeloroad/storage';
import type { RequestName } from './types';

const CLAIM_PREFIX = 'claim/';
const READ_ATTEMPTS = 4;
const READ_RETRY_DELAY_MS = 250;

/** Table row that gives one incarnation the right to run a non-idempotent request, once. */
export interface Claim {
  runner: Identity;
  request: string;
  digest: string;
  at: string;
}

interface StoredClaim {
  claim: Claim;
  version: number;
}

const ClaimSchema: z.ZodType<Claim> = z.object({
  runner: z.object({ instance: z.string(), incarnation: z.string(), dataCentre: z.string() }),
  request: z.string(),
  digest: z.string(),
  at: z.string(),
});

/** Why a name could not be claimed. */
export type ClaimError =
  /** Another request holds the claim on the name. */
  | { kind: 'taken'; claim: Claim }
  /** The table did not answer, so the request must not run. */
  | { kind: 'unavailable'; message: string };

/** Claims on request names, stored in the platform's table. */
export interface Claims {
  /** Claims a name. Succeeds again for the request that already holds the claim. */
  claim(name: RequestName, request: string, digest: string): Promise<Outcome<void, ClaimError>>;
  /** Deletes the claim of a request that provably did not run, so that the name is free again. */
  release(name: RequestName, request: string): Promise<void>;
}

/** Returns an interface that claims names for the incarnation `self`. */
export function createClaims(clock: Clock, table: Table, self: Identity): Claims {
  async function readClaim(key: string): Promise<Outcome<StoredClaim | undefined, ClaimError>> {
    const rows = await table.read([key]);
    if (rows.err) return rows;
    const [row] = rows.val;
    return Ok(row && { claim: ClaimSchema.parse(row.value), version: row.version });
  }

  // Retries the read to learn the outcome of a write that got no answer, because an idempotency key
  // can't be used again if that outcome stays unknown.
  async function readClaimWithRetry(
    key: string,
  ): Promise<Outcome<StoredClaim | undefined, ClaimError>> {
    let found = await readClaim(key);
    for (let attempt = 1; attempt < READ_ATTEMPTS && found.err; attempt += 1) {
      await sleep(clock, READ_RETRY_DELAY_MS);
      found = await readClaim(key);
    }
    return found;
  }

  return {
    async claim(name, request, digest) {
      const key = getClaimKey(name);
      const claim: Claim = { runner: self, request, digest, at: clock.now().toISOString() };
      const checks = [{ key, version: 0 }];
      const outcome = await table.commit({ checks, writes: [{ key, value: claim }] });
      if (outcome.ok) return Ok.EMPTY;
      if (outcome.val.kind === 'unavailable') return Err(outcome.val);
      const found = await readClaimWithRetry(key);
      if (found.err) return found;
      const holder = found.val?.claim;
      if (holder?.request === request) return Ok.EMPTY;
      if (holder) return Err({ kind: 'taken', claim: holder });
      const again = await table.commit({ checks, writes: [{ key, value: claim }] });
      if (again.ok) return Ok.EMPTY;
      return Err({ kind: 'unavailable', message: 'the table service did not answer' });
    },
    async release(name, request) {
      const key = getClaimKey(name);
      const found = await readClaim(key);
      if (found.err || found.val?.claim.request !== request) return;
      const checks = [{ key, version: found.val.version }];
      await table.commit({ checks, writes: [{ key, value: undefined }] });
    },
  };
}

function getClaimKey({ account, key }: RequestName): string {
  return `${CLAIM_PREFIX}${account}/${encodeURIComponent(key)}`;
}
