import { Ok } from 'ts-results';
import { match } from 'ts-pattern';
import { Diagnostics } from '@pomeloroad/core';
import type { LogFields, Milliseconds, Outcome, Timer } from '@pomeloroad/core';
import type { EscrowError, EscrowReservation } from '@pomeloroad/budgets';
import { findAnswer } from './attempts';
import type { Answered } from './attempts';
import type { ForwardHost } from './forwardTypes';
import { relayStream } from './relay';
import { createRun, getSpent, getTimeLeft } from './run';
import type { Run } from './run';
import type { Caller, ForwardRefusal, ForwardRequest, RefusalKind } from './types';

/** How long a request waits for tokens that other instances may return. */
const BUDGET_PATIENCE_MS = 700;
/** When to come back while no configuration is known. */
export const NOT_READY_RETRY_MS: Milliseconds = 250;
/** When to come back while no endpoint of the service is known. */
const NO_ENDPOINT_RETRY_MS = 250;
const LEAST_RETRY_MS = 50;
/** Part of a delay over which returning callers are spread. */
const RETRY_SPREAD = 0.4;
const SERVER_ERROR = 500;

/** Forwards a request and answers its caller; resolves when both are done. */
export async function forward<Payload>(
  host: ForwardHost<Payload>,
  request: ForwardRequest<Payload>,
  caller: Caller,
): Promise<void> {
  const run = createRun(host, request, caller);
  const deadline = startDeadline(run);
  caller.signal.addEventListener('abort', () => run.stop.abort(), { once: true });
  host.retryBudget.noteRequest(request.service);
  await host.confirmBeliefs();
  const reservation = await reserve(run);
  if (reservation.err) refuseForBudget(run, reservation.val);
  else await runReserved(run, reservation.val);
  deadline.cancel();
}

function startDeadline<Payload>({ host, request, stop }: Run<Payload>): Timer {
  return host.clock.after(request.deadline - host.clock.elapsed(), () => stop.abort());
}

async function reserve<Payload>(
  run: Run<Payload>,
): Promise<Outcome<EscrowReservation | undefined, EscrowError>> {
  const { host, request } = run;
  const tokens = request.cost.input + request.cost.output;
  if (tokens === 0) return Ok(undefined);
  const patience = Math.min(BUDGET_PATIENCE_MS, getTimeLeft(run) / 2);
  return host.escrow.reserve(request.account, tokens, patience);
}

function refuseForBudget<Payload>(run: Run<Payload>, error: EscrowError): void {
  match(error)
    .with({ kind: 'exhausted' }, () => refuse(run, 'budget-exhausted'))
    .with({ kind: 'unreachable' }, ({ retryAfter }) =>
      refuse(run, 'budget-unreachable', spread(run, retryAfter)),
    )
    .exhaustive();
}

async function runReserved<Payload>(
  run: Run<Payload>,
  reservation: EscrowReservation | undefined,
): Promise<void> {
  const answered = await findAnswer(run);
  if (answered.err) refuse(run, answered.val);
  else await deliver(run, answered.val);
  reservation?.settle(getSpent(run));
}

async function deliver<Payload>(run: Run<Payload>, { reply, slot }: Answered): Promise<void> {
  run.firstByteAt = run.host.clock.elapsed();
  if (reply.kind === 'whole') {
    run.caller.answer(reply.head, reply.body);
    slot.release(reply.head.status >= SERVER_ERROR ? 'failed' : 'ok');
    noteEnd(run, 'answered', { status: reply.head.status });
    return;
  }
  run.caller.begin(reply.head);
  const isWhole = await relayStream(run, reply.stream, slot);
  if (isWhole) run.caller.end();
  else run.caller.cut();
  noteEnd(run, isWhole ? 'answered' : 'cut', { status: reply.head.status });
}

function refuse<Payload>(
  run: Run<Payload>,
  kind: RefusalKind,
  delay: Milliseconds | undefined = getRetryDelay(run, kind),
): void {
  // What an endpoint said goes before words of our own.
  if (run.failure) {
    run.caller.answer(run.failure.head, run.failure.body);
    noteEnd(run, 'answered', { status: run.failure.head.status });
    return;
  }
  const hasRun = run.runs > 0;
  const retryAfter = hasRun ? undefined : delay;
  const refusal: ForwardRefusal = { kind, hasRun, retryAfter };
  run.caller.refuse(refusal);
  noteEnd(run, 'refused', { kind, hasRun, retryAfter });
}

function getRetryDelay<Payload>(run: Run<Payload>, kind: RefusalKind): Milliseconds | undefined {
  return match(kind)
    .with('not-ready', () => NOT_READY_RETRY_MS)
    .with('no-endpoint', () => NO_ENDPOINT_RETRY_MS)
    .with('overloaded', () => Math.max(LEAST_RETRY_MS, run.request.route.objective / 2))
    .with('timed-out', () => LEAST_RETRY_MS)
    .with('budget-exhausted', 'budget-unreachable', 'failed', () => undefined)
    .exhaustive();
}

// Callers that were refused at the same moment should not come back at the same moment.
function spread<Payload>({ host }: Run<Payload>, delay: Milliseconds): Milliseconds {
  return Math.ceil(delay * (1 + RETRY_SPREAD * host.random.fraction()));
}

function noteEnd<Payload>(
  run: Run<Payload>,
  outcome: 'answered' | 'refused' | 'cut',
  fields: LogFields,
): void {
  const { host, request, caller } = run;
  const took = host.clock.elapsed() - request.startedAt;
  host.metrics.requests.add(1, { outcome, route: request.route.kind });
  host.metrics.duration.record(took);
  if (run.firstByteAt !== undefined) {
    host.metrics.firstByte.record(run.firstByteAt - request.startedAt);
  }
  const event = match(outcome)
    .with('answered', () => Diagnostics.requestForwarded)
    .with('refused', () => Diagnostics.requestRefused)
    .with('cut', () => Diagnostics.requestFailed)
    .exhaustive();
  host.log(event, {
    request: request.id,
    route: request.route.name,
    account: request.account,
    endpoint: run.endpoint,
    configuration: request.configurationVersion,
    runs: run.runs,
    declines: run.declines,
    events: run.events,
    spent: getSpent(run),
    took: Math.round(took),
    hasLeft: caller.signal.aborted,
    ...fields,
  });
}
