import { Diagnostics, withTimeout } from '@pomeloroad/core';
import type { Slot } from '@pomeloroad/routing';
import { sendWithRetries } from './attempts';
import { getStallTimeout } from './patience';
import { getTimeLeft, takeRetry, hasAttemptsLeft } from './run';
import type { Run } from './run';
import type { EventStream, StreamStep } from './types';

/**
 * Relays a stream to the caller and resumes it on another endpoint if it breaks off. Returns
 * whether the stream reached its end.
 */
export async function relayStream<Payload>(
  run: Run<Payload>,
  first: EventStream,
  firstSlot: Slot,
): Promise<boolean> {
  let stream = first;
  let slot = firstSlot;
  for (;;) {
    const end = await relayEvents(run, stream, slot);
    // Two attempts of one request must not run at the same time.
    await stream.close();
    slot.release(end.kind === 'end' || run.stop.signal.aborted ? 'ok' : 'failed');
    if (end.kind === 'end') return true;
    if (run.stop.signal.aborted || !hasAttemptsLeft(run) || !takeRetry(run)) return false;
    run.excluded.add(slot.endpoint.name);
    const next = await sendWithRetries(run);
    if (next.err) return false;
    if (next.val.reply.kind !== 'stream') {
      next.val.slot.release('failed');
      return false;
    }
    run.host.log(Diagnostics.requestResumed, {
      request: run.request.id,
      endpoint: next.val.slot.endpoint.name,
      after: run.lastEventId,
      events: run.events,
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
    const step = await readStep(run, stream);
    if (step.kind !== 'events') {
      if (step.kind === 'broken') logBroken(run, step.message);
      run.host.metrics.streamEnds.add(1, { end: step.kind, framing: run.framing ?? '' });
      return step;
    }
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
