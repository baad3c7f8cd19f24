import { match } from 'ts-pattern';
import { logFailure } from '../attempts/attempt';
import { isRetryable } from '../attempts/patience';
import type { SentAttempt } from '../attempts/sentAttempt';
import type { Run } from '../run';
import type { EndpointRecord, EventStream, StreamStep } from '../types';
import { findEndFault } from './answerEnd';
import { isApartFromEvent, rememberEnd, reviewStreamEnd } from './endReport';
import type { EndReason } from './endReport';

/**
 * What the end of a stream is worth:
 * - `complete`: its endpoint has stated it and nothing speaks against it, or another endpoint has confirmed it;
 * - `unconfirmed`: in order, but something speaks against it; counts unless another endpoint has more;
 * - `closed`: in order, by an endpoint that has closed the connection without a statement;
 * - `doubtful`: in order, but not to be believed unless another endpoint confirms it;
 * - `broken`: broken off.
 */
export type StreamEnd = 'complete' | 'unconfirmed' | 'closed' | 'doubtful' | 'broken';

/** The step that ends a stream. */
export type EndStep = Exclude<StreamStep, { kind: 'events' }>;

/** The end of what one endpoint sent of a stream. */
export interface SourceEnd {
  end: StreamEnd;
  /** The end, if what the endpoint sent before it did not matter. */
  ownEnd: StreamEnd;
  /** Name of the endpoint. */
  endpoint: string;
  /** Its entry; `undefined` if it was not asked. */
  record: EndpointRecord | undefined;
  /** Whether the endpoint sent no new event. */
  isEmpty: boolean;
  /** Whether the endpoint has shown that it could go on, by sending the caller's last event again. */
  hasRepeated: boolean;
  /** What speaks against the end. */
  reason: EndReason | undefined;
}

/** Judges what an endpoint sent of a stream by its last step; that is missing if another one took its place. */
export async function judgeSource<Payload>(
  run: Run<Payload>,
  attempt: SentAttempt,
  stream: EventStream,
  step: EndStep | undefined,
  isEmpty: boolean,
): Promise<SourceEnd> {
  const hasRepeated = stream.hasRepeated();
  const { ownEnd, reason } = await judgeStep(run, attempt, step, hasRepeated);
  const isInOrder = ownEnd !== 'broken';
  const end = isInOrder && isEmpty && !hasRepeated ? 'doubtful' : ownEnd;
  const { slot, endpoint: record } = attempt;
  return { end, ownEnd, endpoint: slot.endpoint.name, record, isEmpty, hasRepeated, reason };
}

async function judgeStep<Payload>(
  run: Run<Payload>,
  attempt: SentAttempt,
  step: EndStep | undefined,
  hasRepeated: boolean,
): Promise<Pick<SourceEnd, 'ownEnd' | 'reason'>> {
  if (!step) return { ownEnd: 'broken', reason: undefined };
  if (step.kind === 'broken') {
    logFailure(run, attempt, step);
    return { ownEnd: 'broken', reason: undefined };
  }
  rememberEnd(run, attempt, step);
  if (step.kind === 'complete') {
    run.host.endHistory.noteStatement(run.request.service);
    run.host.endHistory.noteEnd(run.request.service, isApartFromEvent(step));
  }
  const fault = await findEndFault(run, attempt, step);
  const reason = reviewStreamEnd(run, attempt, step, hasRepeated);
  if (fault !== undefined) {
    logFailure(run, attempt, { kind: 'broken', message: fault });
    return { ownEnd: 'doubtful', reason };
  }
  return { ownEnd: judgeReason(run, reason), reason };
}

