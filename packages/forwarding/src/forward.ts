import { Err, Ok } from 'ts-results';
import { match } from 'ts-pattern';
import { Diagnostics, withTimeout } from '@pomeloroad/core';
import type { LogFields, Milliseconds, Outcome, Timer } from '@pomeloroad/core';
import type { EscrowReservation } from '@pomeloroad/budgets';
import type { RouteError, Slot, SlotResult } from '@pomeloroad/routing';
import type { ForwardHost } from './forwardTypes';
import { getFirstBytePatience, getQueuePatience, getStallPatience, isRepeatable } from './patience';
import type {
  Caller,
  EndpointRecord,
  EventStream,
  ForwardRefusal,
  ForwardRequest,
  RefusalKind,
  Reply,
  ReplyHead,
  SendError,
  StreamStep,
} from './types';

/** How long a request waits for tokens that other instances may return. */
const BUDGET_PATIENCE_MS = 700;
/** When to come back while no configuration is known. */
const NOT_READY_RETRY_MS = 300;
/** When to come back while no endpoint of the service is known. */
const NO_ENDPOINT_RETRY_MS = 250;
const LEAST_RETRY_MS = 50;
/** Part of a delay over which returning callers are spread. */
const RETRY_SPREAD = 0.4;
/** Endpoints that may decline one request before it is refused. */
const MOST_DECLINES = 3;
/** Below this an attempt has no chance to be answered. */
const LEAST_ATTEMPT_MS = 10;
const SERVER_ERROR = 500;

/** A request under way. */
interface Run<Payload> {
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
  /** Attempts that reached an endpoint or may have. */
  arrivals: number;
  /** Whole events that the caller has been sent. */
  events: number;
  lastEvent: string | undefined;
  /** An endpoint's own failure, kept while another endpoint is tried. */
  failure: { head: ReplyHead; body: Buffer } | undefined;
  endpoint: string | undefined;
  firstByteAt: Milliseconds | undefined;
}

/** An answer from a chosen endpoint. */
interface Answered {
  reply: Reply;
  slot: Slot;
}

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
  if (reservation.err) refuse(run, reservation.val);
  else await runReserved(run, reservation.val);
  deadline.cancel();
}

function createRun<Payload>(
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
    arrivals: 0,
    events: 0,
    lastEvent: request.resumeAfter,
    failure: undefined,
    endpoint: undefined,
    firstByteAt: undefined,
  };
}

function startDeadline<Payload>({ host, request, stop }: Run<Payload>): Timer {
  return host.clock.after(request.deadline - host.clock.elapsed(), () => stop.abort());
}

