import { STATUS_OK } from './checkBounds';
import type { CheckContext, CheckOutcome } from './checks';
import { countEvents } from './requestRecord';
import type { EndpointRun, RequestRecord } from './requestRecord';

/** Answers of one kind that endpoints ended early in order, and those that callers took for whole. */
export interface EarlyEndCount {
  ended: number;
  taken: number;
}

/** Checks that an answer that looks complete holds all events, if no endpoint ended it early in order. */
export function checkCompleteness(record: RequestRecord, context: CheckContext): CheckOutcome {
  const { answer } = record;
  if (answer?.framing === 'close' && hasNoChunks(record, context)) return 'skipped';
  if (answer?.status !== STATUS_OK || !answer.looksComplete) return 'skipped';
  return hasFalseEnd(record) || isCutUnseen(record) ? 'skipped' : findMissing(record);
}

// Nothing tells a whole answer without a length from one that a living endpoint ends in order too early.
function isCutUnseen({ work, runs }: RequestRecord): boolean {
  return work.framing === 'close' && work.fault === 'short' && runs.length > 0;
}

// The older build passes the missing framing of an endpoint on, and HTTP/1.0 has none but a length.
function hasNoChunks(record: RequestRecord, { hasOlderBuild }: CheckContext): boolean {
  return record.isOldVersion === true || (hasOlderBuild && record.life === 1);
}

/**
 * Checks that an answer states its own end: the kernel closes the connections of an instance that is
 * killed in order, as after a whole answer.
 */
export function checkFraming(record: RequestRecord, context: CheckContext): CheckOutcome {
  const { answer } = record;
  if (!answer || answer.status === 0 || hasNoChunks(record, context)) return 'skipped';
  if (answer.framing !== 'close') return 'held';
  return { message: 'only the end of its connection ends the answer' };
}

/** Checks that no early end in order of an endpoint reached the caller as the end of its answer. */
export function checkFalseEnds(record: RequestRecord, context: CheckContext): CheckOutcome {
  const { answer, work } = record;
  const last = listEarlyEnds(record).at(-1);
  const isUnframed = work.framing === 'close' && answer?.framing === 'close';
  if (!last || (isUnframed && hasNoChunks(record, context))) return 'skipped';
  const outcome = findFalseEnd(record);
  if (typeof outcome === 'string') return outcome;
  return { message: `${outcome.message}: ${describeEarlyEnd(record, last)}` };
}

/** Adds the early ends in order of the request's answers, and whether its caller took the last for the whole. */
export function addEarlyEnds(
  counts: Record<string, EarlyEndCount>,
  record: RequestRecord,
  falseEnds: CheckOutcome,
): void {
  const runs = listEarlyEnds(record);
  runs.forEach((run, index) => {
    const kind = describeEarlyEnd(record, run);
    const { ended, taken } = counts[kind] ?? { ended: 0, taken: 0 };
    const isTaken = index === runs.length - 1 && typeof falseEnds === 'object';
    Object.assign(counts, { [kind]: { ended: ended + 1, taken: taken + (isTaken ? 1 : 0) } });
  });
}

// Cause, framing, whether the answer may be resumed, and which answer of its endpoints it was.
function describeEarlyEnd({ work, resumes, runs }: RequestRecord, run: EndpointRun): string {
  const framing = work.framing === 'close' ? 'unframed' : work.framing;
  const mayResume = work.route === 'stream' ? 'resumable' : 'not resumable';
  const first = run === runs[0] ? 'first answer' : 'resumption';
  return [run.earlyEnd, framing, mayResume, resumes === undefined ? first : 'take-up'].join(', ');
}

/** Checks that a time limit that ends an endpoint's work in the middle does not end the answer either. */
export function checkTimeLimits(record: RequestRecord): CheckOutcome {
  const { timeLimit, runs } = record;
  const isUnfinished = runs.length > 0 && runs.every((run) => !run.isStated);
  if (timeLimit === undefined || !isUnfinished || hasFalseEnd(record)) return 'skipped';
  return findFalseEnd(record);
}

function findFalseEnd(record: RequestRecord): CheckOutcome {
  const { answer } = record;
  const looksComplete = answer?.status === STATUS_OK && answer.looksComplete;
  return looksComplete ? findMissing(record) : 'held';
}

function hasFalseEnd(record: RequestRecord): boolean {
  return listEarlyEnds(record).length > 0;
}

function listEarlyEnds({ runs }: RequestRecord): EndpointRun[] {
  return runs.filter((run) => run.earlyEnd !== undefined);
}

// Counts the events that the caller had before too.
function findMissing({ answer, work, resumeAfter }: RequestRecord): CheckOutcome {
  const events = resumeAfter + countEvents(answer?.body ?? '');
  if (events >= work.events) return 'held';
  return { message: `looks complete to a caller that holds ${events} of ${work.events} events` };
}
