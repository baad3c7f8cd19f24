import type { CheckOutcome } from './checks';
import { isWholeAtLimit } from './cutChecks';
import type { RequestRecord } from './requestRecord';

/** The harms of wrong ends and events to requests of one kind, each with the number of those it could have come to. */
export interface EndCount {
  /** Answers that sound endpoints sent to their end. */
  sound: number;
  /** Those that callers saw cut. */
  cut: number;
  /** Whole ones that came to their end, or were cut or left, only at the request's time limit. */
  late: number;
  /** Answers that endpoints ended early. */
  early: number;
  /** Those that callers took for whole. */
  taken: number;
  /** Successes. */
  answers: number;
  /** Those with events missing, twice, out of order, or of another request, service or version. */
  mixed: number;
}

const NOTHING: EndCount = { sound: 0, cut: 0, late: 0, early: 0, taken: 0, answers: 0, mixed: 0 };
/** Names of the checks that a cut of a sound endpoint's answer fails. */
const CUT_CHECKS = ['cut-while-alive', 'whole-cut'];
/** Names of the checks that an early end fails which its caller took for the end of the whole. */
const EARLY_CHECKS = ['false-ends', 'time-limits'];
/** Names of the checks of the events of an answer. */
const EVENT_CHECKS = ['content', 'one-version'];

/** Returns the kind of request by whether its answer is a stream and may be resumed. */
export function getEndKind({ work }: RequestRecord): string {
  return Kinds[work.route] ?? 'whole answer';
}

/** Returns the kind of request by its route and by how its endpoints frame the answer. */
export function getFramedKind({ work }: RequestRecord): string {
  const framing = work.framing === 'close' ? 'unframed' : work.framing;
  return `${work.route}, ${framing}`;
}

/** Adds what the checks of a request found, by their names, to the counts of its kind. */
export function addEnds(
  counts: Record<string, EndCount>,
  kind: string,
  record: RequestRecord,
  outcomes: Record<string, CheckOutcome>,
): void {
  const { sound, cut, late, early, taken, answers, mixed } = counts[kind] ?? NOTHING;
  const [cutsMade, cutsFailed] = countOutcomes(outcomes, CUT_CHECKS);
  const [endsMade, endsFailed] = countOutcomes(outcomes, EARLY_CHECKS);
  const [eventsMade, eventsFailed] = countOutcomes(outcomes, EVENT_CHECKS);
  Object.assign(counts, {
    [kind]: {
      sound: sound + cutsMade,
      cut: cut + cutsFailed,
      late: late + (isWholeAtLimit(record) ? 1 : 0),
      early: early + endsMade,
      taken: taken + endsFailed,
      answers: answers + eventsMade,
      mixed: mixed + eventsFailed,
    },
  });
}

const Kinds: Record<string, string> = { stream: 'resumable stream', 'stream-once': 'other stream' };

// A request counts once: whether one of the checks was made, and whether one failed.
function countOutcomes(
  outcomes: Record<string, CheckOutcome>,
  names: string[],
): [made: number, failed: number] {
  const made = names
    .map((name) => outcomes[name] ?? 'skipped')
    .filter((each) => each !== 'skipped');
  return [Math.min(1, made.length), made.some((each) => each !== 'held') ? 1 : 0];
}
