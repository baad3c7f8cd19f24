import { match } from 'ts-pattern';
import { Diagnostics, withTimeout } from '@pomeloroad/core';
import type { Milliseconds } from '@pomeloroad/core';
import { leaveEndpoint, sendAttempt } from '../attempts/attempt';
import { STREAM_THRESHOLD_MS } from '../attempts/patience';
import type { SentAttempt } from '../attempts/sentAttempt';
import { acquireSlotAt } from '../attempts/slots';
import type { SourceEnd } from '../ends/streamEnd';
import { getTimeLeft, isWithheld, takeRetry } from '../run';
import type { Run } from '../run';
import type { EventStream, RunCopy } from '../types';

/** Time from the last event after which a caller may leave soon. */
const CALLER_PATIENCE_MS: Milliseconds = 1900;
/** Remaining time below which an endpoint can't go on with a run. */
const TIME_LEFT_MIN_MS: Milliseconds = 50;
/** Time from the first event after which a run may have a copy. */
const COPY_POSSIBLE_AFTER_MS: Milliseconds = 300;
/** Time from the first event after which it has one for certain, if its holder has room. */
const COPY_CERTAIN_AFTER_MS: Milliseconds = 1000;
/** Fraction of the time for which a copy is kept after its last part, within which it is reckoned with. */
const KEPT_TIME_RATIO = 0.5;

/** What the holder of a run's copy made of the request to go on. */
export type Continuation =
  /** It goes on. */
  | { kind: 'stream'; stream: EventStream; attempt: SentAttempt }
  /** It has no copy any more, which it keeps until the run has ended. */
  | { kind: 'ended' }
  /** It could not be asked, or can't know. */
  | { kind: 'unknown'; because: Obstacle };

/** Why the holder of a run's copy tells nothing of the run. */
type Obstacle =
  | 'no time or id'
  | 'too short for a copy'
  | 'holder not sound'
  | 'no slot'
  | 'no retry'
  | 'silent'
  | 'declined'
  | 'failed';

/** A run that has ended at the endpoint that began it. */
interface EndedRun {
  source: SentAttempt;
  copy: RunCopy;
  last: SourceEnd;
  /** Time from its first event to its end. */
  workedFor: Milliseconds;
}

/**
 * Asks the holder of the copy of a run to go on after the last event, if the run's end at the endpoint that began it
 * may not be that of the whole stream; returns `undefined` if there is nothing to ask. That endpoint's connection has
 * to be closed. A copy can be used once.
 */
export async function continueFromCopy<Payload>(
  run: Run<Payload>,
  source: SentAttempt,
  last: SourceEnd,
): Promise<Continuation | undefined> {
  const { copy } = source;
  if (!copy || !mayLackCopiedEvents(last)) return undefined;
  const ended = { source, copy, last, workedFor: getWorkTime(run, source) };
  const continuation = await askHolder(run, ended);
  report(run, ended, continuation);
  return continuation;
}

// An end apart from the last event is how some engines end all their streams.
function mayLackCopiedEvents({ end, reason }: SourceEnd): boolean {
  return match(end)
    .with('complete', () => false)
    .with('unconfirmed', () => reason !== 'apart from last event')
    .with('broken', 'doubtful', 'closed', () => true)
    .exhaustive();
}

// Without the id of its last event the caller would get events again.
function mayGoOn<Payload>(run: Run<Payload>): boolean {
  const { events, lastEventId, unnumbered, stop } = run;
  if (stop.signal.aborted || getTimeLeft(run) < TIME_LEFT_MIN_MS) return false;
  return unnumbered === 0 && (events === 0 || lastEventId !== undefined);
}

function getWorkTime<Payload>({ host }: Run<Payload>, source: SentAttempt): Milliseconds {
  const { told, pauses } = source;
  const first = pauses.getFirst();
  return first === undefined ? 0 : host.clock.elapsed() - told.at - first;
}

// Where there may be no copy nobody is asked: an endpoint in trouble may run a request before it looks for its copy.
async function askHolder<Payload>(run: Run<Payload>, ended: EndedRun): Promise<Continuation> {
  const { copy, last, workedFor } = ended;
  if (!mayGoOn(run)) return toUnknown('no time or id');
  if (workedFor < COPY_POSSIBLE_AFTER_MS) return toUnknown('too short for a copy');
  if (!mayAsk(run, copy)) return toUnknown('holder not sound');
  const slot = await acquireSlotAt(run, copy.name);
  if (slot.err) return toUnknown('no slot');
  const obstacle = findLateObstacle(run, copy, last);
  if (obstacle !== undefined) {
    slot.val.release('unused');
    return toUnknown(obstacle);
  }
  const attempt = sendAttempt(run, slot.val, copy);
  return awaitHolder(run, ended, attempt);
}

