import type { Milliseconds } from '@pomeloroad/core';
import type { Route } from './types';

/** Maximum wait for a free slot, as a fraction of the route's objective. */
const ADMISSION_WAIT_OBJECTIVE_RATIO = 0.6;
/** First-byte timeout of a retryable request, as a multiple of the route's objective. */
const FIRST_BYTE_OBJECTIVE_RATIO = 2.5;
/** Minimum first-byte timeout of a retryable request. */
const FIRST_BYTE_TIMEOUT_MIN_MS = 400;
/** Fraction of the remaining time that the wait for a slot or a retryable attempt may use. */
const ATTEMPT_TIME_LEFT_RATIO = 0.5;
/** Silence between events after which a stream is resumed elsewhere; callers give up after 2 s. */
const STALL_TIMEOUT_MS = 1200;

/** Returns whether a request of the route may run more than once. */
export function isRetryable(route: Route): boolean {
  return route.kind === 'idempotent' || (route.kind === 'streaming' && route.isResumable);
}

/** Returns how long a request of the route may wait for a free slot, in milliseconds. */
export function getAdmissionWait(route: Route, timeLeft: Milliseconds): Milliseconds {
  return Math.max(
    0,
    Math.min(route.objective * ADMISSION_WAIT_OBJECTIVE_RATIO, timeLeft * ATTEMPT_TIME_LEFT_RATIO),
  );
}

/** Returns the first-byte timeout of an attempt; the whole remaining time if no retry may follow. */
export function getFirstByteTimeout(
  route: Route,
  timeLeft: Milliseconds,
  mayRetry: boolean,
): Milliseconds {
  if (!mayRetry) return timeLeft;
  const timeout = Math.max(FIRST_BYTE_TIMEOUT_MIN_MS, route.objective * FIRST_BYTE_OBJECTIVE_RATIO);
  return Math.min(timeout, timeLeft * ATTEMPT_TIME_LEFT_RATIO);
}

/** Returns the timeout between events; the whole remaining time if no retry may follow. */
export function getStallTimeout(timeLeft: Milliseconds, mayRetry: boolean): Milliseconds {
  return mayRetry ? Math.min(STALL_TIMEOUT_MS, timeLeft) : timeLeft;
}
