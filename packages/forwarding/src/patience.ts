import type { Milliseconds } from '@pomeloroad/core';
import type { Route } from './types';

/** How long a request waits for a place at most, as a part of its route's objective. */
const QUEUE_SHARE = 0.6;
/** Silence of an endpoint before a repeatable request goes elsewhere, in objectives. */
const SILENT_OBJECTIVES = 2.5;
/** The same, at least. */
const LEAST_SILENCE_MS = 400;
/** Part of the time left that one attempt may use while another one may follow. */
const ATTEMPT_SHARE = 0.5;
/** Silence between events after which a stream is resumed elsewhere; callers leave after 2 s. */
const STALL_MS = 1200;

/** Whether a request of the route may run more than once. */
export function isRepeatable(route: Route): boolean {
  return route.kind === 'idempotent' || (route.kind === 'streaming' && route.isResumable);
}

/** How long a request of the route may wait for a place. */
export function getQueuePatience(route: Route, timeLeft: Milliseconds): Milliseconds {
  return Math.max(0, Math.min(route.objective * QUEUE_SHARE, timeLeft * ATTEMPT_SHARE));
}

/** How long an attempt may take to its first byte; all that is left if none may follow. */
export function getFirstBytePatience(
  route: Route,
  timeLeft: Milliseconds,
  mayRepeat: boolean,
): Milliseconds {
  if (!mayRepeat) return timeLeft;
  const silence = Math.max(LEAST_SILENCE_MS, route.objective * SILENT_OBJECTIVES);
  return Math.min(silence, timeLeft * ATTEMPT_SHARE);
}

/** How long a stream may be silent between events. */
export function getStallPatience(timeLeft: Milliseconds, mayRepeat: boolean): Milliseconds {
  return mayRepeat ? Math.min(STALL_MS, timeLeft) : timeLeft;
}
