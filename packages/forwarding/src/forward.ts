import { Err, Ok } from 'ts-results';
import { match } from 'ts-pattern';
import { Diagnostics } from '@pomeloroad/core';
import type { LogFields, Milliseconds, Outcome, ResponseFraming, Timer } from '@pomeloroad/core';
import type { EscrowError, EscrowReservation } from '@pomeloroad/budgets';
import { sendWithRetries } from './attempts/attempts';
import type { EndpointReply } from './attempts/attempts';
import { isRetryable } from './attempts/patience';
import type { EndOutcome } from './ends/answerCourse';
import type { ForwardHost } from './forwardTypes';
import { describeCourse, getEndImportance, reportEnd } from './ends/endReport';
import type { StreamEnd } from './ends/streamEnd';
import { relayStream } from './attempts/relay';
import { createRun, getSpentTokens, getTimeLeft } from './run';
import type { Run } from './run';
import { getSuspectNames } from './suspects/suspectNames';
import { PROBE_SEND_TIME_MS } from './suspects/suspectProbes';
import { placeTakeUp } from './origins/takeUp';
import type { Caller, ForwardRefusal, ForwardRequest, RefusalKind } from './types';

/** Maximum time that a request waits for tokens that other requests or instances may return. */
const BUDGET_WAIT_MAX_MS = 700;
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
/** Lowest HTTP status of a server error. */
const SERVER_ERROR_STATUS = 500;

/** How a request has ended. */
type RunOutcome = 'answered' | 'refused' | 'cut';

/**
 * Reserves a request's tokens, forwards it to an endpoint and sends its caller the answer or a
 * refusal; then settles the tokens that it used. Resolves when all of that is done.
 */
export async function forward<Payload>(
  host: ForwardHost<Payload>,
  request: ForwardRequest<Payload>,
  caller: Caller,
): Promise<void> {
  const run = createRun(host, request, caller);
  const deadlineTimer = startDeadlineTimer(run);
  caller.signal.addEventListener('abort', () => run.stop.abort(), { once: true });
  host.retryBudget.countRequest(request.service);
  // After a pause of the process, its view of the store is outdated until the store is read again.
  await host.waitForRefresh();
  const admitted = await admit(run);
  if (admitted.err) refuse(run, admitted.val);
  else await forwardAdmitted(run);
  deadlineTimer.cancel();
}

async function admit<Payload>(run: Run<Payload>): Promise<Outcome<void, RefusalKind>> {
  const admittance = await run.host.suspects.admit(getSuspectNames(run.request));
  return match(admittance)
    .with({ kind: 'allowed' }, () => Ok(undefined))
    .with({ kind: 'probe' }, ({ names }) => {
      run.probedSuspects = names;
      run.probesUntil = run.host.clock.elapsed() + PROBE_SEND_TIME_MS;
      return Ok(undefined);
    })
    .with({ kind: 'blocked' }, ({ name }) => {
      run.blockedSuspect = name;
      return Err('blocked' as const);
    })
    .with({ kind: 'unknown' }, () => Err('not-ready' as const))
    .exhaustive();
}

async function forwardAdmitted<Payload>(run: Run<Payload>): Promise<void> {
  const placed = await placeTakeUp(run);
  if (placed.err) refuse(run, placed.val);
  else await forwardPlaced(run);
  const { probedSuspects, runs, host } = run;
  if (probedSuspects.length > 0 && runs === 0) host.suspects.giveBack(probedSuspects);
}

async function forwardPlaced<Payload>(run: Run<Payload>): Promise<void> {
  const reservation = await reserveTokens(run);
  if (reservation.err) refuseForBudget(run, reservation.val);
  else await forwardReserved(run, reservation.val);
}

function startDeadlineTimer<Payload>({ host, request, stop }: Run<Payload>): Timer {
  return host.clock.after(request.deadline - host.clock.elapsed(), () => stop.abort());
}

async function reserveTokens<Payload>(
  run: Run<Payload>,
): Promise<Outcome<EscrowReservation | undefined, EscrowError>> {
  const { host, request } = run;
  const tokens = request.cost.input + request.cost.output;
  if (tokens === 0) return Ok(undefined);
  // Leaves at least half of the remaining time for sending the request to an endpoint.
  const maxWait = Math.min(BUDGET_WAIT_MAX_MS, getTimeLeft(run) / 2);
  return host.escrow.reserve(request.account, tokens, maxWait);
}

function refuseForBudget<Payload>(run: Run<Payload>, error: EscrowError): void {
  match(error)
    .with({ kind: 'exhausted' }, () => refuse(run, 'budget-exhausted'))
    .with({ kind: 'unreachable' }, ({ retryAfter }) =>
      refuse(run, 'budget-unreachable', addJitter(run, retryAfter)),
    )
    .exhaustive();
}

