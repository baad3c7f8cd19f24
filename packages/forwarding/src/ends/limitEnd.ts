import type { Milliseconds } from '@pomeloroad/core';
import { isRetryable } from '../attempts/patience';
import type { SentAttempt } from '../attempts/sentAttempt';
import type { Run } from '../run';
import type { AnswerEnd } from '../types';

/**
 * Minimum step that an engine may need for an event of a stream, however short the steps before were. An end this
 * close to its limit may lack events, and a caller that may resume the stream gets them again.
 */
const STEP_MIN_MS: Milliseconds = 550;

/**
 * Returns whether the time limit that an endpoint was told may have ended its answer. An engine works in steps
 * and begins none that would pass the limit, so it stops up to one step before it, in order.
 */
export function mayBeLimitEnd<Payload>(
  run: Run<Payload>,
  attempt: SentAttempt,
  end: Pick<AnswerEnd, 'at'>,
): boolean {
  const { told } = attempt;
  const limitLeft = told.at + told.limit - end.at;
  return limitLeft < getLongestStep(run, attempt, end.at);
}

function getLongestStep<Payload>(
  { host: { pauseHistory }, request: { route, service } }: Run<Payload>,
  { slot, pauses }: SentAttempt,
  endedAt: Milliseconds,
): Milliseconds {
  const longest = pauses.getLongest(endedAt);
  // What has run once and came in one piece is taken as it is: its caller must not think that it has failed.
  if (route.kind === 'non-idempotent') return longest;
  // The wait for the first event or part holds at least one step; an answer with only one shows no other.
  const isOnly = pauses.getLongest() === 0;
  const own = isOnly ? Math.max(pauses.getFirst() ?? 0, longest) : longest;
  if (route.kind === 'idempotent') return own;
  const known = pauseHistory.getLongest(slot.endpoint.name, service);
  return Math.max(own, known, isRetryable(route) ? STEP_MIN_MS : 0);
}
