import { sleep, withTimeout } from '@pomeloroad/core';
import type { Milliseconds } from '@pomeloroad/core';
import type { Slot } from '@pomeloroad/routing';
import { isRetryable } from '../attempts/patience';
import { getTimeLeft } from '../run';
import type { Run } from '../run';
import type { AnswerEnd } from '../types';

/**
 * An end this close to the deadline counts as one that comes after it: the time limits of callers and
 * endpoints are in whole milliseconds, and so are most timers.
 */
const DEADLINE_TOLERANCE_MS: Milliseconds = 2;
/** Time for which the stated end of an answer is held, so that an exit of its endpoint shows. */
export const END_HOLD_MS: Milliseconds = 20;
/** Maximum time between the closes of a dying process's connections and of its listening socket. */
const PROCESS_END_MS: Milliseconds = 50;

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
  if (run.request.deadline - at <= DEADLINE_TOLERANCE_MS) return 'ended at its time limit';
  if (framing === 'chunked' && !(await closesConnection(run, slot, end))) return undefined;
  if (framing === 'close') slot.release('ok');
  const isDead = await isEndpointDead(run, slot, framing === 'chunked');
  return isDead ? 'closed by an endpoint that accepts no connections any more' : undefined;
}

/**
 * Returns whether the connection of a request that may be sent again closes just after the stated end of
 * its answer, as that of a process does which ends its answers in order and exits. Other requests have
 * connections that close in any case.
 */
async function closesConnection<Payload>(
  { request: { route } }: Run<Payload>,
  slot: Slot,
  { closes }: AnswerEnd,
): Promise<boolean> {
  if (!isRetryable(route)) return false;
  // How a whole answer leaves its slot depends on its status.
  if (route.kind === 'streaming') slot.release('ok');
  return closes;
}

/**
 * Returns whether the endpoint has died, that is, stopped without having announced it; `fallback` if no
 * time is left to find out. The kernel closes the connections of a killed process just as an endpoint
 * does after a complete answer.
 */
async function isEndpointDead<Payload>(
  run: Run<Payload>,
  slot: Slot,
  fallback: boolean,
): Promise<boolean> {
  const { clock, directory, protocol } = run.host;
  const endpoint = directory.find(slot.endpoint.name);
  if (!endpoint) return false;
  if (run.stop.signal.aborted) return fallback;
  const getPatience = (): Milliseconds => Math.max(0, getTimeLeft(run));
  await sleep(clock, Math.min(PROCESS_END_MS, getPatience()));
  const probe = protocol.probe(endpoint);
  const reachability = await withTimeout(clock, getPatience(), probe, 'unknown');
  if (getTimeLeft(run) <= 0) return fallback;
  return reachability === 'refused' && !slot.isLeaving();
}