async function forwardReserved<Payload>(
  run: Run<Payload>,
  reservation: EscrowReservation | undefined,
): Promise<void> {
  try {
    const reply = await sendWithRetries(run);
    if (reply.err) refuse(run, reply.val);
    else await deliverReply(run, reply.val);
  } finally {
    reservation?.settle(getSpentTokens(run));
  }
}

async function deliverReply<Payload>(
  run: Run<Payload>,
  { reply, attempt }: EndpointReply,
): Promise<void> {
  run.firstByteAt = run.host.clock.elapsed();
  run.isAnswered = true;
  if (reply.kind === 'whole') {
    run.caller.answer(reply.head, reply.body);
    attempt.slot.release(reply.head.status >= SERVER_ERROR_STATUS ? 'failed' : 'ok');
    recordEnd(run, 'answered', { status: reply.head.status });
    return;
  }
  run.caller.begin(reply.head);
  const end = await relayStream(run, reply.stream, attempt);
  const mayEnd = countsAsWhole(run, end, reply.head.framing);
  if (mayEnd) run.caller.end();
  else run.caller.cut();
  recordEnd(run, mayEnd ? 'answered' : 'cut', { status: reply.head.status, end });
}

// To the caller each end states that the answer is complete; a close counts only where nothing else can.
function countsAsWhole<Payload>(
  { request: { route } }: Run<Payload>,
  end: StreamEnd,
  framing: ResponseFraming,
): boolean {
  return match(end)
    .with('complete', 'unconfirmed', () => true)
    .with('closed', () => framing === 'close' && !isRetryable(route))
    .with('doubtful', 'broken', () => false)
    .exhaustive();
}

function refuse<Payload>(
  run: Run<Payload>,
  kind: RefusalKind,
  delay: Milliseconds | undefined = getRetryAfter(run, kind),
): void {
  // An answer that an endpoint gave is sent instead of a refusal, also one whose end is doubted, or a server error.
  const answer = run.doubted ?? run.failure;
  if (answer) {
    run.isAnswered = true;
    run.caller.answer(answer.head, answer.body);
    const end = run.doubted ? 'unconfirmed' : undefined;
    recordEnd(run, 'answered', { status: answer.head.status, end });
    return;
  }
  const hasRun = run.runs > 0;
  // Advises a retry only if no endpoint may have run the request.
  const retryAfter = hasRun ? undefined : delay;
  const refusal: ForwardRefusal = { kind, hasRun, retryAfter };
  run.caller.refuse(refusal);
  recordEnd(run, 'refused', { kind, hasRun, retryAfter });
}

function getRetryAfter<Payload>(run: Run<Payload>, kind: RefusalKind): Milliseconds | undefined {
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

// Adds jitter so that callers refused at the same time do not retry at the same time.
function addJitter<Payload>({ host }: Run<Payload>, delay: Milliseconds): Milliseconds {
  return Math.ceil(delay * (1 + RETRY_AFTER_JITTER_RATIO * host.random.fraction()));
}

// Updates the metrics and writes the log line of a request that has ended.
function recordEnd<Payload>(run: Run<Payload>, outcome: RunOutcome, fields: LogFields): void {
  const { host, request, caller } = run;
  const duration = host.clock.elapsed() - request.startedAt;
  host.metrics.requests.add(1, { outcome, route: request.route.kind });
  host.metrics.duration.record(duration);
  if (run.firstByteAt !== undefined) {
    host.metrics.firstByte.record(run.firstByteAt - request.startedAt);
  }
  const diagnostic = match(outcome)
    .with('answered', () => Diagnostics.requestForwarded)
    .with('refused', () => Diagnostics.requestRefused)
    .with('cut', () => Diagnostics.requestFailed)
    .exhaustive();
  reportEnd(run, toEndOutcome(outcome));
  const details = {
    request: request.id,
    route: request.route.name,
    account: request.account,
    endpoint: run.endpoint,
    version: run.version,
    resumes: request.resumes,
    after: request.resumeAfter,
    configuration: request.configurationVersion,
    configurationAtEnd: host.getConfigurationVersion(),
    runs: run.runs,
    declines: run.declines,
    events: run.events,
    spent: getSpentTokens(run),
    lack: run.lack,
    blockedSuspect: run.blockedSuspect,
    framing: run.framing,
    timeLeft: Math.round(getTimeLeft(run)),
    took: Math.round(duration),
    hasLeft: caller.signal.aborted,
    ...describeCourse(run),
    ...fields,
  };
  host.log(diagnostic, details, getEndImportance(run));
}

function toEndOutcome(outcome: RunOutcome): EndOutcome {
  return match(outcome)
    .with('answered', () => 'passed on' as const)
    .with('refused', 'cut', (same) => same)
    .exhaustive();
}
