import { rankNodes } from '@pomeloroad/core';

/**
 * Owners of a limited endpoint, by its limit: each may send one request more in a window than its share of
 * the limit, and all together may not pass one and a half times the limit and five more in 4 s.
 */
const OWNERS_PER_LIMIT = 1.6;
const OWNERS_EXTRA = 4;
/** An endpoint that takes less is asked as if it took so much; else nobody would learn that it takes more. */
const LIMIT_MIN_PER_S = 0.1;

/**
 * Returns the requests a second that an instance may send to an endpoint which takes `limit` of them from
 * all instances together; 0 if the instance is none of the endpoint's owners.
 */
export function getRateShare(
  endpoint: string,
  limit: number,
  instance: string,
  instances: readonly string[],
): number {
  const asked = Math.max(limit, LIMIT_MIN_PER_S);
  const count = Math.min(instances.length, Math.floor(asked * OWNERS_PER_LIMIT) + OWNERS_EXTRA);
  const owners = rankNodes(endpoint, instances).slice(0, count);
  return owners.includes(instance) ? asked / owners.length : 0;
}
