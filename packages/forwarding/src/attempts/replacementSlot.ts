import type { Outcome } from '@pomeloroad/core';
import type { RouteError, Slot } from '@pomeloroad/routing';
import { leaveEndpoint, logFailure } from './attempt';
import type { AttemptReply, SentAttempt } from './sentAttempt';
import type { Run } from '../run';
import { acquireSlot } from './slots';

/**
 * Waits for a slot for a replacement on an endpoint that is not excluded; on one that has declined
 * the request before only if no other has room.
 */
export async function findReplacementSlot<Payload>(
  run: Run<Payload>,
  excluded: ReadonlySet<string>,
  declined: ReadonlySet<string>,
  signal: AbortSignal,
): Promise<Outcome<Slot, RouteError>> {
  const slot = await acquireSlot(run, new Set([...excluded, ...declined]), signal);
  if (slot.ok || declined.size === 0 || signal.aborted) return slot;
  return acquireSlot(run, excluded, signal);
}

/**
 * Releases the slot of a replacement that brought nothing. One that failed is excluded; one that
 * declined had no room, may have some later, and is noted in `declined`.
 */
export function noteLoss<Payload>(
  run: Run<Payload>,
  replacement: SentAttempt,
  reply: AttemptReply,
  declined: Set<string>,
): void {
  if (reply.ok && reply.val.kind === 'stream') {
    const message = 'the stream ended before its first event';
    logFailure(run, replacement, { kind: 'broken', message });
  }
  if (reply.ok || reply.val.kind !== 'declined') {
    leaveEndpoint(run, replacement, reply);
    return;
  }
  replacement.slot.release('ok');
  declined.add(replacement.slot.endpoint.name);
}
