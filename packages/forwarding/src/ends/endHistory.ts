import { createApartEnds } from './apartEnds';
import type { ApartEnds } from './apartEnds';
import { createConfirmers } from './confirmers';
import type { Confirmers } from './confirmers';

/** Maximum number of services, and of endpoints, that are remembered; the longest known is forgotten first. */
const NAMES_MAX = 1000;

/** Number of ends from which on it shows how the streams of a service usually end. */
const ENDS_MIN = 20;
/** Number of ends at which earlier ones begin to count less. */
const ENDS_MAX = 60;
/** Fraction of the ends that makes a way of ending the usual one. */
const USUAL_RATIO = 0.75;

/** Number of ends apart from the last event that have to be confirmed, with none too early, before they are usual. */
const CONFIRMED_MIN = 10;
/** Number of them that shows that endpoints of a service state ends late. */
const LATE_MIN = 3;

/** Ends of a service's streams, those apart from the last event, and those of them that were confirmed. */
interface EndCount {
  ends: number;
  apart: number;
  confirmed: number;
}

const NO_ENDS: EndCount = { ends: 0, apart: 0, confirmed: 0 };

/** How streams have ended lately, and what was shown where a second endpoint was asked for the rest. */
export interface EndHistory {
  /** Notes that an endpoint of the service has stated the end of a stream. */
  noteStatement(service: string): void;
  /** Notes that another endpoint of the service has confirmed an end by a close. */
  noteConfirmedClose(service: string): void;
  /**
   * Whether endpoints of the service are known to end streams with their connections. Where others state
   * their ends, a close is no usual end.
   */
  endsByClose(service: string): boolean;
  /** Notes whether another endpoint had more of a stream that the endpoint of this name ended in order. */
  noteChecked(endpoint: string, isEarly: boolean): void;
  /** Whether the latest end by the endpoint that was checked came too early. */
  endsEarly(endpoint: string): boolean;
  /** Returns the names of the endpoints of which that holds. */
  listEarly(): Iterable<string>;
  /** Notes whether something speaks against the latest end of a stream that the endpoint brought events of. */
  noteDoubt(endpoint: string, isDoubted: boolean): void;
  /** Returns the names of the endpoints whose latest such end is doubted and was not confirmed. */
  listDoubted(): Iterable<string>;
  /** Which endpoints may confirm ends. */
  confirmers: Confirmers;
  /** Which endpoints have ended streams apart from their last events. */
  apartEnds: ApartEnds;
  /** Notes that an endpoint of the service has ended a stream, and whether apart from its last event. */
  noteEnd(service: string, isApart: boolean): void;
  /** Notes whether another endpoint had more after an end apart from the last event. */
  noteCheckedApart(service: string, isEarly: boolean): void;
  /** Whether several ends of the service apart from the last event were confirmed since one came too early. */
  statesEndsLate(service: string): boolean;
  /**
   * Whether nearly all streams of the service lately end so, as those of engines that need a step to end one, and
   * those that were checked were whole.
   */
  endsApart(service: string): boolean;
}

/** Creates a history of no ends. */
export function createEndHistory(): EndHistory {
  const closing = new Set<string>();
  const early = new Set<string>();
  const doubted = new Set<string>();
  const confirmers = createConfirmers();
  const apartEnds = createApartEnds();
  const counts = new Map<string, EndCount>();
  return {
    confirmers,
    apartEnds,
    noteStatement: (service) => closing.delete(service),
    noteConfirmedClose: (service) => remember(closing, service),
    endsByClose: (service) => closing.has(service),
    noteChecked(endpoint, isEarly) {
      if (isEarly) remember(early, endpoint);
      else early.delete(endpoint);
      if (isEarly) return;
      doubted.delete(endpoint);
      apartEnds.clear(endpoint);
    },
    noteDoubt(endpoint, isDoubted) {
      if (isDoubted) remember(doubted, endpoint);
      else doubted.delete(endpoint);
    },
    listDoubted: () => doubted,
    endsEarly: (endpoint) => early.has(endpoint),
    listEarly: () => early,
    noteEnd(service, isApart) {
      const { ends, apart, confirmed } = counts.get(service) ?? NO_ENDS;
      const scale = ends < ENDS_MAX ? 1 : 0.5;
      counts.delete(service);
      const more = isApart ? 1 : 0;
      counts.set(service, { ends: ends * scale + 1, apart: apart * scale + more, confirmed });
      const [oldest] = counts.keys();
      if (counts.size > NAMES_MAX && oldest !== undefined) counts.delete(oldest);
    },
    noteCheckedApart(service, isEarly) {
      const count = counts.get(service);
      if (isEarly) counts.delete(service);
      else if (count) counts.set(service, { ...count, confirmed: count.confirmed + 1 });
    },
    statesEndsLate: (service) => (counts.get(service) ?? NO_ENDS).confirmed >= LATE_MIN,
    endsApart(service) {
      const { ends, apart, confirmed } = counts.get(service) ?? NO_ENDS;
      return ends >= ENDS_MIN && apart >= ends * USUAL_RATIO && confirmed >= CONFIRMED_MIN;
    },
  };
}

function remember(names: Set<string>, name: string): void {
  names.add(name);
  const [oldest] = names;
  if (names.size > NAMES_MAX && oldest !== undefined) names.delete(oldest);
}
