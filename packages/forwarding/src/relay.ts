import { match } from 'ts-pattern';
import { Diagnostics, withTimeout } from '@pomeloroad/core';
import type { Milliseconds } from '@pomeloroad/core';
import type { Slot, SlotResult } from '@pomeloroad/routing';
import { sendWithRetries } from './attempts';
import type { CloseTrust } from './closeTrust';
import { getStallTimeout } from './patience';
import { getTimeLeft, takeRetry, hasAttemptsLeft } from './run';
import type { Run } from './run';
import { ENDPOINT_STOPPED, hasStopped } from './stoppedEndpoint';
import type { EventStream, StreamStep } from './types';

/**
 * An endpoint stops work when the time that it was given is over. That time is in whole milliseconds,
 * and so are most timers, so its stop may come this much before the deadline.
 */
const ENDPOINT_STOP_TOLERANCE_MS: Milliseconds = 2;

/**
 * How a stream ended: stated as complete by its endpoint, closed in order without such a statement,
 * or broken off.
 */
export type StreamEnd = 'complete' | 'closed' | 'broken';

/** A stream of an endpoint and the slot that it holds. */
interface Source {
  stream: EventStream;
  slot: Slot;
}

/**
 * Relays a stream to the caller. If it breaks off, or if its close does not tell whether it is
 * complete, the rest is requested from another endpoint.
 */
export async function relayStream<Payload>(
  run: Run<Payload>,
  stream: EventStream,
  slot: Slot,
): Promise<StreamEnd> {
  let source: Source = { stream, slot };
  let end = await relaySource(run, source);
  while (shouldResume(run, end, source)) {
    const next = await resume(run, source);
    if (!next) return end;
    const eventsBefore = run.events;
    const nextEnd = await relaySource(run, next);
    const broughtMore = run.events > eventsBefore;
    // A resumption that breaks off before its first event tells nothing about the stream.
    if (broughtMore || nextEnd !== 'broken') {
      if (end === 'closed') recordClose(run.host.closeTrust, source, !broughtMore);
      end = nextEnd;
    }
    source = next;
  }
  return end;
}

function shouldResume<Payload>(run: Run<Payload>, end: StreamEnd, { slot }: Source): boolean {
  const mayLackEvents = match(end)
    .with('complete', () => false)
    .with('closed', () => !run.host.closeTrust.isTrusted(slot.endpoint.name))
    .with('broken', () => true)
    .exhaustive();
  return mayLackEvents && isTimeLeft(run) && hasAttemptsLeft(run) && takeRetry(run);
}

function isTimeLeft<Payload>(run: Run<Payload>): boolean {
  return !run.stop.signal.aborted && getTimeLeft(run) > ENDPOINT_STOP_TOLERANCE_MS;
}

async function resume<Payload>(run: Run<Payload>, { slot }: Source): Promise<Source | undefined> {
  run.excluded.add(slot.endpoint.name);
  const next = await sendWithRetries(run);
  if (next.err) return undefined;
  if (next.val.reply.kind !== 'stream') {
    next.val.slot.release('failed');
    return undefined;
  }
  run.host.log(Diagnostics.requestResumed, {
    request: run.request.id,
    endpoint: next.val.slot.endpoint.name,
    after: run.lastEventId,
    events: run.events,
  });
  return { stream: next.val.reply.stream, slot: next.val.slot };
}

function recordClose(trust: CloseTrust, { slot }: Source, wasComplete: boolean): void {
  if (wasComplete) trust.add(slot.endpoint.name);
  else trust.remove(slot.endpoint.name);
}

async function relaySource<Payload>(run: Run<Payload>, source: Source): Promise<StreamEnd> {
  const { stream, slot } = source;
  const step = await relayEvents(run, source);
  // Two attempts of one request must not run at the same time.
  await stream.close();
  const end = await judgeEnd(run, step, slot);
  if (end === 'complete') run.host.closeTrust.remove(slot.endpoint.name);
  slot.release(toSlotResult(run, end));
  run.host.metrics.streamEnds.add(1, { end, framing: run.framing ?? '' });
  return end;
}

type EndStep = Exclude<StreamStep, { kind: 'events' }>;

async function relayEvents<Payload>(run: Run<Payload>, { stream, slot }: Source): Promise<EndStep> {
  for (;;) {
    const step = await readStep(run, stream);
    if (step.kind !== 'events') return step;
    slot.recordActivity();
    run.events += step.count;
    run.lastEventId = step.lastId ?? run.lastEventId;
    await run.caller.write(step.data);
  }
}

function readStep<Payload>(run: Run<Payload>, stream: EventStream): Promise<StreamStep> {
  const timeout = getStallTimeout(getTimeLeft(run), hasAttemptsLeft(run));
  return withTimeout<StreamStep>(run.host.clock, timeout, stream.next(), {
    kind: 'broken',
    message: 'no event within the stall timeout',
  });
}

async function judgeEnd<Payload>(run: Run<Payload>, step: EndStep, slot: Slot): Promise<StreamEnd> {
  if (step.kind === 'broken') {
    logBroken(run, step.message);
    return 'broken';
  }
  const fault = await findEndFault(run, step, slot);
  if (fault === undefined) return step.kind === 'end' ? 'complete' : 'closed';
  logBroken(run, fault);
  return 'broken';
}

// Returns why an end in order is not the end of the answer, if something shows that.
async function findEndFault<Payload>(
  run: Run<Payload>,
  { kind }: EndStep,
  slot: Slot,
): Promise<string | undefined> {
  if (getTimeLeft(run) <= ENDPOINT_STOP_TOLERANCE_MS) return 'ended at its time limit';
  return kind === 'closed' && (await hasStopped(run, slot)) ? ENDPOINT_STOPPED : undefined;
}

function toSlotResult<Payload>(run: Run<Payload>, end: StreamEnd): SlotResult {
  return end !== 'broken' || run.stop.signal.aborted ? 'ok' : 'failed';
}

function logBroken<Payload>(
  { host, request, endpoint, framing, events }: Run<Payload>,
  message: string,
): void {
  host.log(Diagnostics.attemptFailed, {
    request: request.id,
    endpoint,
    outcome: 'broken',
    message,
    framing,
    events,
  });
}
