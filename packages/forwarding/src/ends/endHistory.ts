/** Maximum number of services, and of endpoints, that are remembered; the longest known is forgotten first. */
const NAMES_MAX = 1000;

/** What earlier ends of streams have shown, wherever a second endpoint was asked for the rest. */
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
}

/** Creates a history of no ends. */
export function createEndHistory(): EndHistory {
  const closing = new Set<string>();
  const early = new Set<string>();
  return {
    noteStatement: (service) => closing.delete(service),
    noteConfirmedClose: (service) => remember(closing, service),
    endsByClose: (service) => closing.has(service),
    noteChecked(endpoint, isEarly) {
      if (isEarly) remember(early, endpoint);
      else early.delete(endpoint);
    },
    endsEarly: (endpoint) => early.has(endpoint),
  };
}

function remember(names: Set<string>, name: string): void {
  names.add(name);
  const [oldest] = names;
  if (names.size > NAMES_MAX && oldest !== undefined) names.delete(oldest);
}
