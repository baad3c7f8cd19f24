import { match } from 'ts-pattern';
import type { Milliseconds } from '@pomeloroad/core';
import type { Run } from './run';
import type { RefusalKind } from './types';

/** Retry delay advised to callers while no configuration is known. */
export const NOT_READY_RETRY_AFTER_MS: Milliseconds = 250;
/** Retry delay advised to callers while no endpoint of the service is known. */
const NO_ENDPOINT_RETRY_AFTER_MS = 250;
/** Retry delay advised while a suspect is blocked; sooner, the answer would be the same. */
const BLOCKED_RETRY_AFTER_MS: Milliseconds = 600_000;
/** Maximum retry delay advised where endpoints limit requests; another instance may have a share. */
const LIMITED_RETRY_AFTER_MAX_MS: Milliseconds = 10_000;
/** Minimum retry delay advised under overload; also the delay advised after a timeout. */
const RETRY_AFTER_MIN_MS = 50;
/** Maximum random addition to a retry delay, as a fraction of it. */
const RETRY_AFTER_JITTER_RATIO = 0.4;

/** Returns the retry delay that a refusal of this kind advises; `undefined` if it advises none. */
export function getRetryAfter<Payload>(
  run: Run<Payload>,
  kind: RefusalKind,
): Milliseconds | undefined {
  return match(kind)
    .with('not-ready', () => NOT_READY_RETRY_AFTER_MS)
    .with('no-endpoint', 'version-unknown', () => NO_ENDPOINT_RETRY_AFTER_MS)
    .with('overloaded', () => getOverloadDelay(run))
    .with('timed-out', () => RETRY_AFTER_MIN_MS)
    .with('blocked', () => BLOCKED_RETRY_AFTER_MS)
    .with('budget-exhausted', 'budget-unreachable', 'failed', () => undefined)
    .exhaustive();
}

// Where endpoints limit requests, capacity comes at known times; elsewhere answers free it soon.
function getOverloadDelay<Payload>({ request, limitedWait = 0 }: Run<Payload>): Milliseconds {
  const usual = Math.max(RETRY_AFTER_MIN_MS, request.route.objective / 2);
  return Math.max(usual, Math.min(limitedWait, LIMITED_RETRY_AFTER_MAX_MS));
}

/** Returns the delay with jitter, so that callers refused at the same time do not retry at the same time. */
export function addJitter<Payload>({ host }: Run<Payload>, delay: Milliseconds): Milliseconds {
  return Math.ceil(delay * (1 + RETRY_AFTER_JITTER_RATIO * host.random.fraction()));
}
