import { match } from 'ts-pattern';
import { judgeReason } from './streamEnd';
import type { SourceEnd, StreamEnd } from './streamEnd';
import type { Run } from '../run';
import type { EndpointRecord } from '../types';

/** Judges the end of an open answer anew, by what is known of the service by now. */
export function renewEnd<Payload>(run: Run<Payload>, last: SourceEnd): SourceEnd {
  const { confirmer, host, request } = run;
  const isSecond = confirmer !== undefined && confirmer !== last.endpoint;
  if (isSecond && isTrusted(run, confirmer) && host.endHistory.statesEndsLate(request.service)) {
    run.confirmer = undefined;
    noteChecked(run, last, false);
    return { ...last, end: 'complete' };
  }
  if (last.end !== 'doubtful' || last.fault !== undefined) return last;
  return { ...last, end: judgeReason(run, last.endpoint, last.reason) };
}

/** Returns the end of a stream whose last end was doubted, after what the next endpoint sent. */
export function combineEnds<Payload>(
  run: Run<Payload>,
  last: SourceEnd,
  next: SourceEnd,
): SourceEnd {
  const { endHistory } = run.host;
  run.confirmer = undefined;
  if (!next.isEmpty) {
    noteChecked(run, last, true);
    endHistory.confirmers.noteAble(run.request.service, next.endpoint);
    return next;
  }
  if (!isTrusted(run, next.endpoint)) return last;
  if (mayConfirm(run, last, next)) run.confirmer = next.endpoint;
  if (!confirms(run, last, next)) return last;
  const end = next.hasRepeated && !isApart(next) ? confirmEnd(last.end, next.ownEnd) : 'complete';
  if (end !== 'complete') return { ...next, end };
  noteChecked(run, last, false);
  if (last.end === 'closed' && next.ownEnd === 'closed') {
    endHistory.noteConfirmedClose(run.request.service);
  }
  return { ...next, end };
}

function noteChecked<Payload>(
  { host: { endHistory }, request: { service } }: Run<Payload>,
  { end, endpoint, reason, isEmpty, hasRepeated }: SourceEnd,
  isEarly: boolean,
): void {
  // An end that the time limit has caused says nothing of the endpoint's next one.
  if (end === 'broken' || (isEarly && reason === 'near limit')) return;
  endHistory.noteChecked(endpoint, isEarly);
  // One that could not go on with a stream of another one tells nothing of others.
  const isAble = !isEmpty || hasRepeated;
  if (isEarly && isAble) endHistory.confirmers.noteEarly(service, endpoint);
  else if (!isEarly) endHistory.confirmers.noteConfirmed(service, endpoint);
  if (reason === 'apart from last event') endHistory.noteCheckedApart(service, isEarly);
}

// What speaks against the end that is to confirm another one may be what ended it. Two closes confirm each
// other, as nothing else can where all streams end so.
function confirmEnd(last: StreamEnd, next: StreamEnd): StreamEnd {
  if (next !== 'closed') return next;
  return last === 'broken' || last === 'doubtful' ? 'closed' : 'complete';
}

// One that has ended a stream early may end this one for the same reason, and so may all others of its service that have
// not gone on with one since.
function isTrusted<Payload>(run: Run<Payload>, endpoint: string): boolean {
  const { clock, endHistory } = run.host;
  const { service } = run.request;
  const { apartEnds, confirmers } = endHistory;
  if (endHistory.endsEarly(endpoint)) return false;
  if (apartEnds.listShared(service, clock.elapsed()).has(endpoint)) return false;
  return !confirmers.hasTrouble(service) || confirmers.listAble(service).has(endpoint);
}

// One that stops some time after the repeated event may have been about to send more, one that had ended the stream
// before may do so for the same reason again, and one that is full may have no room for more. All have shown that they
// could go on, so each is asked once more, for what follows that event.
function mayConfirm<Payload>(run: Run<Payload>, last: SourceEnd, next: SourceEnd): boolean {
  if (!next.hasRepeated || next.isConfirmation || next.fault !== undefined) return false;
  if (isApart(next)) return !confirmsLate(run, last, next);
  return (next.endpoint === last.endpoint || next.isFull) && next.ownEnd === 'complete';
}

// Where endpoints of the service are known to state ends late, a second one that does so at the same event is enough.
function confirmsLate<Payload>(
  { host: { endHistory }, request: { service } }: Run<Payload>,
  last: SourceEnd,
  next: SourceEnd,
): boolean {
  const isSecond = next.hasRepeated && next.endpoint !== last.endpoint;
  if (!isSecond || !isApart(next) || last.end === 'broken') return false;
  return last.end === 'unconfirmed' || endHistory.statesEndsLate(service);
}

function isApart({ reason }: SourceEnd): boolean {
  return reason === 'apart from last event';
}

// Where no event can be sent again, two endpoints that send nothing show that there is nothing.
function confirms<Payload>(run: Run<Payload>, last: SourceEnd, next: SourceEnd): boolean {
  const { lastEventId, confirmer } = run;
  if (next.isConfirmation) return next.ownEnd === 'complete' && !next.hasRepeated;
  if (confirmer !== undefined || next.fault !== undefined) return false;
  if (isApart(next)) return confirmsLate(run, last, next);
  const isInOrder = match(next.ownEnd)
    .with('complete', 'unconfirmed', 'closed', () => true)
    .with('doubtful', 'broken', () => false)
    .exhaustive();
  if (!isInOrder) return false;
  if (next.hasRepeated) return next.endpoint !== last.endpoint;
  const isEmptyStream = lastEventId === undefined && last.end !== 'broken';
  return isEmptyStream && !isSamePlace(last.record, next.record);
}

// An endpoint that has started again knows as little of the stream as it did before.
function isSamePlace(left: EndpointRecord | undefined, right: EndpointRecord | undefined): boolean {
  return left?.id === right?.id || left?.address === right?.address;
}
