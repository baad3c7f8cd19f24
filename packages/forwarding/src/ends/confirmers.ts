/** Maximum number of services that are remembered; the longest known is forgotten first. */
const SERVICES_MAX = 1000;
/** Number of ends of a service after which an early one does not count any more. */
const ENDS_MAX = 20;
/** Number of ends that have to be confirmed after an early one until any endpoint may confirm again. */
const CONFIRMED_MIN = 3;

/** What is known of a service since one of its ends came too early. */
interface Trouble {
  /** Names of the endpoints that have shown since that they can go on. */
  able: Set<string>;
  /** Number of ends since. */
  ends: number;
  /** Number of them that were confirmed. */
  confirmed: number;
}

/**
 * Which endpoints of a service may confirm ends. What makes one endpoint end its streams early may be common to most of
 * them, such as load, a release or a cut, and those confirm each other's ends. Once one end came too early, only
 * endpoints may confirm others that have brought new events since, or whose own ends were confirmed by such.
 */
export interface Confirmers {
  /** Notes that an end by the endpoint came too early. */
  noteEarly(service: string, endpoint: string): void;
  /** Notes that the endpoint has brought new events behind the end of another one. */
  noteAble(service: string, endpoint: string): void;
  /** Notes that an end by the endpoint was confirmed. */
  noteConfirmed(service: string, endpoint: string): void;
  /** Notes that an endpoint of the service has ended a stream. */
  noteEnd(service: string): void;
  /** Whether an end of the service came too early lately. */
  hasTrouble(service: string): boolean;
  /** Returns the names of the endpoints that have shown since then that they can go on. */
  listAble(service: string): ReadonlySet<string>;
}

const NOBODY: ReadonlySet<string> = new Set();

/** Creates the knowledge of a process that has seen no end. */
export function createConfirmers(): Confirmers {
  const troubles = new Map<string, Trouble>();

  function hasTrouble(service: string): boolean {
    const trouble = troubles.get(service);
    if (!trouble) return false;
    return trouble.ends < ENDS_MAX && trouble.confirmed < CONFIRMED_MIN;
  }

  return {
    noteEarly(service, endpoint) {
      const able = new Set(hasTrouble(service) ? troubles.get(service)?.able : NOBODY);
      able.delete(endpoint);
      troubles.delete(service);
      troubles.set(service, { able, ends: 0, confirmed: 0 });
      const [oldest] = troubles.keys();
      if (troubles.size > SERVICES_MAX && oldest !== undefined) troubles.delete(oldest);
    },
    noteAble: (service, endpoint) => troubles.get(service)?.able.add(endpoint),
    noteConfirmed(service, endpoint) {
      const trouble = troubles.get(service);
      // Once the trouble has passed, ends are confirmed by endpoints of which nothing was shown.
      if (!trouble || !hasTrouble(service)) return;
      trouble.able.add(endpoint);
      trouble.confirmed += 1;
    },
    noteEnd(service) {
      const trouble = troubles.get(service);
      if (trouble) trouble.ends += 1;
    },
    hasTrouble,
    listAble: (service) => troubles.get(service)?.able ?? NOBODY,
  };
}
