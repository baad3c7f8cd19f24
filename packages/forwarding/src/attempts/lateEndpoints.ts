import { sleep } from '@pomeloroad/core';
import type { Milliseconds, Outcome } from '@pomeloroad/core';
import type { RouteError, Slot } from '@pomeloroad/routing';
import type { AttemptReply, SentAttempt } from './sentAttempt';
import { getTimeLeft } from '../run';
import type { Run } from '../run';
import { acquireSlot } from './slots';

/** Time for which a request waits for an endpoint that opens connections late. */
const LATE_WAIT_MAX_MS: Milliseconds = 1500;
/** Fraction of the request's remaining time that this wait may use. */
const LATE_WAIT_TIME_LEFT_RATIO = 0.5;
/** Time after which such an endpoint is looked for again. */
const NEXT_LOOK_MS: Milliseconds = 100;

/** The endpoints of a request whose connection did not open in time. */
export interface LateEndpoints {
  /** Notes the endpoint of an attempt if its connection opened too late. */
  note(attempt: SentAttempt, reply: AttemptReply): void;
  /** Waits for a slot on an endpoint that is not excluded, or else on a late one. */
  acquireSlot(): Promise<Outcome<Slot, RouteError>>;
}

/** Creates the note of a request's late endpoints. Nothing was sent to them, so they may be asked again. */
export function createLateEndpoints<Payload>(run: Run<Payload>): LateEndpoints {
  const { clock } = run.host;
  const late = new Set<string>();
  let until: Milliseconds | undefined;

  async function acquireLateSlot(): Promise<Outcome<Slot, RouteError>> {
    const excluded = new Set([...run.excluded].filter((name) => !late.has(name)));
    let slot = await acquireSlot(run, excluded, run.stop.signal);
    // Requests probe an endpoint that can't be reached one after another.
    while (slot.err && slot.val.kind === 'unreachable' && mayWait()) {
      await sleep(clock, NEXT_LOOK_MS, run.stop.signal);
      slot = await acquireSlot(run, excluded, run.stop.signal);
    }
    return slot;
  }

  const mayWait = () => until !== undefined && clock.elapsed() < until && !run.stop.signal.aborted;

  return {
    note({ slot }, reply) {
      if (reply.ok || reply.val.kind !== 'unreachable' || reply.val.isLate !== true) return;
      const wait = Math.min(LATE_WAIT_MAX_MS, getTimeLeft(run) * LATE_WAIT_TIME_LEFT_RATIO);
      until ??= clock.elapsed() + wait;
      late.add(slot.endpoint.name);
    },
    async acquireSlot() {
      const slot = await acquireSlot(run, run.excluded, run.stop.signal);
      const hasOther = slot.ok || (slot.val.kind !== 'none' && slot.val.kind !== 'unreachable');
      return hasOther || !mayWait() ? slot : acquireLateSlot();
    },
  };
}
