import type { IncomingHttpHeaders } from 'node:http';
import { Err, Ok } from 'ts-results';
import type { Milliseconds, Outcome } from '@pomeloroad/core';
import { createRefusal } from '@pomeloroad/requests';
import type { Refusal } from '@pomeloroad/requests';
import type { Settings } from './settings';

const IDEMPOTENCY_KEY_LENGTH_MAX = 255;

/** Names of the headers that callers send or receive, in lower case. */
export const CallerHeader = {
  key: 'idempotency-key',
  nonIdempotent: 'x-non-idempotent',
  budget: 'x-budget',
  priority: 'x-priority',
  deadline: 'x-deadline-ms',
  requestId: 'x-request-id',
  lastEvent: 'last-event-id',
} as const;

/** Value of the priority header. */
export type Priority = 'low' | 'normal' | 'high';

/** Numeric priorities; requests with a higher one are served first. */
const PriorityRank: Record<Priority, number> = { low: 0, normal: 1, high: 2 };

/** The options that a caller sets by headers of its request. */
export interface CallerOptions {
  /** Idempotency key of the request. */
  key: string | undefined;
  /** False if the caller marked the request as non-idempotent; such a request has a key. */
  isIdempotent: boolean;
  /** Name of the prepaid budget; `undefined` selects that of the caller's API key. */
  budget: string | undefined;
  /** 0 is low, 1 normal, 2 high. */
  priority: number;
  /** Maximum wait before the request runs, from the deadline header; at most `maxDeadline`. */
  patience: Milliseconds;
  /** Position of the first event that the caller has not received yet. */
  from: number;
}

type Limits = Pick<Settings, 'defaultDeadline' | 'maxDeadline'>;

/**
 * Parses the headers of a request and applies defaults. Returns a refusal if a value is invalid or
 * a non-idempotent request has no idempotency key.
 */
export function parseCallerHeaders(
  headers: IncomingHttpHeaders,
  limits: Limits,
): Outcome<CallerOptions, Refusal> {
  const key = getHeader(headers, CallerHeader.key);
  const nonIdempotent = getHeader(headers, CallerHeader.nonIdempotent) ?? 'false';
  const priority = getHeader(headers, CallerHeader.priority) ?? 'normal';
  const deadline = getHeader(headers, CallerHeader.deadline) ?? String(limits.defaultDeadline);
  // Events are numbered from 0, so -1 asks for all of them.
  const lastEvent = getHeader(headers, CallerHeader.lastEvent) ?? '-1';
  if (key !== undefined && (key === '' || key.length > IDEMPOTENCY_KEY_LENGTH_MAX)) {
    return refuse(`${CallerHeader.key} must have 1 to ${IDEMPOTENCY_KEY_LENGTH_MAX} characters.`);
  }
  if (nonIdempotent !== 'true' && nonIdempotent !== 'false') {
    return refuse(`${CallerHeader.nonIdempotent} must be true or false.`);
  }
  if (!isPriority(priority)) return refuse(`${CallerHeader.priority} must be low, normal or high.`);
  if (!/^\d{1,9}$/.test(deadline)) {
    return refuse(`${CallerHeader.deadline} must be a number of milliseconds.`);
  }
  if (!/^(-1|\d{1,9})$/.test(lastEvent))
    return refuse(`${CallerHeader.lastEvent} must be a number.`);
  if (nonIdempotent === 'true' && key === undefined) {
    const message = `A non-idempotent request needs the header ${CallerHeader.key}.`;
    return Err(createRefusal('key_required', 'no', message));
  }
  return Ok({
    key,
    isIdempotent: nonIdempotent === 'false',
    budget: getHeader(headers, CallerHeader.budget),
    priority: PriorityRank[priority],
    patience: Math.min(Number(deadline), limits.maxDeadline),
    from: Number(lastEvent) + 1,
  });
}

function getHeader(headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function isPriority(text: string): text is Priority {
  return text in PriorityRank;
}

function refuse(message: string): Err<Refusal> {
  return Err(createRefusal('invalid_request', 'no', message));
}
