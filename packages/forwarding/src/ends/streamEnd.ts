import { logFailure } from '../attempts/attempt';
import { isRetryable } from '../attempts/patience';
import { isConfirmationPoint } from '../attempts/resumePoint';
import type { SentAttempt } from '../attempts/sentAttempt';
import type { Run } from '../run';
import type { EndpointRecord, EventStream, StreamStep } from '../types';
import { findEndFault } from './answerEnd';
import { isApartFromEvent, rememberEnd, reviewStreamEnd } from './endReport';
import type { EndReason } from './endReport';

/**
 * What the end of a stream is worth:
 * - `complete`: its endpoint has stated it and nothing speaks against it, or another endpoint has confirmed it;
 * - `unconfirmed`: in order, but something speaks against it that is usual or that nobody can be asked about; counts
 *   unless another endpoint has more;
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
  /** Whether the endpoint was asked only for what follows the caller's last event, which it had sent again. */
  isConfirmation: boolean;
  /**
   * Whether the endpoint, which has sent nothing but that event, says that its memory is full, so that it may have had
   * no room for the next one.
   */
  isFull: boolean;
  /** What speaks against the end. */
  reason: EndReason | undefined;
  /** What shows that it is not the end of the answer. */
  fault: string | undefined;
}

/** What is made of the last step of a source. */
type JudgedStep = Pick<SourceEnd, 'ownEnd' | 'reason' | 'fault'>;

/** Judges what an endpoint sent of a stream by its last step; that is missing if another one took its place. */
export async function judgeSource<Payload>(
  run: Run<Payload>,
  attempt: SentAttempt,
  stream: EventStream,
  step: EndStep | undefined,
  isEmpty: boolean,
): Promise<SourceEnd> {
  const isConfirmation = isConfirmationPoint(attempt.resumePoint);
  // One that was asked for what follows and sent anything that is left out is not where the caller is.
  const hasSent = isConfirmation && attempt.pauses.getFirst() !== undefined;
  const hasRepeated = stream.hasRepeated() || hasSent;
  const { slot, endpoint: record } = attempt;
  const { name: endpoint } = slot.endpoint;
  const { endHistory } = run.host;
  const hasEnded = !isEmpty && step !== undefined && step.kind !== 'broken';
  // Until it is judged too, so that ends of several endpoints at one moment are asked of others.
  if (hasEnded) endHistory.noteDoubt(endpoint, true);
  if (hasEnded && step.kind === 'complete') {
    const isApart = isApartFromEvent(step);
    endHistory.apartEnds.note(run.request.service, endpoint, isApart, step.at);
  }
  const judged = await judgeStep(run, attempt, step, { hasRepeated, isConfirmation });
  const isInOrder = judged.ownEnd !== 'broken';
  const end = isInOrder && isEmpty && !hasRepeated ? 'doubtful' : judged.ownEnd;
  if (hasEnded) endHistory.noteDoubt(endpoint, end !== 'complete');
  const isRepeat = judged.ownEnd === 'complete' && isEmpty && hasRepeated && !isConfirmation;
  const room = isRepeat && record ? await run.host.protocol.findRoom(record) : 'untold';
  return {
    ...judged,
    end,
    endpoint,
    record,
    isEmpty,
    hasRepeated,
    isConfirmation,
    isFull: room === 'short',
  };
}

async function judgeStep<Payload>(
  run: Run<Payload>,
  attempt: SentAttempt,
  step: EndStep | undefined,
  { hasRepeated, isConfirmation }: Pick<SourceEnd, 'hasRepeated' | 'isConfirmation'>,
): Promise<JudgedStep> {
  const broken = { ownEnd: 'broken' as const, reason: undefined, fault: undefined };
  if (!step) return broken;
  if (step.kind === 'broken') {
    logFailure(run, attempt, step);
    return broken;
  }
  rememberEnd(run, attempt, step);
  if (step.kind === 'complete') {
    run.host.endHistory.noteStatement(run.request.service);
    run.host.endHistory.confirmers.noteEnd(run.request.service);
    // An answer to what follows the last event has no event of its own to end with.
    if (!isConfirmation) run.host.endHistory.noteEnd(run.request.service, isApartFromEvent(step));
  }
  const fault = await findEndFault(run, attempt, step);
  const reason = reviewStreamEnd(run, attempt, step, hasRepeated || isConfirmation);
  if (fault !== undefined) {
    logFailure(run, attempt, { kind: 'broken', message: fault });
    return { ownEnd: 'doubtful', reason, fault };
  }
  return { ownEnd: judgeReason(run, attempt.slot.endpoint.name, reason), reason, fault };
}

/**
 * Returns what an end in order is worth by what speaks against it. A doubtful one leaves the answer open. Where nobody can
 * be asked for the rest, only one that the time limit may have caused does, as such an answer comes late in any case, and
 * one against which two signs speak.
 */
export function judgeReason<Payload>(
  { host: { endHistory }, request: { route, service } }: Run<Payload>,
  endpoint: string,
  reason: EndReason | undefined,
): StreamEnd {
  if (reason === undefined) return 'complete';
  if (reason === 'not stated') return 'closed';
  if (!isRetryable(route)) return isStrong(reason) ? 'doubtful' : 'unconfirmed';
  const isUsual = reason === 'apart from last event' && endHistory.endsApart(service);
  return isUsual && !endHistory.endsEarly(endpoint) ? 'unconfirmed' : 'doubtful';
}

// One sign may have another cause. Streams that end at one moment, at different events, and all some time after their last
// ones were ended by what ended the others.
function isStrong(reason: EndReason | undefined): boolean {
  return reason === 'near limit' || reason === 'endpoint ended several apart';
}

/** Returns whether an end in order may be that of the whole stream, as far as its endpoint could tell. */
export function mayBeWhole({ end, isEmpty, hasRepeated }: SourceEnd): boolean {
  return end !== 'broken' && (!isEmpty || hasRepeated);
}

/**
 * Returns whether the answer stays open after the end until it is proved or the time limit passes: the caller has all
 * that has come, so nothing is gained by a cut. Where nobody can be asked, only an end with strong evidence against it is.
 */
export function mayStayOpen<Payload>(
  { request: { route } }: Run<Payload>,
  last: SourceEnd,
): boolean {
  const isDoubted = last.end === 'doubtful' || last.end === 'closed';
  if (!isDoubted || !mayBeWhole(last)) return false;
  return isRetryable(route) || (isStrong(last.reason) && last.fault === undefined);
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
