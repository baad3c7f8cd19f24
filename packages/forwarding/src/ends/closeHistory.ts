import type { ConnectionFate } from '../types';

/** Maximum number of services that are remembered; the longest known is forgotten first. */
const SERVICES_MAX = 1000;
/** Number of connections that have to be kept before a close is unusual. */
const KEPT_MIN = 3;
/** Number of answers at which earlier ones begin to count less. */
const ANSWERS_MAX = 60;
/** Fraction of the connections that may close with their answers while a close is unusual. */
const UNUSUAL_RATIO = 0.1;

/** Connections of a service that were kept after answers, and those that closed with them without an announcement. */
interface CloseCount {
  kept: number;
  closed: number;
}

const NO_ANSWERS: CloseCount = { kept: 0, closed: 0 };

/**
 * What endpoints do with connections that are to be kept. One that closes a connection just after an answer, and has not
 * announced it, is likely in trouble, unless endpoints of its service do so after other answers too.
 */
export interface CloseHistory {
  /** Notes what became of a connection that was to be kept after an answer; a close only after a whole one. */
  note(service: string, fate: Extract<ConnectionFate, 'kept' | 'closed'>): void;
  /** Whether endpoints of the service are known to keep connections. */
  isCloseUnusual(service: string): boolean;
}

/** Creates a history of no answers. */
export function createCloseHistory(): CloseHistory {
  const counts = new Map<string, CloseCount>();
  return {
    note(service, fate) {
      const { kept, closed } = counts.get(service) ?? NO_ANSWERS;
      const scale = kept + closed < ANSWERS_MAX ? 1 : 0.5;
      const count = { kept: kept * scale, closed: closed * scale };
      count[fate] += 1;
      counts.delete(service);
      counts.set(service, count);
      const [oldest] = counts.keys();
      if (counts.size > SERVICES_MAX && oldest !== undefined) counts.delete(oldest);
    },
    isCloseUnusual(service) {
      const { kept, closed } = counts.get(service) ?? NO_ANSWERS;
      return kept >= KEPT_MIN && closed <= (kept + closed) * UNUSUAL_RATIO;
    },
  };
}
