import { match } from 'ts-pattern';
import { sleep, withTimeout } from '@pomeloroad/core';
import type { Milliseconds } from '@pomeloroad/core';
import { isRetryable } from '../attempts/patience';
import type { SentAttempt } from '../attempts/sentAttempt';
import { getTimeLeft } from '../run';
import type { Run } from '../run';
import type { AnswerEnd } from '../types';
import { createIncarnationQuestion } from './incarnationQuestion';
import { mayBeLimitEnd } from './limitEnd';

/**
 * An end this close to the deadline counts as one that comes after it: the time limits of callers and
 * endpoints are in whole milliseconds, and so are most timers.
 */
const DEADLINE_TOLERANCE_MS: Milliseconds = 2;
/** Time for which the stated end of an answer is held, so that an exit of its endpoint shows. */
export const END_HOLD_MS: Milliseconds = 20;
/** Maximum time between the closes of a dying process's connections and of its listening socket. */
const PROCESS_END_MS: Milliseconds = 50;

/** Time for which the entries of endpoints are read again; a killed endpoint keeps its entry for longer. */
const REREAD_TIME_MS: Milliseconds = 300;

/** Time from the last event for which the end of a stream is held at most; its caller leaves after 2 s. */
const HOLD_MAX_MS: Milliseconds = 1800;
/** Fraction of the time left for which it is held at most, so that the end arrives in time. */
const HOLD_TIME_LEFT_RATIO = 0.5;

/** What is said of an end whose endpoint has gone. */
const GONE_MESSAGE = 'closed by an endpoint that accepts no connections any more';

/** What is said of one whose connection closes with it, unannounced. */
const CLOSED_MESSAGE = 'ended with its connection, though its service keeps connections';

/**
 * Returns why an end in order is not the end of the answer, or `undefined` if nothing shows that it
 * is not. Releases the slot if it has to ask the endpoint.
 */
export async function findEndFault<Payload>(
  run: Run<Payload>,
  attempt: SentAttempt,
  end: AnswerEnd,
): Promise<string | undefined> {
  const { slot } = attempt;
  const { framing, at } = end;
  // A length proves by itself that the answer is complete.
  if (framing === 'length' || framing === 'no body') return undefined;
  if (run.request.deadline - at <= DEADLINE_TOLERANCE_MS) return 'ended at its time limit';
  if (isSingleStream(run)) {
    // One that its limit may have ended stays open until then, whatever becomes of its endpoint.
    return mayBeLimitEnd(run, attempt, end) ? undefined : findSingleStreamFault(run, attempt, end);
  }
  if (framing === 'chunked') {
    // How a whole answer leaves its slot depends on its status.
    if (run.request.route.kind === 'streaming') slot.release('ok');
    const fate = await end.connection;
    if (fate === 'kept' || fate === 'not kept') return undefined;
    if (fate === 'closed' && (await isUnusualClose(run, attempt))) return CLOSED_MESSAGE;
  }
  if (framing === 'close') slot.release('ok');
  const isGone = await isEndpointGone(run, attempt, framing === 'chunked');
  // An endpoint that leaves may exit after its last answer, but only a stated end tells that it was whole.
  const isDoubtful = isGone && (framing === 'close' || !(await hasLeft(run, attempt)));
  return isDoubtful ? GONE_MESSAGE : undefined;
}

function isSingleStream<Payload>({ request: { route } }: Run<Payload>): boolean {
  return route.kind === 'streaming' && !isRetryable(route);
}

function getHoldPatience<Payload>(run: Run<Payload>, sinceEvent = 0): Milliseconds {
  const timeLeft = Math.max(0, getTimeLeft(run));
  return Math.max(0, Math.min(HOLD_MAX_MS - sinceEvent, timeLeft * HOLD_TIME_LEFT_RATIO));
}

/**
 * As `findEndFault`, for a stream that may not be resumed: nobody else can tell its end. The caller has all events, so the
 * end is held until it is known what became of the endpoint.
 */
async function findSingleStreamFault<Payload>(
  run: Run<Payload>,
  attempt: SentAttempt,
  { framing, sinceEvent, ranAt, connection }: AnswerEnd,
): Promise<string | undefined> {
  const { endpointLife, metrics } = run.host;
  const { slot, endpoint } = attempt;
  slot.release('ok');
  const isStated = framing === 'chunked';
  // One that leaves may exit after its last answer, but only a stated end tells that it was whole.
  if (!endpoint || (isStated && slot.isLeaving())) return undefined;
  if (isStated && (await connection) === 'closed' && (await isUnusualClose(run, attempt))) {
    return CLOSED_MESSAGE;
  }
  const patience = isStated ? getHoldPatience(run, sinceEvent) : Math.max(0, getTimeLeft(run));
  const verdict = await endpointLife.learn(endpoint, { ranAt, patience }, run.stop.signal);
  metrics.heldEnds.add(1, { verdict, framing });
  return match(verdict)
    .with('lives', () => undefined)
    .with('exited', async () =>
      isStated && (await hasLeft(run, attempt)) ? undefined : GONE_MESSAGE,
    )
    .with('died amid streams', () => (isStated ? undefined : GONE_MESSAGE))
    .with('unknown', () => (isStated ? undefined : 'closed by an endpoint that nobody reaches'))
    .exhaustive();
}

// An endpoint that has closed a connection without an announcement, though endpoints of its service keep them, ends what it has
// and goes, or has lost what it had. One that leaves closes its connections as well.
async function isUnusualClose<Payload>(run: Run<Payload>, attempt: SentAttempt): Promise<boolean> {
  const { host, request } = run;
  return host.closeHistory.isCloseUnusual(request.service) && !(await hasLeft(run, attempt));
}

// Its entry may have told of its leaving just before, and not have been read yet.
async function hasLeft<Payload>(
  run: Run<Payload>,
  { slot, endpoint }: SentAttempt,
): Promise<boolean> {
  const { clock, directory, refreshEndpoints } = run.host;
  if (slot.isLeaving()) return true;
  if (!endpoint) return false;
  const patience = Math.min(REREAD_TIME_MS, Math.max(0, getTimeLeft(run)));
  const reading = refreshEndpoints().then(() => directory.getFate(endpoint));
  const fate = await withTimeout(clock, patience, reading, 'listed');
  return fate === 'leaving' || fate === 'gone';
}

/**
 * Returns whether the process of the endpoint has ended; `fallback` if no time is left to find out. The
 * kernel closes the connections of a killed process just as an endpoint does after a complete answer.
 */
async function isEndpointGone<Payload>(
  run: Run<Payload>,
  { endpoint, told }: SentAttempt,
  fallback: boolean,
): Promise<boolean> {
  const { host } = run;
  if (!endpoint) return false;
  if (run.stop.signal.aborted) return fallback;
  const getPatience = (): Milliseconds => Math.max(0, getTimeLeft(run));
  await sleep(host.clock, Math.min(PROCESS_END_MS, getPatience()));
  // Its next incarnation may have the same address. Where that was there before the request, it has sent the answer.
  const question = createIncarnationQuestion(host, endpoint);
  const otherTime = host.directory.getOtherTime(endpoint);
  const isOfOther = otherTime !== undefined && otherTime >= host.clock.elapsed() - told.at;
  const asking = isOfOther ? question.askAddress() : question.ask();
  const finding = await withTimeout(host.clock, getPatience(), asking, 'unknown');
  if (getTimeLeft(run) <= 0) return fallback;
  return finding === 'ended';
}
