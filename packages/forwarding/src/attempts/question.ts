import { withTimeout } from '@pomeloroad/core';
import { STREAM_THRESHOLD_MS } from './patience';
import type { SentAttempt } from './sentAttempt';
import type { Run } from '../run';

/**
 * Returns whether a confirmer that could not be asked is waited for: one that has no room now, or for which there is no
 * retry now, is still the one that has shown that it can go on.
 */
export function mayWaitForConfirmer<Payload>({ lack }: Run<Payload>): boolean {
  return lack === 'busy' || lack === 'retry';
}

/**
 * Gives the question up if nothing is heard of the endpoint that is asked for the rest, and it does not list the run.
 * `before` is the latest attempt before the question.
 */
export async function leaveIfSilent<Payload>(
  run: Run<Payload>,
  rest: Promise<unknown>,
  question: AbortController,
  before: SentAttempt | undefined,
): Promise<void> {
  const eventsBefore = run.events;
  const isSettled = rest.then(() => true);
  let isAtWork = true;
  while (isAtWork) {
    const { latest } = run;
    const isInTime = await withTimeout(run.host.clock, STREAM_THRESHOLD_MS, isSettled, false);
    if (isInTime || run.events > eventsBefore) return;
    // While the question waits for a slot, or has just got one, nobody is silent.
    const isUnsent = run.latest === before || run.latest !== latest;
    isAtWork = isUnsent || (await worksOnLatest(run));
  }
  question.abort();
}

// An endpoint that lists the run is only slow.
async function worksOnLatest<Payload>({ host, request, latest }: Run<Payload>): Promise<boolean> {
  if (!latest?.endpoint) return false;
  const { kind } = await host.protocol.findRun(latest.endpoint, request.id);
  return kind === 'listed';
}
