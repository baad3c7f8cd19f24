import { withTimeout } from '@pomeloroad/core';
import type { Run } from '../run';
import { PROBE_SEND_TIME_MS } from '../suspects/suspectProbes';

/**
 * Asks again for a request that is to be sent in spite of a block and has waited for tokens or a slot: what
 * comes of it is known in time only if it is sent soon after its probe was taken.
 */
export async function renewWaitingProbe<Payload>(run: Run<Payload>): Promise<void> {
  const { host, probedSuspects, probesUntil, runs, pending } = run;
  const isWaiting = probedSuspects.length > 0 && runs + pending === 0;
  const startedAt = host.clock.elapsed();
  if (!isWaiting || startedAt <= probesUntil) return;
  const renewing = host.suspects.renewProbe(probedSuspects);
  const isRenewed = await withTimeout(host.clock, PROBE_SEND_TIME_MS, renewing, false);
  if (isRenewed) run.probesUntil = startedAt + PROBE_SEND_TIME_MS;
}
