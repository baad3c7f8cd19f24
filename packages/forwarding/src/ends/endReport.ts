import { match } from 'ts-pattern';
import { Diagnostics } from '@pomeloroad/core';
import type { Importance, LogFields, Milliseconds } from '@pomeloroad/core';
import type { EndOutcome } from './answerCourse';
import type { AnswerEnd, StreamStep } from '../types';
import type { SentAttempt } from '../attempts/sentAttempt';
import type { EndpointState } from '../store/endpointState';
import type { Run } from '../run';

/**
 * Time left at an end below which the time limit may have caused it. It covers a step of an engine,
 * which doesn't begin one that would pass the limit.
 */
const NEAR_LIMIT_MS: Milliseconds = 300;

/** Why an end in order may not be the end of the answer. */
export type EndReason =
  | 'nothing since resumption'
  | 'nothing since take-up'
  | 'near limit'
  | 'endpoint failing'
  | 'endpoint leaving'
  | 'endpoint gone';

/** Counts a resumption of the stream. */
export function noteResumption<Payload>(run: Run<Payload>): void {
  run.course.resumptions += 1;
  run.course.eventsBefore = run.events;
}

/** Notes an end in order of a stream, whose outcome `reportEnd` tells. */
export function noteStreamEnd<Payload>(
  run: Run<Payload>,
  attempt: SentAttempt,
  step: Exclude<StreamStep, { kind: 'events' }>,
): void {
  if (step.kind === 'broken') return;
  run.course.reportEnd = noteEnd(run, attempt, step);
}

/** Reports what was done after the latest end of a stream, unless that is reported. */
export function reportEnd<Payload>(run: Run<Payload>, outcome: EndOutcome): void {
  run.course.reportEnd?.(outcome);
  run.course.reportEnd = undefined;
}

/**
 * Remembers an end in order that no length proves. Returns a function that takes what was done after it,
 * and logs and counts the end if it is suspicious.
 */
export function noteEnd<Payload>(
  run: Run<Payload>,
  attempt: SentAttempt,
  end: AnswerEnd,
): (outcome: EndOutcome) => void {
  if (isProven(end)) return () => undefined;
  const { host, request } = run;
  const { slot, endpoint } = attempt;
  const timeLeft = request.deadline - end.at;
  if (endpoint) {
    const { id, born, version } = endpoint;
    const identity = { name: slot.endpoint.name, id, born, version };
    const { events } = run;
    host.recentEnds.add(identity, { request: request.id, at: end.at, timeLeft, events });
  }
  const state = host.getEndpointState(slot.endpoint.name);
  const reason = findReason(run, state, end);
  if (!reason) return () => undefined;
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
    timeLeft: Math.round(timeLeft),
    ...describeSource(run, attempt, end.at),
  };
  return (outcome) => {
    host.metrics.suspiciousEnds.add(1, { reason, outcome });
    host.log(Diagnostics.endSuspicious, { ...fields, outcome });
  };
}

function isProven({ framing }: Pick<AnswerEnd, 'framing'>): boolean {
  return framing === 'length' || framing === 'no body';
}

function findReason<Payload>(
  run: Run<Payload>,
  state: EndpointState,
  { at }: AnswerEnd,
): EndReason | undefined {
  const { course, request, events } = run;
  if (course.resumptions > 0 && events === course.eventsBefore) return 'nothing since resumption';
  if (isTakeUp(run) && events === 0) return 'nothing since take-up';
  if (request.deadline - at < NEAR_LIMIT_MS) return 'near limit';
  return match(state)
    .with('sound', () => undefined)
    .with('failing', () => 'endpoint failing' as const)
    .with('leaving', () => 'endpoint leaving' as const)
    .with('gone', () => 'endpoint gone' as const)
    .exhaustive();
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
  { told, getActivityTime }: Pick<SentAttempt, 'told' | 'getActivityTime'>,
  at: Milliseconds,
): LogFields {
  const lastAt = course.lastEventAt ?? getActivityTime();
  const isResumed = course.resumptions > 0;
  return {
    told: Math.floor(told.limit),
    toldAgo: Math.round(at - told.at),
    // An event that waits for a slow caller is read only after the end has arrived.
    lastEventAgo: Math.max(0, Math.round(at - lastAt)),
    resumptions: course.resumptions,
    eventsSinceResumption: isResumed ? events - course.eventsBefore : undefined,
    fromVersion: isResumed ? origin?.version : undefined,
  };
}
