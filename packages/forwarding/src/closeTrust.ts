/** Maximum number of endpoints that are remembered; the longest known is forgotten first. */
const TRUSTED_MAX = 10_000;

/**
 * Remembers which endpoints end complete streams by closing the connection. Of the others, a close
 * may as well end a stream that broke off.
 */
export interface CloseTrust {
  isTrusted(endpoint: string): boolean;
  /** Records that a stream of the endpoint was complete when its connection closed. */
  add(endpoint: string): void;
  /** Records that the endpoint states the end of a stream, or closes before it. */
  remove(endpoint: string): void;
}

/** Creates a memory that trusts no endpoint. */
export function createCloseTrust(): CloseTrust {
  const trusted = new Set<string>();
  return {
    isTrusted: (endpoint) => trusted.has(endpoint),
    add(endpoint) {
      trusted.add(endpoint);
      const [oldest] = trusted;
      if (trusted.size > TRUSTED_MAX && oldest !== undefined) trusted.delete(oldest);
    },
    remove: (endpoint) => trusted.delete(endpoint),
  };
}
