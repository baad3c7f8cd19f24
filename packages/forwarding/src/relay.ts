import { match } from 'ts-pattern';
import { Diagnostics, withTimeout } from '@pomeloroad/core';
import type { Slot } from '@pomeloroad/routing';
import { findEndFault } from './answerEnd';
import { sendWithRetries } from './attempts';
import { getStallTimeout } from './patience';
import { describeSilence, getTimeLeft, hasAttemptsLeft, takeAttempt } from './run';
import type { Run } from './run';
import type { EventStream, StreamStep } from './types';

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

/** The end of a stream and the endpoint that it came from. */
interface SourceEnd {
  end: StreamEnd;
  endpoint: string;
}

/**
 * Relays a stream to the caller. If it has broken off, or has probably broken off, the rest is
 * requested from another endpoint.
 */
export async function relayStream<Payload>(
  run: Run<Payload>,
  stream: EventStream,
  slot: Slot,
): Promise<StreamEnd> {
  let last = await relaySource(run, { stream, slot });
  while (shouldResume(run, last)) {
    const eventsBefore = run.events;
    const source = await resume(run);
    if (!source) return last.end;
    const next = await relaySource(run, source);
    // A resumption that breaks off before its first event tells nothing about the stream.
    if (run.events > eventsBefore || next.end !== 'broken') last = next;
  }
  return last.end;
}

function shouldResume<Payload>(run: Run<Payload>, { end, endpoint }: SourceEnd): boolean {
  const mayLackEvents = match(end)
    .with('complete', () => false)
    .with('closed', () => run.host.endStatements.has(endpoint))
    .with('broken', () => true)
    .exhaustive();
  const hasTime = !run.stop.signal.aborted && getTimeLeft(run) > 0;
  return mayLackEvents && hasTime && takeAttempt(run);
}

async function resume<Payload>(run: Run<Payload>): Promise<Source | undefined> {
  const next = await sendWithRetries(run);
  if (next.err) return undefined;
  const { reply, slot } = next.val;
  if (reply.kind !== 'stream') {
    slot.release('failed');
    return undefined;
  }
  recordResumption(run, slot);
  return { stream: reply.stream, slot };
}

function recordResumption<Payload>(run: Run<Payload>, slot: Slot): void {
  const { version, eventVersion } = run;
  const isSame = !eventVersion || eventVersion.version === version;
  run.host.metrics.resumptions.add(1, { version: isSame ? 'same' : 'other' });
  run.host.log(Diagnostics.requestResumed, {
    request: run.request.id,
    endpoint: slot.endpoint.name,
    version,
    fromVersion: eventVersion?.version,
    after: run.lastEventId,
    events: run.events,
  });
}

async function relaySource<Payload>(run: Run<Payload>, source: Source): Promise<SourceEnd> {
  const { stream, slot } = source;
  const endpoint = slot.endpoint.name;
  const step = await relayEvents(run, source);
  // Two attempts of one request must not run at the same time.
  await stream.close();
  const end = await judgeEnd(run, slot, step);
  // An end in order is no failure of the endpoint, even if the answer is not complete.
  slot.release(step.kind !== 'broken' || run.stop.signal.aborted ? 'ok' : 'failed');
  run.host.metrics.streamEnds.add(1, { end, framing: run.framing ?? '' });
  if (end === 'complete') run.host.endStatements.add(endpoint);
  else run.excluded.add(endpoint);
  return { end, endpoint };
}

type EndStep = Exclude<StreamStep, { kind: 'events' }>;

async function relayEvents<Payload>(run: Run<Payload>, { stream }: Source): Promise<EndStep> {
  for (;;) {
    const step = await readStep(run, stream);
    if (step.kind !== 'events') return step;
    run.events += step.count;
    run.eventVersion = { version: run.version };
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

async function judgeEnd<Payload>(run: Run<Payload>, slot: Slot, step: EndStep): Promise<StreamEnd> {
  const fault = step.kind === 'broken' ? step.message : await findEndFault(run, slot, step);
  if (fault === undefined) return step.kind;
  logBroken(run, slot, fault);
  return 'broken';
}

function logBroken<Payload>(run: Run<Payload>, slot: Slot, message: string): void {
  const { host, request, endpoint, framing, events } = run;
  host.log(Diagnostics.attemptFailed, {
    request: request.id,
    endpoint,
    outcome: 'broken',
    message,
    framing,
    events,
    ...describeSilence(run, slot),
  });
}