// The holder may have left while the request waited for a slot.
function findLateObstacle<Payload>(
  run: Run<Payload>,
  copy: RunCopy,
  last: SourceEnd,
): Obstacle | undefined {
  if (!mayGoOn(run)) return 'no time or id';
  if (!mayAsk(run, copy)) return 'holder not sound';
  return takeOne(run, last) ? undefined : 'no retry';
}

function toUnknown(because: Obstacle): Continuation {
  return { kind: 'unknown', because };
}

// One that has started again has lost its copies.
function mayAsk<Payload>(run: Run<Payload>, { name }: RunCopy): boolean {
  return run.host.getEndpointState(name) === 'sound' && !isWithheld(run);
}

// An end that counts in any case leaves retries to others.
function takeOne<Payload>(run: Run<Payload>, { end }: SourceEnd): boolean {
  const { host, request } = run;
  const isSpare = end === 'unconfirmed';
  return isSpare ? host.retryBudget.takeSpare(request.service) : takeRetry(run);
}

// The caller waits, so a silent holder is left, and the end counts as it would without a copy.
async function awaitHolder<Payload>(
  run: Run<Payload>,
  ended: EndedRun,
  attempt: SentAttempt,
): Promise<Continuation> {
  const { clock } = run.host;
  const reply = await withTimeout(clock, getPatience(run), attempt.reply, undefined);
  if (!reply) {
    await attempt.end();
    attempt.slot.release('silent');
    return toUnknown('silent');
  }
  if (reply.ok && reply.val.kind === 'stream') {
    return { kind: 'stream', stream: rejectRepeats(reply.val.stream), attempt };
  }
  leaveEndpoint(run, attempt, reply);
  if (reply.ok || reply.val.kind !== 'declined') return toUnknown('failed');
  const isKnown = reply.val.lacksCopy && knowsEnd(run, ended) && (await hasRoom(run, ended));
  return isKnown ? { kind: 'ended' } : toUnknown('declined');
}

// One without room has taken no copy, and says the same as one that has dropped it.
async function hasRoom<Payload>({ host }: Run<Payload>, { copy }: EndedRun): Promise<boolean> {
  return (await host.protocol.findRoom(copy.endpoint)) === 'free';
}

// A holder that sends what the caller has does not go on, but runs the request anew.
function rejectRepeats(stream: EventStream): EventStream {
  return {
    ...stream,
    async next() {
      const step = await stream.next();
      if (!stream.hasRepeated()) return step;
      return { kind: 'broken', message: 'the run was begun anew' };
    },
  };
}

// The caller leaves when nothing has come for long, also not the end of what it has.
function getPatience<Payload>({ host, course }: Run<Payload>): Milliseconds {
  const now = host.clock.elapsed();
  const left = CALLER_PATIENCE_MS - (now - (course.lastEventAt ?? now));
  return Math.max(0, Math.min(STREAM_THRESHOLD_MS, left));
}

// Whether a holder without the copy would still have it, had the run not ended.
function knowsEnd<Payload>(
  { host, request, course }: Run<Payload>,
  { copy, last, workedFor }: EndedRun,
): boolean {
  if (last.end === 'broken' || workedFor < COPY_CERTAIN_AFTER_MS) return false;
  const keptFor = host.findService(request.service)?.copies?.keptFor ?? 0;
  const now = host.clock.elapsed();
  const silence = now - (course.lastEventAt ?? now);
  return silence < keptFor * KEPT_TIME_RATIO && host.getEndpointState(copy.name) === 'sound';
}

function report<Payload>(
  { host, request, lastEventId, events }: Run<Payload>,
  { copy, last: { end, reason }, workedFor }: EndedRun,
  continuation: Continuation,
): void {
  const { kind: outcome } = continuation;
  const because = continuation.kind === 'unknown' ? continuation.because : undefined;
  host.metrics.continuations.add(1, { outcome, end });
  host.log(Diagnostics.runContinued, {
    request: request.id,
    endpoint: copy.endpoint.id,
    outcome,
    end,
    reason,
    because,
    after: lastEventId,
    events,
    workedFor: Math.round(workedFor),
  });
}
