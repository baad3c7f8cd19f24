import { Err, Ok } from 'ts-results';
import { match } from 'ts-pattern';
import type { Outcome, Timer } from '@pomeloroad/core';
import type { RouteError } from '@pomeloroad/routing';
import { isServerError, leaveEndpoint, sendAttempt } from './attempt';
import type { AttemptReply, SentAttempt } from './sentAttempt';
import { awaitLapsedEndpoints } from './lapsedEndpoints';
import { createLateEndpoints } from './lateEndpoints';
import type { LateEndpoints } from './lateEndpoints';
import { getFirstByteThreshold } from './patience';
import { awaitStep } from './replacement';
import { renewWaitingProbe } from './waitingProbe';
import { getTimeLeft, mayBeDeclined, takeAttempt, takeRetry } from '../run';
import type { Run } from '../run';
import type { RefusalKind, Reply, SendError } from '../types';

/** Remaining time below which no attempt is started, because it could not be answered. */
const ATTEMPT_TIME_MIN_MS = 10;

/** An endpoint's reply and the attempt that brought it, whose slot is held until it is released. */
export interface EndpointReply {
  reply: Reply;
  attempt: SentAttempt;
}

/**
 * Sends the request to one endpoint after another until one answers or no further try is allowed.
 * Starts with `pending` if that attempt was sent already.
 */
export async function sendWithRetries<Payload>(
  run: Run<Payload>,
  pending?: SentAttempt,
): Promise<Outcome<EndpointReply, RefusalKind>> {
  const limit = createQuestionLimit(run);
  const result = await sendInTurn(run, limit, pending);
  limit.cancel();
  return result;
}

/** Limits the time for which another endpoint is asked about a doubted answer. */
interface QuestionLimit {
  /** Gives the question up after a while, counted from the first call. */
  start(): void;
  cancel(): void;
}

// A doubted answer is ready, so the question about it must not make it late.
function createQuestionLimit<Payload>(run: Run<Payload>): QuestionLimit {
  const { question, host, request } = run;
  let timer: Timer | undefined;
  return {
    start() {
      const patience = getFirstByteThreshold(request.route, Math.max(0, getTimeLeft(run)));
      timer ??= host.clock.after(patience, () => question.abort());
    },
    cancel: () => timer?.cancel(),
  };
}

async function sendInTurn<Payload>(
  run: Run<Payload>,
  limit: QuestionLimit,
  pending: SentAttempt | undefined,
): Promise<Outcome<EndpointReply, RefusalKind>> {
  const late = createLateEndpoints(run);
  let next = pending;
  for (;;) {
    const started = next ? Ok(next) : await startAttempt(run, late);
    if (started.err) return started;
    const { attempt, reply } = await finishAttempt(run, started.val);
    const isRetried = reply.ok && shouldRetryReply(run, reply.val);
    if (reply.ok && !isRetried && !isWorseThanDoubted(run, reply.val)) {
      run.framing = reply.val.head.framing;
      run.course.source = attempt;
      return Ok({ reply: reply.val, attempt });
    }
    leaveEndpoint(run, attempt, reply);
    late.note(attempt, reply);
    if (reply.err && reply.val.kind === 'doubted') limit.start();
    if (reply.ok && !isRetried) return Err('failed');
    if (reply.err && !shouldRetryError(run, reply.val))
      return Err(toFinalRefusalKind(run, reply.val));
    next = undefined;
  }
}

async function startAttempt<Payload>(
  run: Run<Payload>,
  late: LateEndpoints,
): Promise<Outcome<SentAttempt, RefusalKind>> {
  if (run.stop.signal.aborted || getTimeLeft(run) < ATTEMPT_TIME_MIN_MS) return Err('timed-out');
  const slot = await awaitLapsedEndpoints(run, late.acquireSlot);
  if (slot.err) return Err(run.runs > 0 ? 'failed' : toRefusalKind(slot.val));
  await renewWaitingProbe(run);
  return Ok(sendAttempt(run, slot.val));
}

function toRefusalKind(error: RouteError): RefusalKind {
  return match(error)
    .with({ kind: 'none' }, { kind: 'unreachable' }, () => 'no-endpoint' as const)
    .with({ kind: 'busy' }, () => 'overloaded' as const)
    .with({ kind: 'abandoned' }, () => 'timed-out' as const)
    .exhaustive();
}

// Waits for the reply of the attempt, or of the last one that has taken its place.
async function finishAttempt<Payload>(
  run: Run<Payload>,
  first: SentAttempt,
): Promise<{ attempt: SentAttempt; reply: AttemptReply }> {
  let attempt = first;
  for (;;) {
    const progress = await awaitReply(run, attempt);
    if (progress.kind === 'step') {
      run.endpoint = attempt.endpoint?.id ?? run.endpoint;
      run.version = attempt.endpoint ? attempt.endpoint.version : run.version;
      return { attempt, reply: progress.step };
    }
    const reply = await attempt.end();
    if (!progress.failure) attempt.slot.release('silent');
    leaveEndpoint(run, attempt, reply);
    attempt = progress.by;
  }
}

function awaitReply<Payload>(run: Run<Payload>, attempt: SentAttempt) {
  return awaitStep<Payload, AttemptReply>(run, {
    attempt,
    step: attempt.reply,
    hasFailed: (reply) => reply.err || isServerError(reply.val),
    threshold: getFirstByteThreshold(run.request.route, getTimeLeft(run)),
    silentSince: attempt.getActivityTime,
  });
}

// A server error may be specific to one endpoint, so another endpoint may answer the request.
function shouldRetryReply<Payload>(run: Run<Payload>, reply: Reply): boolean {
  return isServerError(reply) && !isQuestionOver(run) && takeAttempt(run);
}

// An endpoint that fails tells nothing of the end of an answer that another one gave.
function isWorseThanDoubted<Payload>({ doubted }: Run<Payload>, reply: Reply): boolean {
  return doubted !== undefined && isServerError(reply);
}

function shouldRetryError<Payload>(run: Run<Payload>, error: SendError): boolean {
  if (run.stop.signal.aborted || isQuestionOver(run)) return false;
  return match(error.kind)
    .with('unreachable', () => true)
    .with('replaced', 'declined', () => mayBeDeclined(run) && takeRetry(run))
    .with('broken', 'doubted', () => takeAttempt(run))
    .with('withheld', 'unsendable', () => false)
    .exhaustive();
}

// A confirmer can't be replaced by another endpoint, and a question that was given up is not asked again at once.
function isQuestionOver<Payload>({ question, confirmer }: Run<Payload>): boolean {
  return question.signal.aborted || confirmer !== undefined;
}

function toFinalRefusalKind<Payload>(run: Run<Payload>, error: SendError): RefusalKind {
  if (run.stop.signal.aborted) return 'timed-out';
  if (run.runs > 0) return 'failed';
  return match(error.kind)
    .with('broken', 'doubted', 'unsendable', () => 'failed' as const)
    .with('withheld', () => 'blocked' as const)
    .with('unreachable', 'replaced', 'declined', () => 'overloaded' as const)
    .exhaustive();
}
