import { Err } from 'ts-results';
import { match } from 'ts-pattern';
import { Diagnostics } from '@pomeloroad/core';
import type { LogFields, Milliseconds } from '@pomeloroad/core';
import type { Slot, SlotResult } from '@pomeloroad/routing';
import { chooseCopyHolder } from '../copies/copyHolder';
import { createCopyPoint } from '../copies/copyPoint';
import { findEndFault } from '../ends/answerEnd';
import { createAnswerPauses } from '../ends/answerPauses';
import { rememberEnd, reviewEnd } from '../ends/endReport';
import { getTimeLeft, isWithheld } from '../run';
import type { Run } from '../run';
import { applyStatements } from './statements';
import { isRetryable } from './patience';
import { createConfirmationPoint, createResumePoint } from './resumePoint';
import type { ResumePoint } from './resumePoint';
import type { AttemptReply, SentAttempt } from './sentAttempt';
import type {
  EndpointRecord,
  IncarnationNeed,
  Reply,
  RunCopy,
  SendError,
  WholeAnswer,
} from '../types';

const SERVER_ERROR_STATUS = 500;
/**
 * Time after the request's deadline until which an endpoint may work. An endpoint that keeps to a time
 * limit may end its answer in order somewhat before it, so its limit comes after the deadline, at
 * which the instance cuts the answer and closes the connection. Platforms allow half a second.
 */
const ENDPOINT_LIMIT_MARGIN_MS: Milliseconds = 250;

/**
 * Sends the request to the endpoint of the slot, which goes on from the copy if there is one. Counts the attempt as
 * pending until its reply.
 */
export function sendAttempt<Payload>(
  run: Run<Payload>,
  slot: Slot,
  continued?: RunCopy,
): SentAttempt {
  const { host, request, stop, question } = run;
  const ending = new AbortController();
  let onConnected: () => void;
  const connected = new Promise<void>((resolve) => {
    onConnected = resolve;
  });
  const resumePoint = continued ? createCopyPoint(run) : getResumePoint(run);
  const copy = continued ? undefined : chooseCopyHolder(run, slot.endpoint);
  let activeAt = host.clock.elapsed();
  const told = { limit: getTimeLeft(run) + ENDPOINT_LIMIT_MARGIN_MS, at: activeAt };
  const pauses = createAnswerPauses(host);

  async function send(endpoint: EndpointRecord): Promise<AttemptReply> {
    run.pending += 1;
    const sent = await host.protocol.send({
      request,
      endpoint,
      need: getIncarnationNeed(run, copy, continued),
      resumePoint,
      copyTo: copy,
      continued,
      timeLimit: told.limit,
      onConnected,
      onActivity() {
        slot.recordActivity();
        activeAt = host.clock.elapsed();
      },
      onProgress() {
        const pause = pauses.note();
        const isStep = pause !== undefined && request.route.kind === 'streaming';
        if (isStep) host.pauseHistory.note(slot.endpoint.name, request.service, pause);
      },
      onReadAgain: pauses.restart,
      onStatements: (statements) =>
        applyStatements(host, slot.endpoint.name, endpoint, statements, told.at),
      signal: AbortSignal.any([stop.signal, question.signal, ending.signal]),
    });
    const reply = await judgeWhole(run, attempt, sent);
    run.pending -= 1;
    countAttempt(run, endpoint, reply, ending.signal.aborted);
    if (reply.err && !ending.signal.aborted) logFailure(run, attempt, { ...reply.val });
    return reply;
  }

  async function start(): Promise<AttemptReply> {
    if (isBlocked) return Err({ kind: 'withheld', message: 'a suspect is blocked' });
    if (endpoint) return send(endpoint);
    return Err({ kind: 'unreachable', message: 'the endpoint is leaving' });
  }

  // The endpoint may have started to leave while the request waited for the slot.
  const listed = host.directory.find(slot.endpoint.name);
  const endpoint = slot.isLeaving() ? undefined : listed;
  const isBlocked = isWithheld(run);
  const attempt: SentAttempt = {
    slot,
    endpoint: isBlocked ? undefined : endpoint,
    resumePoint,
    copy,
    told,
    pauses,
    reply: start(),
    connected,
    getActivityTime: () => activeAt,
    end() {
      ending.abort();
      return attempt.reply;
    },
  };
  run.latest = attempt;
  return attempt;
}

// What two versions write does not fit together, so the version of whoever begins a stream that may go on has to be known.
function getIncarnationNeed<Payload>(
  run: Run<Payload>,
  copy: RunCopy | undefined,
  continued: RunCopy | undefined,
): IncarnationNeed {
  const { request, origin, lastEventId } = run;
  const { route, resumes } = request;
  if (continued) return 'required';
  if (route.kind !== 'streaming' || !isRetryable(route)) return copy ? 'preferred' : 'any';
  const goesOn = origin !== undefined || lastEventId !== undefined || resumes !== undefined;
  return goesOn ? 'required' : 'preferred';
}

// Of what may not be resumed, the id is the endpoint's matter.
function getResumePoint<Payload>(run: Run<Payload>): ResumePoint {
  const { request, confirmer, lastEventId, unnumbered } = run;
  const { route } = request;
  if (confirmer !== undefined) return createConfirmationPoint(lastEventId);
  const isResumable = route.kind === 'streaming' && isRetryable(route);
  if (!isResumable) return { after: lastEventId, repeated: undefined };
  return createResumePoint(lastEventId, unnumbered);
}

