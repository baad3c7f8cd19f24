import { match } from 'ts-pattern';
import { Diagnostics } from '@pomeloroad/core';
import type { Importance, LogFields, Milliseconds } from '@pomeloroad/core';
import type { AnswerCourse, AnswerSource, EndOutcome } from './answerCourse';
import { mayBeLimitEnd } from './limitEnd';
import type { AnswerEnd } from '../types';
import type { SentAttempt } from '../attempts/sentAttempt';
import type { EndpointState } from '../store/endpointState';
import type { Run } from '../run';

/**
 * Time between a last event and an end that come together. An engine knows with its last token that it is
 * the last one; what ends a stream later has another cause. It covers a busy process or link.
 */
const END_WITH_EVENT_MS: Milliseconds = 5;

/** Why an end in order may not be the end of the answer. */
export type EndReason =
  | 'nothing since resumption'
  | 'nothing since take-up'
  | 'near limit'
  | 'not stated'
  | 'apart from last event'
  | 'endpoint ended early'
  | 'endpoint ended several'
  | 'endpoint ended several apart'
  | 'endpoint failing'
  | 'endpoint leaving'
  | 'endpoint gone';

/** Counts a resumption of the stream. */
export function noteResumption<Payload>(run: Run<Payload>): void {
  run.course.resumptions += 1;
  run.course.eventsBefore = run.events;
}

/** Notes that the answer stays open after an end, unless it does since an earlier one. */
export function noteOpenEnd<Payload>(run: Run<Payload>): void {
  run.course.openSince ??= run.host.clock.elapsed();
}

/**
 * Looks for what speaks against an end in order of a stream, whose outcome `reportEnd` tells. `hasRepeated` tells
 * whether its endpoint has sent an event again that the caller had.
 */
export function reviewStreamEnd<Payload>(
  run: Run<Payload>,
  attempt: SentAttempt,
  end: AnswerEnd,
  hasRepeated: boolean,
): EndReason | undefined {
  const { reason, report } = reviewEnd(run, attempt, end, hasRepeated);
  run.course.reportEnd = report;
  return reason;
}

/** Reports what was done after the latest end of a stream, unless that is reported. */
export function reportEnd<Payload>(run: Run<Payload>, outcome: EndOutcome): void {
  run.course.reportEnd?.(outcome);
  run.course.reportEnd = undefined;
}

/** Remembers what becomes of the connection of an end in order and, where no length proves the end, of its endpoint. */
export function rememberEnd<Payload>(
  run: Run<Payload>,
  { slot, endpoint }: SentAttempt,
  { framing, at, idleAt, connection }: AnswerEnd,
): void {
  const { host, request, events } = run;
  run.course.connection = undefined;
  connection.then((fate) => {
    run.course.connection = fate;
    if (fate === 'kept' || fate === 'closed') {
      host.closeHistory.note(request.service, fate, isProven({ framing }));
    }
  });
  if (isProven({ framing }) || !endpoint) return;
  const { id, born, version } = endpoint;
  const identity = { name: slot.endpoint.name, id, born, version };
  const timeLeft = request.deadline - at;
  host.recentEnds.add(identity, { request: request.id, at, idleAt, timeLeft, events });
}

/** What speaks against an end in order. */
export interface ReviewedEnd {
  reason: EndReason | undefined;
  /** Takes what was done after the end, and logs and counts the end if there is a reason. */
  report(outcome: EndOutcome): void;
}

/** Looks for what speaks against an end in order, by what is known of its endpoint now. */
export function reviewEnd<Payload>(
  run: Run<Payload>,
  attempt: SentAttempt,
  end: AnswerEnd,
  hasRepeated = false,
): ReviewedEnd {
  if (isProven(end)) return { reason: undefined, report: () => undefined };
  const { host, request } = run;
  const { slot, endpoint } = attempt;
  const state = host.getEndpointState(slot.endpoint.name);
  const reason =
    (hasRepeated ? undefined : findGap(run)) ??
    (mayBeLimitEnd(run, attempt, end) ? 'near limit' : undefined) ??
    findTrouble(state) ??
    findDoubt(run, slot.endpoint.name, end);
  if (!reason) return { reason, report: () => undefined };
  run.course.isSuspicious = true;
  const fields = {
    request: request.id,
    endpoint: endpoint?.id,
    version: endpoint?.version,
    reason,
    state,
    end: end.framing === 'close' ? 'closed' : 'complete',
    framing: end.framing,
    events: run.events,
    timeLeft: Math.round(request.deadline - end.at),
    ...describeSource(run, attempt, end.at),
  };
  return {
    reason,
    report(outcome) {
      host.metrics.suspiciousEnds.add(1, { reason, outcome });
      host.log(Diagnostics.endSuspicious, { ...fields, outcome });
    },
  };
}

