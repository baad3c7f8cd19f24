import type { Milliseconds, Tokens } from '@pomeloroad/core';
import type { ForwardHost } from './forwardTypes';
import { isRepeatable } from './patience';
import type { Caller, ForwardRequest, ReplyHead } from './types';

/** A request under way. */
export interface Run<Payload> {
  host: ForwardHost<Payload>;
  request: ForwardRequest<Payload>;
  caller: Caller;
  /** Aborted when the caller has left or the deadline has passed. */
  stop: AbortController;
  /** Endpoints that failed this request, by name. */
  excluded: Set<string>;
  /** Attempts that may have run. */
  runs: number;
  declines: number;
  /** Whole events that the caller has been sent. */
  events: number;
  lastEvent: string | undefined;
  /** An endpoint's own failure, kept while another endpoint is tried. */
  failure: { head: ReplyHead; body: Buffer } | undefined;
  endpoint: string | undefined;
  firstByteAt: Milliseconds | undefined;
}

/** A run at its start. */
export function createRun<Payload>(
  host: ForwardHost<Payload>,
  request: ForwardRequest<Payload>,
  caller: Caller,
): Run<Payload> {
  return {
    host,
    request,
    caller,
    stop: new AbortController(),
    excluded: new Set(),
    runs: 0,
    declines: 0,
    events: 0,
    lastEvent: request.resumeAfter,
    failure: undefined,
    endpoint: undefined,
    firstByteAt: undefined,
  };
}

/** What is left until the deadline. */
export function getTimeLeft<Payload>({ host, request }: Run<Payload>): Milliseconds {
  return request.deadline - host.clock.elapsed();
}

/** Input counts as soon as the request may have run, output as far as the caller was sent it. */
export function getSpent<Payload>({ host, request, runs, events }: Run<Payload>): Tokens {
  if (runs === 0) return 0;
  const perEvent = host.findService(request.service)?.tokensPerEvent ?? 1;
  return request.cost.input + Math.min(request.cost.output, events * perEvent);
}

/** Whether the request may run on one more endpoint. */
export function mayRunAgain<Payload>({ request, runs }: Run<Payload>): boolean {
  return isRepeatable(request.route) && runs < request.route.attempts;
}

/** Takes one repeat from the budget of the service; false if none is left. */
export function mayArriveAgain<Payload>({ host, request }: Run<Payload>): boolean {
  const isAllowed = host.retryBudget.take(request.service);
  if (!isAllowed) host.metrics.repeatsDenied.add();
  return isAllowed;
}
