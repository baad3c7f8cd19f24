import type { Milliseconds } from '@pomeloroad/core';
import { isRetryable, STREAM_THRESHOLD_MS } from '../attempts/patience';
import { isConfirmationPoint } from '../attempts/resumePoint';
import type { SentAttempt } from '../attempts/sentAttempt';
import type { Run } from '../run';
import type { AnswerEnd } from '../types';

/**
 * Step that an engine may reckon with, as a multiple of the longest one shown: a step takes longer while the batch grows
 * or a prompt is read, and an engine may keep a reserve.
 */
const STEP_GROWTH_RATIO = 2;
/**
 * Minimum step of an engine, however short the steps before were. An end this close to its limit may lack events, and
 * a caller that may resume the stream gets them again.
 */
const STEP_MIN_MS: Milliseconds = 550;
/** Maximum of that minimum as a fraction of the limit, so that short limits allow an end. */
const STEP_MIN_LIMIT_RATIO = 0.5;

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
  run: Run<Payload>,
  attempt: SentAttempt,
  endedAt: Milliseconds,
): Milliseconds {
  const { route } = run.request;
  const { pauses, told } = attempt;
  const own = Math.max(getReckonedStep(pauses.getLongest()), pauses.getLongest(endedAt));
  // What has run once and came in one piece is taken as it is: its caller must not think that it has failed.
  if (route.kind === 'non-idempotent') return own;
  const known = route.kind === 'streaming' ? getKnownStep(run, attempt) : 0;
  // The wait for the first event or part holds at least one step.
  const first = pauses.getFirst() ?? 0;
  if (route.kind === 'streaming' && isRetryable(route)) {
    const least = Math.min(STEP_MIN_MS, told.limit * STEP_MIN_LIMIT_RATIO);
    // The wait of one that is asked whether any event follows is for its turn and holds no step, where steps are known.
    if (known > 0 && isConfirmationPoint(attempt.resumePoint)) return Math.max(known, least);
    // Where no step is known, the wait is the only one shown, and the next one may be longer.
    const firstStep = known > 0 ? first : getReckonedStep(first);
    return Math.max(own, firstStep, known, least);
  }
  // A caller that could not get the rest loses a whole answer, so it counts only where the answer shows no other step.
  if (pauses.getLongest() === 0) return Math.max(own, first, ignoreSilence(known));
  // Nor do silences count after which the endpoint went on.
  const hasGoneOn = own === pauses.getLongest();
  return Math.max(hasGoneOn ? ignoreSilence(own) : own, ignoreSilence(known));
}

function ignoreSilence(pause: Milliseconds): Milliseconds {
  return pause > STREAM_THRESHOLD_MS ? 0 : pause;
}

// Of other streams of the endpoint.
function getKnownStep<Payload>(
  { host: { pauseHistory }, request: { service } }: Run<Payload>,
  { slot }: SentAttempt,
): Milliseconds {
  return getReckonedStep(pauseHistory.getLongest(slot.endpoint.name, service));
}

// A longer pause is a silence, and no step that could grow.
function getReckonedStep(shown: Milliseconds): Milliseconds {
  return Math.max(shown, Math.min(shown * STEP_GROWTH_RATIO, STREAM_THRESHOLD_MS));
}
