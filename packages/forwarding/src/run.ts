import type { Milliseconds, ResponseFraming, Tokens } from '@pomeloroad/core';
import type { RouteError } from '@pomeloroad/routing';
import { createAnswerCourse } from './ends/answerCourse';
import type { AnswerCourse } from './ends/answerCourse';
import type { ForwardHost } from './forwardTypes';
import type { StreamOrigin } from './origins/originMemory';
import { isRetryable } from './attempts/patience';
import type { SentAttempt } from './attempts/sentAttempt';
import { getSuspectNames } from './suspects/suspectNames';
import type { Caller, ForwardRequest, WholeAnswer } from './types';

/** Number of endpoints that may decline one request before it is refused. */
const DECLINES_MAX = 3;

/** State of a request that is being forwarded. */
export interface Run<Payload> {
  host: ForwardHost<Payload>;
  request: ForwardRequest<Payload>;
  caller: Caller;
  /** Aborted when the caller has disconnected or the deadline has passed. */
  stop: AbortController;
  /** Names of the endpoints that failed this request. */
  excluded: Set<string>;
  /**
   * Names of the endpoints at which the request may run once more: those whose attempt was dropped for one that
   * went on, and those that have ended its stream in order.
   */
  returnable: Set<string>;
  /** The latest attempt. */
  latest: SentAttempt | undefined;
  /** Aborted when the endpoint that is asked about the end of an open answer has said nothing for too long. */
  question: AbortController;
  /** Name of the endpoint that has sent the caller's last event again, and is asked whether any other one follows. */
  confirmer: string | undefined;
  /** Parts of the prompt that the request is to try in spite of their block. */
  probedSuspects: string[];
  /** Time of `clock.elapsed()` after which it does not try them any more. */
  probesUntil: Milliseconds;
  /** Part of the prompt for which the request was refused. */
  blockedSuspect: string | undefined;
  /** Number of attempts that may have run on an endpoint. */
  runs: number;
  /** Number of attempts without a reply yet. */
  pending: number;
  /** Number of attempts that ended as declined or replaced. */
  declines: number;
  /** Number of complete events sent to the caller. */
  events: number;
  /** Most tokens of one event, as the service was configured when the run began or was bound to it. */
  tokensPerEvent: Tokens;
  /** Id of the last event that the caller has received. */
  lastEventId: string | undefined;
  /** Number of events without an id that it has received behind that one. */
  unnumbered: number;
  /** Server error of an endpoint; sent to the caller if no other endpoint answers. */
  failure: WholeAnswer | undefined;
  /** Answer whose end is doubted; sent to the caller if no other endpoint answers. */
  doubted: WholeAnswer | undefined;
  /** Id of the endpoint of the latest attempt that was not dropped for another one. */
  endpoint: string | undefined;
  /** Version of that endpoint. */
  version: string | undefined;
  /** Where the stream began; only endpoints of its version may go on with it. */
  origin: StreamOrigin | undefined;
  /** Whether nobody knows which incarnation began the stream, so that no endpoint may go on with it. */
  isUnproved: boolean;
  /** Framing of the latest answer of an endpoint. */
  framing: ResponseFraming | undefined;
  /** How the answer has come so far. */
  course: AnswerCourse;
  firstByteAt: Milliseconds | undefined;
  /** Whether the caller has been sent any part of an endpoint's answer. */
  isAnswered: boolean;
  /** Wait for a slot where all endpoints name limits of requests; infinite if none is to be had here. */
  limitedWait: Milliseconds | undefined;
  /** Why the latest further attempt was not begun. */
  lack: 'attempt' | 'retry' | RouteError['kind'] | undefined;
}

/** Creates the state of a request before its first attempt. */
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
    returnable: new Set(),
    latest: undefined,
    question: new AbortController(),
    confirmer: undefined,
    probedSuspects: [],
    probesUntil: Infinity,
    blockedSuspect: undefined,
    runs: 0,
    pending: 0,
    declines: 0,
    events: 0,
    tokensPerEvent: findTokensPerEvent(host, request.service),
    lastEventId: request.resumeAfter,
    unnumbered: 0,
    failure: undefined,
    doubted: undefined,
    endpoint: undefined,
    version: undefined,
    origin: undefined,
    isUnproved: false,
    framing: undefined,
    course: createAnswerCourse(),
    firstByteAt: undefined,
    isAnswered: false,
    limitedWait: undefined,
    lack: undefined,
  };
}

