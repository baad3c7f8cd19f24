import { Err, Ok } from 'ts-results';
import { match } from 'ts-pattern';
import { Diagnostics } from '@pomeloroad/core';
import type { Outcome } from '@pomeloroad/core';
import type { RouteError, Slot, SlotResult } from '@pomeloroad/routing';
import { findEndFault } from './answerEnd';
import { getFirstByteTimeout, getAdmissionWait, isRetryable } from './patience';
import { describeSilence, getTimeLeft, takeAttempt, takeRetry } from './run';
import type { Run } from './run';
import type { EndpointRecord, RefusalKind, Reply, SendError } from './types';

/** Number of endpoints that may decline one request before it is refused. */
const DECLINES_MAX = 3;
/** Remaining time below which no attempt is started, because it could not be answered. */
const ATTEMPT_TIME_MIN_MS = 10;
const SERVER_ERROR_STATUS = 500;

/** An endpoint's reply and the slot that is held on the endpoint until it is released. */
export interface EndpointReply {
  reply: Reply;
  slot: Slot;
}

/** Sends the request to one endpoint after another until one answers or no further try is allowed. */
export async function sendWithRetries<Payload>(
  run: Run<Payload>,
): Promise<Outcome<EndpointReply, RefusalKind>> {
  for (;;) {
    if (run.stop.signal.aborted || getTimeLeft(run) < ATTEMPT_TIME_MIN_MS) return Err('timed-out');
    const slot = await acquireSlot(run);
    if (slot.err) run.lack = slot.val.kind;
    if (slot.err) return Err(run.runs > 0 ? 'failed' : toRefusalKind(slot.val));
    const reply = await sendAttempt(run, slot.val);
    if (reply.ok && !shouldRetryReply(run, reply.val))
      return Ok({ reply: reply.val, slot: slot.val });
    if (reply.ok) saveFailure(run, reply.val);
    slot.val.release(reply.ok ? 'failed' : toSlotResult(reply.val));
    run.excluded.add(slot.val.endpoint.name);
    if (reply.err && !shouldRetryError(run, reply.val))
      return Err(toFinalRefusalKind(run, reply.val));
  }
}

function toSlotResult({ kind }: SendError): SlotResult {
  return match(kind)
    .with('broken', () => 'failed' as const)
    .with('unreachable', 'replaced', () => 'unreachable' as const)
    .with('declined', () => 'ok' as const)
    .exhaustive();
}

async function acquireSlot<Payload>(run: Run<Payload>): Promise<Outcome<Slot, RouteError>> {
  const { host, request } = run;
  return host.admission.acquire({
    target: { kind: 'service', service: request.service },
    account: request.account,
    // In routing, a higher number means a higher priority.
    priority: -request.priority,
    patience: getAdmissionWait(request.route, getTimeLeft(run)),
    excluded: run.excluded,
    prefix: request.prefix,
    signal: run.stop.signal,
  });
}

function toRefusalKind(error: RouteError): RefusalKind {
  return match(error)
    .with({ kind: 'none' }, { kind: 'unreachable' }, () => 'no-endpoint' as const)
    .with({ kind: 'busy' }, () => 'overloaded' as const)
    .with({ kind: 'abandoned' }, () => 'timed-out' as const)
    .exhaustive();
}

async function sendAttempt<Payload>(
  run: Run<Payload>,
  slot: Slot,
): Promise<Outcome<Reply, SendError>> {
  const { host, request, stop } = run;
  const endpoint = host.directory.find(slot.endpoint.name);
  // The endpoint may have started to leave while the request waited for the slot.
  if (!endpoint || slot.isLeaving())
    return Err({ kind: 'unreachable', message: 'the endpoint is leaving' });
  const timeLeft = getTimeLeft(run);
  const mayRetry = isRetryable(request.route) && run.runs + 1 < request.route.attempts;
  run.endpoint = endpoint.id;
  run.activeAt = host.clock.elapsed();
  run.version = endpoint.version;
  const sent = await host.protocol.send({
    request,
    endpoint,
    resumeAfter: run.lastEventId,
    timeLeft,
    patience: getFirstByteTimeout(request.route, timeLeft, mayRetry),
    onActivity() {
      slot.recordActivity();
      run.activeAt = host.clock.elapsed();
    },
    signal: stop.signal,
  });
  const reply = await judgeWhole(run, slot, sent);
  if (reply.ok) run.framing = reply.val.head.framing;
  recordAttempt(run, slot, endpoint, reply);
  return reply;
}

async function judgeWhole<Payload>(
  run: Run<Payload>,
  slot: Slot,
  sent: Outcome<Reply, SendError>,
): Promise<Outcome<Reply, SendError>> {
  if (sent.err || sent.val.kind !== 'whole') return sent;
  const message = await findEndFault(run, slot, sent.val.end);
  return message === undefined ? sent : Err({ kind: 'broken', message });
}

function recordAttempt<Payload>(
  run: Run<Payload>,
  slot: Slot,
  endpoint: EndpointRecord,
  reply: Outcome<Reply, SendError>,
): void {
  const { host, request } = run;
  host.metrics.attempts.add(1, { outcome: reply.ok ? 'answered' : reply.val.kind });
  if (reply.ok || reply.val.kind === 'broken') run.runs += 1;
  if (reply.ok) return;
  if (reply.val.kind === 'declined' || reply.val.kind === 'replaced') run.declines += 1;
  if (reply.val.kind === 'replaced') host.directory.markReplaced(endpoint);
  host.log(Diagnostics.attemptFailed, {
    request: request.id,
    endpoint: endpoint.id,
    sequence: endpoint.sequence,
    version: endpoint.version,
    outcome: reply.val.kind,
    message: reply.val.message,
    events: run.events,
    ...describeSilence(run, slot),
  });
}

// A server error may be specific to one endpoint, so another endpoint may answer the request.
function shouldRetryReply<Payload>(run: Run<Payload>, reply: Reply): boolean {
  if (reply.head.status < SERVER_ERROR_STATUS || reply.kind === 'stream') return false;
  return takeAttempt(run);
}

function saveFailure<Payload>(run: Run<Payload>, reply: Reply): void {
  if (reply.kind === 'whole') run.failure = { head: reply.head, body: reply.body };
}

function shouldRetryError<Payload>(run: Run<Payload>, error: SendError): boolean {
  if (run.stop.signal.aborted) return false;
  return match(error.kind)
    .with('unreachable', () => true)
    .with('replaced', () => run.declines < DECLINES_MAX && takeRetry(run))
    .with('declined', () => run.declines < DECLINES_MAX && takeRetry(run))
    .with('broken', () => takeAttempt(run))
    .exhaustive();
}

function toFinalRefusalKind<Payload>(run: Run<Payload>, error: SendError): RefusalKind {
  if (run.stop.signal.aborted) return 'timed-out';
  return error.kind === 'broken' || run.runs > 0 ? 'failed' : 'overloaded';
}
