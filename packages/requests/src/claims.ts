import { Err, Ok } from 'ts-results';
import { z } from 'zod';
import { sleep } from '@pomeloroad/core';
import type { Clock, Identity, Outcome } from '@pomeloroad/core';
import type { Table } from '@pomeloroad/storage';
import type { RequestName } from './types';

const CLAIM_PREFIX = 'claim/';
const READS = 4;
const READ_RETRY_MS = 250;

/** The row that lets one instance, once, run a non-idempotent request. */
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

/** Why a claim was not obtained. */
export type ClaimError =
  /** Somebody claimed the name before. */
  | { kind: 'taken'; claim: Claim }
  /** The table did not answer; nothing may run. */
  | { kind: 'unavailable'; message: string };

/** Claims names in the table. */
export interface Claims {
  claim(name: RequestName, request: string, digest: string): Promise<Outcome<void, ClaimError>>;
  /** Gives up the claim of a request that provably did not run, so that its name can be used. */
  release(name: RequestName, request: string): Promise<void>;
}

/** Creates claims of one incarnation. */
export function createClaims(clock: Clock, table: Table, self: Identity): Claims {
  async function readClaim(key: string): Promise<Outcome<StoredClaim | undefined, ClaimError>> {
    const rows = await table.read([key]);
    if (rows.err) return rows;
    const [row] = rows.val;
    return Ok(row && { claim: ClaimSchema.parse(row.value), version: row.version });
  }

  // The outcome of a write without an answer is worth some waiting: the key can't be used again.
  async function readUntilKnown(
    key: string,
  ): Promise<Outcome<StoredClaim | undefined, ClaimError>> {
    let found = await readClaim(key);
    for (let attempt = 1; attempt < READS && found.err; attempt += 1) {
      await sleep(clock, READ_RETRY_MS);
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
      const found = await readUntilKnown(key);
      if (found.err) return found;
      const holder = found.val?.claim;
      if (holder?.request === request) return Ok.EMPTY;
      if (holder) return Err({ kind: 'taken', claim: holder });
      const again = await table.commit({ checks, writes: [{ key, value: claim }] });
      if (again.ok) return Ok.EMPTY;
      return Err({ kind: 'unavailable', message: 'the table service gave no answer' });
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
