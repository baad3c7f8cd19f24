/** Maximum number of endpoints that are remembered; the longest known is forgotten first. */
const ENDPOINTS_MAX = 10_000;

/**
 * Remembers which endpoints have stated the end of a stream. If one of them closes a connection
 * without a statement, its stream has probably broken off; of the others it is the usual end.
 */
export interface EndStatements {
  add(endpoint: string): void;
  has(endpoint: string): boolean;
}

/** Creates a memory of no endpoint. */
export function createEndStatements(): EndStatements {
  const endpoints = new Set<string>();
  return {
    add(endpoint) {
      endpoints.add(endpoint);
      const [oldest] = endpoints;
      if (endpoints.size > ENDPOINTS_MAX && oldest !== undefined) endpoints.delete(oldest);
    },
    has: (endpoint) => endpoints.has(endpoint),
  };
}