/** Returns the time until the deadline, negative once it has passed. */
export function getTimeLeft<Payload>({ host, request }: Run<Payload>): Milliseconds {
  return request.deadline - host.clock.elapsed();
}

/**
 * Returns the tokens to settle: the whole input, once for all attempts, and the output of the events
 * sent to the caller. A request of whose answer the caller was sent nothing costs nothing.
 */
export function getSpentTokens<Payload>({
  request: { cost },
  isAnswered,
  events,
  tokensPerEvent,
}: Run<Payload>): Tokens {
  if (!isAnswered) return 0;
  const output = events === 0 ? 0 : Math.min(cost.output, events * tokensPerEvent);
  return cost.input + output;
}

/** Binds the run to another service, at which its stream began. */
export function setService<Payload>(run: Run<Payload>, service: string): void {
  run.request = { ...run.request, service };
  run.tokensPerEvent = findTokensPerEvent(run.host, service);
}

// An event of a service that is not configured any more may hold the whole output.
function findTokensPerEvent<Payload>(host: ForwardHost<Payload>, service: string): Tokens {
  return host.findService(service)?.tokensPerEvent ?? Infinity;
}

/** Returns whether the request may run on one more endpoint. */
export function hasAttemptsLeft<Payload>(run: Run<Payload>): boolean {
  const { request, runs, pending } = run;
  if (!mayGoOn(run)) return false;
  if (!isRetryable(request.route) || runs + pending >= request.route.attempts) return false;
  return !isWithheld(run);
}

// Another endpoint would send all events again if none of those that the caller has bore an id.
function mayGoOn<Payload>({ events, lastEventId }: Run<Payload>): boolean {
  return events === 0 || lastEventId !== undefined;
}

/**
 * Returns whether the request may not be sent to an endpoint now, because endpoints crash under a
 * suspect in it. One that may have run at an endpoint may have been what crashed it.
 */
export function isWithheld<Payload>(run: Run<Payload>): boolean {
  const { host, request, runs, pending, probedSuspects, probesUntil } = run;
  const isRepeat = runs + pending > 0;
  if (probedSuspects.length > 0 && (isRepeat || host.clock.elapsed() > probesUntil)) return true;
  const suspicion = host.suspects.judge(
    getSuspectNames(request).filter((name) => !probedSuspects.includes(name)),
  );
  return suspicion === 'blocked' || (isRepeat && suspicion === 'suspected');
}

/**
 * Returns whether the request has been sent to as many endpoints as it may. It may then only return to
 * some of them.
 */
export function mayOnlyReturn<Payload>(run: Run<Payload>): boolean {
  return isRetryable(run.request.route) && run.runs > 0 && !hasAttemptsLeft(run);
}

function canReturn<Payload>(run: Run<Payload>): boolean {
  const { returnable, excluded } = run;
  const hasPlace = [...returnable].some((name) => !excluded.has(name));
  return mayGoOn(run) && mayOnlyReturn(run) && hasPlace;
}

/** Returns whether one more endpoint may decline the request. */
export function mayBeDeclined<Payload>({ declines }: Run<Payload>): boolean {
  return declines < DECLINES_MAX;
}

/**
 * Takes one retry from the retry budget of the service for a request that may run on one more endpoint,
 * or return to one; returns false if it may not, or if none is left.
 */
export function takeAttempt<Payload>(run: Run<Payload>): boolean {
  if (mayRunOnce(run)) return takeRetry(run);
  run.lack = 'attempt';
  return false;
}

/** Takes one attempt as `takeAttempt` does, but only if other requests do not need the retries that are left. */
export function takeSpareAttempt<Payload>(run: Run<Payload>): boolean {
  const mayRun = mayRunOnce(run);
  const isAllowed = mayRun && run.host.retryBudget.takeSpare(run.request.service);
  if (!isAllowed) run.lack = mayRun ? 'retry' : 'attempt';
  return isAllowed;
}

function mayRunOnce<Payload>(run: Run<Payload>): boolean {
  return run.confirmer !== undefined || hasAttemptsLeft(run) || canReturn(run);
}

/** Takes one retry from the retry budget of the service; returns false if none is left. */
export function takeRetry<Payload>(run: Run<Payload>): boolean {
  const { host, request } = run;
  const isAllowed = host.retryBudget.take(request.service);
  if (isAllowed) return true;
  run.lack = 'retry';
  host.metrics.repeatsDenied.add();
  return false;
}
