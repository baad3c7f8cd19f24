import { Diagnostics, withTimeout } from '@pomeloroad/core';
import type { Slot } from '@pomeloroad/routing';
import { findAnswer } from './attempts';
import { getStallPatience } from './patience';
import { getTimeLeft, mayArriveAgain, mayRunAgain } from './run';
import type { Run } from './run';
import type { EventStream, StreamStep } from './types';

/** Passes events on, over as many endpoints as it takes; whether the stream came to its end. */
export async function relayStream<Payload>(
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
