import { sleep, withTimeout } from '@pomeloroad/core';
import type { Milliseconds, ResponseFraming } from '@pomeloroad/core';
import type { Slot } from '@pomeloroad/routing';
import { getTimeLeft } from './run';
import type { Run } from './run';

/**
 * An endpoint stops work when the time that it was given is over. That time is in whole milliseconds,
 * and so are most timers, so its stop may come this much before the deadline.
 */
const STOP_TOLERANCE_MS: Milliseconds = 2;
/** Time for which the stated end of a stream is held, so that an exit of its endpoint shows. */
const END_HOLD_MS: Milliseconds = 20;
/** Maximum time between the closes of a dying process's connections and of its listening socket. */
const PROCESS_END_MS: Milliseconds = 50;

/** An end in order of an endpoint's answer. */
export interface AnswerEnd {
  framing: ResponseFraming;
  /** Time of `clock.elapsed()` when the end arrived. */
  at: Milliseconds;
  /** Whether the connection has closed by now, although it was to be kept after the answer. */
  hasClosed(): boolean;
}

/**
 * Returns why an end in order is not the end of the answer, or `undefined` if nothing shows that it
 * is not. Releases the slot if it has to ask the endpoint.
 */
export async function findEndFault<Payload>(
  run: Run<Payload>,
  slot: Slot,
  end: AnswerEnd,
): Promise<string | undefined> {
  const { framing, at } = end;
  // A length proves by itself that the answer is complete.
  if (framing === 'length' || framing === 'no body') return undefined;
  if (run.request.deadline - at <= STOP_TOLERANCE_MS) return 'ended at its time limit';
  if (framing === 'chunked' && !(await closesConnection(run, slot, end))) return undefined;
  slot.release('ok');
  const isDead = await isEndpointDead(run, slot);
  return isDead ? 'closed by an endpoint that accepts no connections any more' : undefined;
}

/**
 * Returns whether the connection of a stream that may be resumed closes just after the stated end, as
 * that of a process does which ends its answers in order and exits. A whole answer is not held up, and
 * the connection of a stream that may not be resumed closes in any case.
 */
async function closesConnection<Payload>(
  run: Run<Payload>,
  slot: Slot,
  end: AnswerEnd,
): Promise<boolean> {
  const { kind, isResumable } = run.request.route;
  if (kind !== 'streaming' || !isResumable) return false;
  slot.release('ok');
  await sleep(run.host.clock, Math.max(0, Math.min(END_HOLD_MS, getTimeLeft(run))));
  return end.hasClosed();
}

/**
 * Returns whether the endpoint has died, that is, stopped without having announced it; false also if
 * that is not known. The kernel closes the connections of a killed process just as an endpoint does
 * after a complete answer.
 */
async function isEndpointDead<Payload>(run: Run<Payload>, slot: Slot): Promise<boolean> {
  const { clock, directory, protocol } = run.host;
  const endpoint = directory.find(slot.endpoint.name);
  if (!endpoint || run.stop.signal.aborted) return false;
  const getPatience = (): Milliseconds => Math.max(0, getTimeLeft(run));
  await sleep(clock, Math.min(PROCESS_END_MS, getPatience()));
  const probe = protocol.probe(endpoint);
  const reachability = await withTimeout(clock, getPatience(), probe, 'unknown');
  return reachability === 'refused' && !slot.isLeaving();
}
