import { Err, Ok } from 'ts-results';
import { match } from 'ts-pattern';
import { Diagnostics } from '@pomeloroad/core';
import type { Outcome } from '@pomeloroad/core';
import type { RouteError, Slot, SlotResult } from '@pomeloroad/routing';
import { getFirstBytePatience, getQueuePatience, isRepeatable } from './patience';
import { getTimeLeft, mayArriveAgain, mayRunAgain } from './run';
import type { Run } from './run';
import type { EndpointRecord, RefusalKind, Reply, SendError } from './types';

/** Endpoints that may decline one request before it is refused. */
const MOST_DECLINES = 3;
/** Below this an attempt has no chance to be answered. */
const LEAST_ATTEMPT_MS = 10;
const SERVER_ERROR = 500;

/** An answer from a chosen endpoint. */
export interface Answered {
  reply: Reply;
  slot: Slot;
}

/** Tries endpoints until one answers, or no other may be tried. */
export async function findAnswer<Payload>(
  run: Run<Payload>,
): Promise<Outcome<Answered, RefusalKind>> {
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
    .with({ kind: 'none' }, { kind: 'unreachable' }, () => 'no-endpoint' as const)
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

function getFinalKind<Payload>(run: Run<Payload>, error: SendError): RefusalKind {
  if (run.stop.signal.aborted) return 'timed-out';
  return error.kind === 'broken' || run.runs > 0 ? 'failed' : 'overloaded';
}
