import type { IncomingHttpHeaders } from 'node:http';
import { Err, Ok } from 'ts-results';
import type { Milliseconds, Outcome } from '@pomeloroad/core';
import { createRefusal } from '@pomeloroad/requests';
import type { Refusal } from '@pomeloroad/requests';
import type { Settings } from './settings';

const KEY_LENGTH_MAX = 255;

/** Request headers of the callers' interface, in lower case. */
export const CallerHeader = {
  key: 'idempotency-key',
  nonIdempotent: 'x-non-idempotent',
  budget: 'x-budget',
  priority: 'x-priority',
  deadline: 'x-deadline-ms',
  requestId: 'x-request-id',
  lastEvent: 'last-event-id',
} as const;

/** Priorities that a caller can ask for. */
export type Priority = 'low' | 'normal' | 'high';

const PriorityRank: Record<Priority, number> = { low: 0, normal: 1, high: 2 };

/** The options that a caller sets by headers of its request. */
export interface CallerOptions {
  /** The idempotency key. */
  key: string | undefined;
  isIdempotent: boolean;
  budget: string | undefined;
  priority: number;
  /** Longest wait before the request runs; at most the configured limit. */
  patience: Milliseconds;
  /** Position of the first event that the caller has not received yet. */
  from: number;
}

type Limits = Pick<Settings, 'defaultDeadline' | 'maxDeadline'>;

/** Parses the headers of a request. Refuses values that are not valid. */
export function parseCallerHeaders(
  headers: IncomingHttpHeaders,
  limits: Limits,
): Outcome<CallerOptions, Refusal> {
  const key = getHeader(headers, CallerHeader.key);
  const nonIdempotent = getHeader(headers, CallerHeader.nonIdempotent) ?? 'false';
  const priority = getHeader(headers, CallerHeader.priority) ?? 'normal';
  const deadline = getHeader(headers, CallerHeader.deadline) ?? String(limits.defaultDeadline);
  const lastEvent = getHeader(headers, CallerHeader.lastEvent) ?? '-1';
  if (key !== undefined && (key === '' || key.length > KEY_LENGTH_MAX)) {
    return refuse(`${CallerHeader.key} must have 1 to ${KEY_LENGTH_MAX} characters.`);
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
