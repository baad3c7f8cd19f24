import type { Milliseconds } from '@pomeloroad/core';
import { STREAM_THRESHOLD_MS } from '../attempts/patience';
import type { SentAttempt } from '../attempts/sentAttempt';
import type { Run } from '../run';
import type { ToldLimit } from './answerCourse';
import type { AnswerEnd } from '../types';

/**
 * Step that an engine may reckon with, as a multiple of the longest one shown: a step takes longer while the batch grows
 * or a prompt is read, and an engine may keep a reserve.
 */
const STEP_GROWTH_RATIO = 2;
/** An end with less left of its limit may be that of the limit, though no step shows it. */
const SHORT_TIME_MS: Milliseconds = 550;
/** As `SHORT_TIME_MS`, as a fraction of a short limit. */
const SHORT_TIME_RATIO = 0.5;

/** Returns whether little of the time limit that an endpoint was told was left at the end of its answer. */
export function isLittleTimeLeft(
  { told }: Pick<SentAttempt, 'told'>,
  end: Pick<AnswerEnd, 'at'>,
): boolean {
  return getLimitLeft(told, end) < Math.min(SHORT_TIME_MS, told.limit * SHORT_TIME_RATIO);
}

/**
 * Returns whether the time limit that an endpoint was told may have ended its answer. An engine works in steps
 * and begins none that would pass the limit, so it stops up to one step before it, in order.
 */
export function mayBeLimitEnd<Payload>(
  run: Run<Payload>,
  attempt: SentAttempt,
  end: Pick<AnswerEnd, 'at'>,
): boolean {
  return getLimitLeft(attempt.told, end) < getLongestStep(run, attempt, end.at);
}

function getLimitLeft(told: ToldLimit, end: Pick<AnswerEnd, 'at'>): Milliseconds {
  return told.at + told.limit - end.at;
}

function getLongestStep<Payload>(
  run: Run<Payload>,
  attempt: SentAttempt,
  endedAt: Milliseconds,
): Milliseconds {
  const { kind } = run.request.route;
  const { pauses } = attempt;
  const own = Math.max(getReckonedStep(pauses.getLongest()), pauses.getLongest(endedAt));
  // What has run once and came in one piece is taken as it is: its caller must not think that it has failed.
  if (kind === 'non-idempotent') return own;
  const known =
    kind === 'streaming' ? getKnownStep(run, attempt) : { step: 0, isOfEndpoint: false };
  // The wait for the first event or part holds at least one step, where nothing else shows one.
  const isShown = pauses.getLongest() > 0 || known.isOfEndpoint;
  const first = isShown ? 0 : (pauses.getFirst() ?? 0);
  return Math.max(own, first, known.step);
}

/** What other streams have shown of an engine's steps. */
interface KnownStep {
  step: Milliseconds;
  isOfEndpoint: boolean;
}

function getKnownStep<Payload>(
  { host: { pauseHistory }, request: { service } }: Run<Payload>,
  { slot }: SentAttempt,
): KnownStep {
  const { pause, isOfEndpoint } = pauseHistory.getLongest(slot.endpoint.name, service);
  return { step: getReckonedStep(pause), isOfEndpoint };
}

// A longer pause is a silence, and no step that could grow.
function getReckonedStep(shown: Milliseconds): Milliseconds {
  return Math.max(shown, Math.min(shown * STEP_GROWTH_RATIO, STREAM_THRESHOLD_MS));
}