async function reserve<Payload>(
  run: Run<Payload>,
): Promise<Outcome<EscrowReservation | undefined, RefusalKind>> {
  const { host, request } = run;
  const tokens = request.cost.input + request.cost.output;
  if (tokens === 0) return Ok(undefined);
  const patience = Math.min(BUDGET_PATIENCE_MS, getTimeLeft(run) / 2);
  const reserved = await host.escrow.reserve(request.account, tokens, patience);
  if (reserved.ok) return reserved;
  return Err(reserved.val.kind === 'exhausted' ? 'budget-exhausted' : 'budget-unreachable');
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

// Input counts as soon as the request may have run, output as far as the caller was sent it.
function getSpent<Payload>({ host, request, runs, events }: Run<Payload>): number {
  if (runs === 0) return 0;
  const perEvent = host.findService(request.service)?.tokensPerEvent ?? 1;
  return request.cost.input + Math.min(request.cost.output, events * perEvent);
}

function getTimeLeft<Payload>({ host, request }: Run<Payload>): Milliseconds {
  return request.deadline - host.clock.elapsed();
}

/** Tries endpoints until one answers, or no other may be tried. */
async function findAnswer<Payload>(run: Run<Payload>): Promise<Outcome<Answered, RefusalKind>> {
  for (;;) {
    if (run.stop.signal.aborted || getTimeLeft(run) < LEAST_ATTEMPT_MS) return Err('timed-out');
    const slot = await acquire(run);
    if (slot.err) return Err(run.runs > 0 ? 'failed' : toRefusalKind(slot.val));
    const reply = await attempt(run, slot.val);
    if (reply.ok && !isWorthRepeating(run, reply.val))
      return Ok({ reply: reply.val, slot: slot.val });
    if (reply.ok) keepFailure(run, reply.val);
    slot.val.release(reply.ok ? 'failed' : toSlotResult(reply.val));
    run.excluded.add(slot.val.endpoint.name);
    if (reply.err && !mayFollow(run, reply.val)) return Err(getFinalKind(run, reply.val));
  }
}

function toSlotResult({ kind }: SendError): SlotResult {
  return match(kind)
    .with('broken', () => 'failed' as const)
    .with('unreachable', 'replaced', () => 'unreachable' as const)
    .with('declined', () => 'ok' as const)
    .exhaustive();
}

async function acquire<Payload>(run: Run<Payload>): Promise<Outcome<Slot, RouteError>> {
  const { host, request } = run;
  return host.admission.acquire({
    target: { kind: 'service', service: request.service },
    account: request.account,
    // Routing's higher priority goes first.
    priority: -request.priority,
    patience: getQueuePatience(request.route, getTimeLeft(run)),
    excluded: run.excluded,
    prefix: request.prefix,
    signal: run.stop.signal,
  });
}

function toRefusalKind(error: RouteError): RefusalKind {
  return match(error)
    .with({ kind: 'none' }, () => 'no-endpoint' as const)
    .with({ kind: 'busy' }, () => 'overloaded' as const)
    .with({ kind: 'abandoned' }, () => 'timed-out' as const)
    .exhaustive();
}

async function attempt<Payload>(run: Run<Payload>, slot: Slot): Promise<Outcome<Reply, SendError>> {
  const { host, request, stop } = run;
  const endpoint = host.directory.find(slot.endpoint.name);
  // It may have begun to leave while the request waited.
  if (!endpoint || slot.isLeaving()) return Err({ kind: 'unreachable', message: 'it leaves' });
  const timeLeft = getTimeLeft(run);
  const mayRepeat = isRepeatable(request.route) && run.runs + 1 < request.route.attempts;
  run.endpoint = endpoint.id;
  const reply = await host.protocol.send({
    request,
    endpoint,
    resumeAfter: run.lastEvent,
    timeLeft,
    patience: getFirstBytePatience(request.route, timeLeft, mayRepeat),
    signal: stop.signal,
  });
  if (reply.ok) slot.touch();
  noteAttempt(run, endpoint, reply);
  return reply;
}

function noteAttempt<Payload>(
  run: Run<Payload>,
  endpoint: EndpointRecord,
  reply: Outcome<Reply, SendError>,
): void {
  const { host, request } = run;
  host.metrics.attempts.add(1, { outcome: reply.ok ? 'answered' : reply.val.kind });
  if (reply.ok || reply.val.kind === 'broken') run.runs += 1;
  if (reply.ok || reply.val.kind !== 'unreachable') run.arrivals += 1;
  if (reply.ok) return;
  if (reply.val.kind === 'declined' || reply.val.kind === 'replaced') run.declines += 1;
  if (reply.val.kind === 'replaced') host.directory.noteReplaced(endpoint);
  host.log(Diagnostics.attemptFailed, {
    request: request.id,
    endpoint: endpoint.id,
    sequence: endpoint.sequence,
    outcome: reply.val.kind,
    message: reply.val.message,
    events: run.events,
  });
}

// An endpoint's own failure may be an accident of that endpoint.
function isWorthRepeating<Payload>(run: Run<Payload>, reply: Reply): boolean {
  if (reply.head.status < SERVER_ERROR || reply.kind === 'stream') return false;
  return mayRunAgain(run) && mayArriveAgain(run);
}

function keepFailure<Payload>(run: Run<Payload>, reply: Reply): void {
  if (reply.kind === 'whole') run.failure = { head: reply.head, body: reply.body };
}

function mayFollow<Payload>(run: Run<Payload>, error: SendError): boolean {
  if (run.stop.signal.aborted) return false;
  return match(error.kind)
    .with('unreachable', () => true)
    .with('replaced', () => run.declines < MOST_DECLINES && mayArriveAgain(run))
    .with('declined', () => run.declines < MOST_DECLINES && mayArriveAgain(run))
    .with('broken', () => mayRunAgain(run) && mayArriveAgain(run))
    .exhaustive();
}

function mayRunAgain<Payload>({ request, runs }: Run<Payload>): boolean {
  return isRepeatable(request.route) && runs < request.route.attempts;
}

function mayArriveAgain<Payload>({ host, request }: Run<Payload>): boolean {
  const isAllowed = host.retryBudget.take(request.service);
  if (!isAllowed) host.metrics.repeatsDenied.add();
  return isAllowed;
}

function getFinalKind<Payload>(run: Run<Payload>, error: SendError): RefusalKind {
  if (run.stop.signal.aborted) return 'timed-out';
  return error.kind === 'broken' || run.runs > 0 ? 'failed' : 'overloaded';
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

/** Passes events on, over as many endpoints as it takes; whether the stream came to its end. */
async function relayStream<Payload>(
  run: Run<Payload>,
  first: EventStream,
  firstSlot: Slot,
): Promise<boolean> {
  let stream = first;
  let slot = firstSlot;
  for (;;) {
    const end = await relayEvents(run, stream, slot);
    // Two runs of one request must not overlap.
    await stream.close();
    slot.release(end.kind === 'end' || run.stop.signal.aborted ? 'ok' : 'failed');
    if (end.kind === 'end') return true;
    if (run.stop.signal.aborted || !mayRunAgain(run) || !mayArriveAgain(run)) return false;
    run.excluded.add(slot.endpoint.name);
    const next = await findAnswer(run);
    if (next.err) return false;
    if (next.val.reply.kind !== 'stream') {
      next.val.slot.release('failed');
      return false;
    }
    run.host.log(Diagnostics.requestResumed, {
      request: run.request.id,
      endpoint: next.val.slot.endpoint.name,
      after: run.lastEvent,
    });
    stream = next.val.reply.stream;
    slot = next.val.slot;
  }
}

async function relayEvents<Payload>(
  run: Run<Payload>,
  stream: EventStream,
  slot: Slot,
): Promise<Exclude<StreamStep, { kind: 'events' }>> {
  for (;;) {
    const step = await nextStep(run, stream);
    if (step.kind !== 'events') {
      if (step.kind === 'broken') noteBroken(run, step.message);
      return step;
    }
    slot.touch();
    run.events += step.count;
    run.lastEvent = step.lastId ?? run.lastEvent;
    await run.caller.write(step.data);
  }
}

function nextStep<Payload>(run: Run<Payload>, stream: EventStream): Promise<StreamStep> {
  const patience = getStallPatience(getTimeLeft(run), mayRunAgain(run));
  return withTimeout<StreamStep>(run.host.clock, patience, stream.next(), {
    kind: 'broken',
    message: 'no event in time',
  });
}

function noteBroken<Payload>({ host, request, endpoint, events }: Run<Payload>, message: string) {
  host.log(Diagnostics.attemptFailed, {
    request: request.id,
    endpoint,
    outcome: 'broken',
    message,
    events,
  });
}

function refuse<Payload>(run: Run<Payload>, kind: RefusalKind): void {
  // What an endpoint said goes before words of our own.
  if (run.failure) {
    run.caller.answer(run.failure.head, run.failure.body);
    noteEnd(run, 'answered', { status: run.failure.head.status });
    return;
  }
  const hasRun = run.runs > 0;
  const retryAfter = hasRun ? undefined : getRetryAfter(run, kind);
  const refusal: ForwardRefusal = { kind, hasRun, retryAfter };
  run.caller.refuse(refusal);
  noteEnd(run, 'refused', { kind, hasRun, retryAfter });
}

function getRetryAfter<Payload>(run: Run<Payload>, kind: RefusalKind): Milliseconds | undefined {
  return match(kind)
    .with('budget-unreachable', () => spread(run, run.host.escrow.getRetryDelay()))
    .with('not-ready', () => NOT_READY_RETRY_MS)
    .with('no-endpoint', () => NO_ENDPOINT_RETRY_MS)
    .with('overloaded', () => Math.max(LEAST_RETRY_MS, run.request.route.objective / 2))
    .with('timed-out', () => LEAST_RETRY_MS)
    .with('budget-exhausted', 'failed', () => undefined)
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
