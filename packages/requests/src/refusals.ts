import type { Milliseconds, RunStatus } from '@pomeloroad/core';
import type { Refusal, RefusalCode } from './types';

/** HTTP status of each refusal code. */
export const RefusalStatus: Record<RefusalCode, number> = {
  invalid_request: 400,
  unauthorized: 401,
  forbidden: 403,
  not_found: 404,
  method_not_allowed: 405,
  body_too_large: 413,
  request_timeout: 408,
  key_required: 400,
  key_reused: 422,
  key_expired: 409,
  budget_exhausted: 402,
  budget_unreachable: 503,
  platform_unavailable: 503,
  overloaded: 429,
  no_endpoint: 503,
  endpoint_failed: 502,
  answer_too_large: 502,
  outcome_unknown: 409,
  not_ready: 503,
};

/** Creates a refusal. `ran` tells whether the request ran; `retryAfter` is in milliseconds. */
export function createRefusal(
  code: RefusalCode,
  ran: RunStatus,
  message: string,
  retryAfter?: Milliseconds,
): Refusal {
  return { code, ran, message, retryAfter };
}
