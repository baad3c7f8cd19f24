import { MS_PER_SECOND } from '@pomeloroad/core';
import type { Milliseconds } from '@pomeloroad/core';
import { hasCapacity } from './choose';
import type { EndpointView } from './types';

/** Returns the candidates to which a request may be sent now. */
export function findAvailable(candidates: EndpointView[]): EndpointView[] {
  return candidates.filter(hasCapacity).filter(isAttemptAllowed).filter(isDue);
}

// Allows one request at a time to probe whether an unreachable endpoint has recovered.
function isAttemptAllowed({ isUnreachable, inFlight }: EndpointView): boolean {
  return !isUnreachable || inFlight === 0;
}

function isDue({ isPaced, pausedFor }: EndpointView): boolean {
  return !isPaced && pausedFor === 0;
}

/** Returns the healthy candidates of the data centre, else the healthy ones of others, else all. */
export function preferCandidates(
  available: EndpointView[],
  dataCentre: string | undefined,
): EndpointView[] {
  const healthy = available.filter((view) => !view.isFailing);
  const local = healthy.filter((view) => view.endpoint.dataCentre === dataCentre);
  if (local.length > 0) return local;
  return healthy.length > 0 ? healthy : available;
}

/** Whether every candidate names a limit of its requests, or wants none for a time. */
export function areAllLimited(candidates: EndpointView[]): boolean {
  return candidates.every(({ rateShare, pausedFor }) => rateShare !== undefined || pausedFor > 0);
}

/**
 * Returns the time until one of the candidates can take a request that waits behind the others, if each
 * takes as long as the service time.
 */
export function estimateWait(
  candidates: EndpointView[],
  requestsAhead: number,
  serviceTime: Milliseconds,
): Milliseconds {
  const open = candidates.filter(({ pausedFor }) => pausedFor === 0);
  if (open.length === 0) return Math.min(...candidates.map(({ pausedFor }) => pausedFor));
  const throughput = open.reduce((sum, view) => sum + getThroughput(view, serviceTime), 0);
  return (requestsAhead + 1) / throughput;
}

// Requests a millisecond that the endpoint ends, or that it takes from this instance.
function getThroughput(
  { endpoint, rateShare, slotShare = Infinity }: EndpointView,
  serviceTime: Milliseconds,
): number {
  const capacity = Math.min(endpoint.concurrency, slotShare) / serviceTime;
  return rateShare === undefined ? capacity : Math.min(capacity, rateShare / MS_PER_SECOND);
}