// A caller that may resume its stream can go on after a cut, but never learns what a false end has hidden. Another
// one could not get a whole answer again; but one that its time limit may have ended comes late in any case.
function judgeReason<Payload>(
  { host: { endHistory }, request: { route, service } }: Run<Payload>,
  reason: EndReason | undefined,
): StreamEnd {
  if (reason === undefined) return 'complete';
  if (reason === 'not stated') return 'closed';
  if (!isRetryable(route)) return reason === 'near limit' ? 'doubtful' : 'unconfirmed';
  const isUsual = reason === 'apart from last event' && endHistory.endsApart(service);
  return isUsual ? 'unconfirmed' : 'doubtful';
}

/** Returns the end of a stream whose last end was doubted, after what the next endpoint sent. */
export function combineEnds<Payload>(
  run: Run<Payload>,
  last: SourceEnd,
  next: SourceEnd,
): SourceEnd {
  const { endHistory } = run.host;
  if (!next.isEmpty) {
    noteChecked(run, last, true);
    return next;
  }
  if (!confirms(run, last, next)) return last;
  const end = next.hasRepeated ? confirmEnd(last.end, next.ownEnd) : 'complete';
  if (end !== 'complete') return { ...next, end };
  noteChecked(run, last, false);
  if (last.end === 'closed' && next.ownEnd === 'closed') {
    endHistory.noteConfirmedClose(run.request.service);
  }
  return { ...next, end };
}

function noteChecked<Payload>(
  { host: { endHistory }, request: { service } }: Run<Payload>,
  { end, endpoint, reason }: SourceEnd,
  isEarly: boolean,
): void {
  // An end that the time limit has caused says nothing of the endpoint's next one.
  if (end === 'broken' || (isEarly && reason === 'near limit')) return;
  endHistory.noteChecked(endpoint, isEarly);
  if (isEarly && reason === 'apart from last event') endHistory.noteEarlyApart(service);
}

// What speaks against the end that is to confirm another one may be what ended it. Two closes confirm each
// other, as nothing else can where all streams end so.
function confirmEnd(last: StreamEnd, next: StreamEnd): StreamEnd {
  if (next !== 'closed') return next;
  return last === 'broken' || last === 'doubtful' ? 'closed' : 'complete';
}

// Where no event can be sent again, two endpoints that send nothing show that there is nothing.
function confirms<Payload>({ lastEventId }: Run<Payload>, last: SourceEnd, next: SourceEnd) {
  const isInOrder = match(next.ownEnd)
    .with('complete', 'unconfirmed', 'closed', () => true)
    .with('doubtful', 'broken', () => false)
    .exhaustive();
  // One that stops some time after the repeated event may have been about to send more.
  if (!isInOrder || next.reason === 'apart from last event') return false;
  if (next.hasRepeated) return true;
  const isEmptyStream = lastEventId === undefined && last.end !== 'broken';
  return isEmptyStream && !isSamePlace(last.record, next.record);
}

// An endpoint that has started again knows as little of the stream as it did before.
function isSamePlace(left: EndpointRecord | undefined, right: EndpointRecord | undefined): boolean {
  return left?.id === right?.id || left?.address === right?.address;
}

/** Returns whether an end in order may be that of the whole stream, as far as its endpoint could tell. */
export function mayBeWhole({ end, isEmpty, hasRepeated }: SourceEnd): boolean {
  return end !== 'broken' && (!isEmpty || hasRepeated);
}

/** Returns whether the rest of a stream is to be asked for after such an end. */
export function mayLackEvents(end: StreamEnd): boolean {
  return end !== 'complete';
}

/** Returns the end that the caller is told. */
export function concludeEnd<Payload>(run: Run<Payload>, last: SourceEnd): StreamEnd {
  return last.isEmpty && isOnlyAnswer(run) ? last.ownEnd : last.end;
}

// Whether nothing was brought, nothing can be sent again, and the request may run once only.
function isOnlyAnswer<Payload>({ request: { route }, events, lastEventId }: Run<Payload>): boolean {
  const isEmptyStream = events === 0 && lastEventId === undefined;
  return isEmptyStream && (route.attempts === 1 || !isRetryable(route));
}
