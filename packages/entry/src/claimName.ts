import { Ok } from 'ts-results';
import type { Outcome, RunStatus } from '@pomeloroad/core';
import { createRefusal } from '@pomeloroad/requests';
import type { ClaimError, Refusal } from '@pomeloroad/requests';
import type { RunHost } from './runHost';
import type { RunRequest } from './runRequest';

const PLATFORM_RETRY_MS = 5000;

/** Claims the name of a non-idempotent request right before it is sent. */
export async function claimName(
  host: RunHost,
  request: RunRequest,
): Promise<Outcome<void, Refusal>> {
  const { needsClaim, name, id, digest } = request;
  if (!needsClaim || !name) return Ok.EMPTY;
  const claimed = await host.claims.claim(name, id, digest);
  // With an instance out of reach, one there may have run an earlier attempt under this key.
  const ran = host.registry.isFleetComplete() ? 'no' : 'unknown';
  return claimed.mapErr((error) => refuseClaim(error, digest, ran));
}

/** Gives the name back after a request that provably did not run. */
export async function releaseName(host: RunHost, request: RunRequest): Promise<void> {
  if (request.needsClaim && request.name) await host.claims.release(request.name, request.id);
}

function refuseClaim(error: ClaimError, digest: string, ran: RunStatus): Refusal {
  if (error.kind === 'unavailable') {
    const message = 'Whether this key was used before can only be told with the table service.';
    return createRefusal('platform_unavailable', ran, message, PLATFORM_RETRY_MS);
  }
  if (error.claim.digest !== digest) {
    return createRefusal('key_reused', 'no', 'The key was used for another request.');
  }
  const message = 'This request was started before, and how it ended is not known here.';
  return createRefusal('outcome_unknown', 'unknown', message);
}
