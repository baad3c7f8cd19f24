import { Err, Ok } from 'ts-results';
import { match } from 'ts-pattern';
import type { Milliseconds, Outcome, ResponseFraming, Timer } from '@pomeloroad/core';
import type { EscrowError, EscrowReservation } from '@pomeloroad/budgets';
import { sendWithRetries } from './attempts/attempts';
import type { EndpointReply } from './attempts/attempts';
import { isRetryable } from './attempts/patience';
import { recordEnd } from './endRecord';
import type { ForwardHost } from './forwardTypes';
import type { StreamEnd } from './ends/streamEnd';
import { relayStream } from './attempts/relay';
import { addJitter, getRetryAfter } from './retryAdvice';
import { createRun, getSpentTokens, getTimeLeft } from './run';
import type { Run } from './run';
import { getSuspectNames } from './suspects/suspectNames';
import { PROBE_SEND_TIME_MS } from './suspects/suspectProbes';
import { placeTakeUp } from './origins/takeUp';
import type { Caller, ForwardRefusal, ForwardRequest, RefusalKind } from './types';

/** Maximum time that a request waits for tokens that other requests or instances may return. */
const BUDGET_WAIT_MAX_MS = 700;
/** Lowest HTTP status of a server error. */
const SERVER_ERROR_STATUS = 500;

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