async function judgeWhole<Payload>(
  run: Run<Payload>,
  attempt: SentAttempt,
  sent: AttemptReply,
): Promise<AttemptReply> {
  if (sent.err || sent.val.kind !== 'whole') return sent;
  rememberEnd(run, attempt, sent.val.end);
  const fault = await findEndFault(run, attempt, sent.val.end);
  const { reason, report } = reviewEnd(run, attempt, sent.val.end);
  const message = fault ?? (reason === 'near limit' ? 'ended short of its time limit' : undefined);
  if (message !== undefined) {
    report('disbelieved');
    return Err({ kind: 'broken', message });
  }
  if (reason === undefined || !isRetryable(run.request.route) || isServerError(sent.val)) {
    report('believed');
    return sent;
  }
  report('asked elsewhere');
  const { head, body } = sent.val;
  return Err({ kind: 'doubted', message: reason, answer: { head, body } });
}

function countAttempt<Payload>(
  run: Run<Payload>,
  endpoint: EndpointRecord,
  reply: AttemptReply,
  isEnded: boolean,
): void {
  const { host } = run;
  const failure = reply.err ? reply.val.kind : undefined;
  const outcome = failure && isEnded ? 'ended' : (failure ?? 'answered');
  host.metrics.attempts.add(1, { outcome });
  if (mayHaveRun(reply)) run.runs += 1;
  if (failure === 'declined' || failure === 'replaced') run.declines += 1;
  if (failure === 'replaced') host.directory.markReplaced(endpoint, 'other');
  if (isPast(reply)) host.directory.markReplaced(endpoint, 'later');
}

function isPast(reply: AttemptReply): boolean {
  return reply.err && reply.val.kind === 'unreachable' && reply.val.isReplaced === true;
}

/** Returns whether the endpoint may have run the request. */
export function mayHaveRun(reply: AttemptReply): boolean {
  return reply.ok || reply.val.kind === 'broken' || reply.val.kind === 'doubted';
}

/** Logs that an attempt failed. */
export function logFailure<Payload>(
  run: Run<Payload>,
  attempt: SentAttempt,
  { kind, message }: SendError,
): void {
  run.host.log(Diagnostics.attemptFailed, {
    ...describeAttempt(run, attempt),
    outcome: kind,
    message,
  });
}

/**
 * Returns the log fields of an attempt. They tell a silent answer from a silent endpoint: milliseconds
 * since bytes arrived of this answer, and since bytes arrived of any answer of its endpoint.
 */
export function describeAttempt<Payload>(
  { host, request, framing, events }: Run<Payload>,
  { slot, endpoint, getActivityTime }: SentAttempt,
): LogFields {
  const now = host.clock.elapsed();
  return {
    request: request.id,
    endpoint: endpoint?.id,
    sequence: endpoint?.sequence,
    ...describeIncarnation(host, endpoint),
    framing,
    events,
    silent: Math.round(now - getActivityTime()),
    endpointSilent: Math.round(now - slot.getActivityTime()),
  };
}

/** Returns the log fields that tell the endpoint's incarnations apart, with the age of what is known of this one. */
export function describeIncarnation<Payload>(
  { directory }: Run<Payload>['host'],
  endpoint: EndpointRecord | undefined,
): LogFields {
  if (!endpoint) return {};
  const { born, version } = endpoint;
  const known = directory.getKnownTime(endpoint);
  return { born, version, known: known === undefined ? undefined : Math.round(known) };
}

/** Returns whether the endpoint answered with an error of its own, so that another one may do better. */
export function isServerError(reply: Reply): boolean {
  return reply.head.status >= SERVER_ERROR_STATUS && reply.kind === 'whole';
}

/** Releases the slot of an attempt that did not bring the answer, and excludes its endpoint. */
export function leaveEndpoint<Payload>(
  run: Run<Payload>,
  { slot }: SentAttempt,
  reply: AttemptReply,
): void {
  if (reply.ok && reply.val.kind === 'whole' && isServerError(reply.val)) {
    run.failure = { head: reply.val.head, body: reply.val.body };
  }
  if (reply.err && reply.val.kind === 'doubted')
    run.doubted = chooseLonger(run.doubted, reply.val.answer);
  slot.release(reply.ok ? 'failed' : toSlotResult(run, reply.val));
  run.excluded.add(slot.endpoint.name);
}

// Of two answers that may lack their ends the longer one lacks less.
function chooseLonger(known: WholeAnswer | undefined, next: WholeAnswer): WholeAnswer {
  return known && known.body.length > next.body.length ? known : next;
}

// A connection that nobody waits for any more may still open in time.
function toSlotResult<Payload>(run: Run<Payload>, error: SendError): SlotResult {
  const { stop, question } = run;
  const isLeft = stop.signal.aborted || question.signal.aborted;
  return match(error)
    .with({ kind: 'broken' }, () => (question.signal.aborted ? toAskedResult(run) : 'failed'))
    .with({ kind: 'unreachable' }, ({ isReached }) => {
      if (isLeft) return 'unused';
      return isReached ? 'silent' : 'unreachable';
    })
    .with({ kind: 'replaced' }, () => 'unreachable' as const)
    .with({ kind: 'declined' }, { kind: 'doubted' }, () => 'ok' as const)
    .with({ kind: 'withheld' }, { kind: 'unsendable' }, () => 'unused' as const)
    .exhaustive();
}

// The question about a doubted answer is given up for its caller's sake, however sound the endpoint is that was asked.
function toAskedResult<Payload>({ doubted }: Run<Payload>): SlotResult {
  return doubted ? 'unused' : 'silent';
}