function isProven({ framing }: Pick<AnswerEnd, 'framing'>): boolean {
  return framing === 'length' || framing === 'no body';
}

function findGap<Payload>(run: Run<Payload>): EndReason | undefined {
  const { course, events } = run;
  if (course.resumptions > 0 && events === course.eventsBefore) return 'nothing since resumption';
  return isTakeUp(run) && events === 0 ? 'nothing since take-up' : undefined;
}

function findTrouble(state: EndpointState): EndReason | undefined {
  return match(state)
    .with('sound', () => undefined)
    .with('failing', () => 'endpoint failing' as const)
    .with('leaving', () => 'endpoint leaving' as const)
    .with('gone', () => 'endpoint gone' as const)
    .exhaustive();
}

function findDoubt<Payload>(
  { host: { endHistory, recentEnds }, request: { route, service } }: Run<Payload>,
  endpoint: string,
  end: AnswerEnd,
): EndReason | undefined {
  const { framing } = end;
  if (route.kind !== 'streaming') return undefined;
  if (framing === 'close' && !endHistory.endsByClose(service)) return 'not stated';
  if (endHistory.endsEarly(endpoint)) return 'endpoint ended early';
  // A close is a step of its own, which comes later.
  const isApart = framing !== 'close' && isApartFromEvent(end);
  if (recentEnds.endedAtOnce(endpoint)) {
    // Where all ends come apart, that is no sign of its own.
    const isUnusual = isApart && !endHistory.endsApart(service);
    return isUnusual ? 'endpoint ended several apart' : 'endpoint ended several';
  }
  return isApart ? 'apart from last event' : undefined;
}

/** Returns whether a stream has ended some time after its last event. */
export function isApartFromEvent({ sinceEvent = 0 }: AnswerEnd): boolean {
  return sinceEvent > END_WITH_EVENT_MS;
}

/**
 * Returns the importance of the line of a request's end: it has to survive load if an endpoint has
 * answered and the answer may lack events.
 */
export function getEndImportance<Payload>(run: Run<Payload>): Importance {
  const { source, isSuspicious, resumptions } = run.course;
  const isRest = source !== undefined && isTakeUp(run);
  return isSuspicious || resumptions > 0 || isRest ? 'important' : 'ordinary';
}

function isTakeUp<Payload>({ request }: Run<Payload>): boolean {
  return request.resumes !== undefined || request.resumeAfter !== undefined;
}

/** Returns the log fields of the course of a request's answer; none if a length proves its end. */
export function describeCourse<Payload>(run: Run<Payload>): LogFields {
  const { host, request, framing, course } = run;
  if (!course.source || !framing) return {};
  if (request.route.kind !== 'streaming' && isProven({ framing })) return {};
  return describeSource(run, course.source, host.clock.elapsed());
}

// What the endpoint was told and when, and how long before `at` the last event came, or else bytes.
function describeSource<Payload>(
  { course, events, origin }: Run<Payload>,
  { told, pauses, getActivityTime }: AnswerSource,
  at: Milliseconds,
): LogFields {
  const lastAt = course.lastEventAt ?? getActivityTime();
  const isResumed = course.resumptions > 0;
  return {
    told: Math.floor(told.limit),
    toldAgo: Math.round(at - told.at),
    firstAfter: roundTime(pauses.getFirst()),
    longestPause: roundTime(pauses.getLongest()),
    // An event that waits for a slow caller is read only after the end has arrived.
    lastEventAgo: Math.max(0, Math.round(at - lastAt)),
    resumptions: course.resumptions,
    openFor: getOpenTime(course, at),
    connection: course.connection,
    eventsSinceResumption: isResumed ? events - course.eventsBefore : undefined,
    fromVersion: isResumed ? origin?.version : undefined,
  };
}

function getOpenTime(course: AnswerCourse, at: Milliseconds): Milliseconds | undefined {
  return course.openSince === undefined ? undefined : Math.round(at - course.openSince);
}

function roundTime(time: Milliseconds | undefined): number | undefined {
  return time === undefined ? undefined : Math.round(time);
}
