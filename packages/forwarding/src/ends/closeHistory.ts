import type { ConnectionFate } from '../types';

/** Maximum number of services that are remembered; the longest known is forgotten first. */
const SERVICES_MAX = 1000;
/** Number of connections that have to be kept before a close is unusual. */
const KEPT_MIN = 3;
/** Number of answers at which earlier ones begin to count less. */
const ANSWERS_MAX = 60;
/** Fraction of the connections that may close with their answers while a close is unusual. */
const UNUSUAL_RATIO = 0.1;

/** Number of closes with ends that only chunks state from which on they may be usual. */
const UNPROVEN_MIN = 10;

/** Connections that were kept after answers, and those that closed with them without an announcement. */
interface CloseCount {
  kept: number;
  closed: number;
}

/** The counts of a service: after ends that a length proves, and after ends that only chunks state. */
interface ServiceCloses {
  proven: CloseCount;
  unproven: CloseCount;
}

const NO_ANSWERS: CloseCount = { kept: 0, closed: 0 };
const NOTHING: ServiceCloses = { proven: NO_ANSWERS, unproven: NO_ANSWERS };

/**
 * What endpoints do with connections that are to be kept. One that closes a connection just after an answer, and has not
 * announced it, is likely in trouble, unless endpoints of its service do so after whole answers too, or after most of those
 * whose end no length proves.
 */
export interface CloseHistory {
  /** Notes what became of a connection that was to be kept after an answer, and whether a length proves its end. */
  note(service: string, fate: WatchedFate, isProven: boolean): void;
  /** Whether endpoints of the service are known to keep connections. */
  isCloseUnusual(service: string): boolean;
}

/** Fate of a connection that was to be kept. */
export type WatchedFate = Extract<ConnectionFate, 'kept' | 'closed'>;

/** Creates a history of no answers. */
export function createCloseHistory(): CloseHistory {
  const counts = new Map<string, ServiceCloses>();
  return {
    note(service, fate, isProven) {
      const closes = counts.get(service) ?? NOTHING;
      const kind = isProven ? 'proven' : 'unproven';
      counts.delete(service);
      counts.set(service, { ...closes, [kind]: addFate(closes[kind], fate) });
      const [oldest] = counts.keys();
      if (counts.size > SERVICES_MAX && oldest !== undefined) counts.delete(oldest);
    },
    isCloseUnusual(service) {
      const { proven, unproven } = counts.get(service) ?? NOTHING;
      const kept = proven.kept + unproven.kept;
      const all = kept + proven.closed;
      if (unproven.closed >= UNPROVEN_MIN && unproven.closed > unproven.kept) return false;
      return kept >= KEPT_MIN && proven.closed <= all * UNUSUAL_RATIO;
    },
  };
}

function addFate({ kept, closed }: CloseCount, fate: WatchedFate): CloseCount {
  const scale = kept + closed < ANSWERS_MAX ? 1 : 0.5;
  const count = { kept: kept * scale, closed: closed * scale };
  count[fate] += 1;
  return count;
}
