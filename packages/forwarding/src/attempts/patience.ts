import type { Milliseconds } from '@pomeloroad/core';
import type { Route } from '../types';

/** Maximum wait for a free slot, as a fraction of the route's objective. */
const ADMISSION_WAIT_OBJECTIVE_RATIO = 0.6;
/** Silence before the first byte after which another attempt may help, as a multiple of the objective. */
const FIRST_BYTE_OBJECTIVE_RATIO = 2.5;
/** Minimum of that silence. */
const FIRST_BYTE_THRESHOLD_MIN_MS = 400;
/** Fraction of the remaining time that the wait for a slot, or for the first byte, may use. */
const ATTEMPT_TIME_LEFT_RATIO = 0.5;
/** Silence between events after which another attempt may help; callers give up after 2 s. */
export const STREAM_THRESHOLD_MS: Milliseconds = 1200;

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

/** Returns the silence before the head, or within a whole answer, after which another attempt may help. */
export function getFirstByteThreshold(route: Route, timeLeft: Milliseconds): Milliseconds {
  const threshold = Math.max(
    FIRST_BYTE_THRESHOLD_MIN_MS,
    route.objective * FIRST_BYTE_OBJECTIVE_RATIO,
  );
  return Math.min(threshold, timeLeft * ATTEMPT_TIME_LEFT_RATIO);
}
