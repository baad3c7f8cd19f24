import { match } from 'ts-pattern';
import { assert, getOwner } from '@pomeloroad/core';
import type { Random } from '@pomeloroad/core';
import type { RoutingPolicy } from '@pomeloroad/configuration';
import type { EndpointView, PromptPart } from './types';

/** Returns the number of requests on the endpoint from this instance and from others. */
export function getLoad(view: EndpointView): number {
  return view.inFlight + view.othersInFlight;
}

/** Returns whether the endpoint can take one more request. */
export function hasCapacity(view: EndpointView): boolean {
  const isWithinShare = view.slotShare === undefined || view.inFlight < view.slotShare;
  return isWithinShare && getLoad(view) < view.endpoint.concurrency;
}

/** Maximum load of an endpoint that is chosen for its cache, as a multiple of the mean load. */
const AFFINITY_LOAD_RATIO_MAX = 1.25;
/** Requests allowed above that bound, so that prompts are not spread out when loads are small. */
const AFFINITY_LOAD_ALLOWANCE_REQUESTS = 2;

/** Inputs of a choice besides the candidates. */
export interface ChoiceInput {
  random: Random;
  /** Number of choices made so far. */
  turn: number;
  prefix?: PromptPart[];
}

/** Chooses one of the candidates by the policy; throws if there are none. */
export function chooseEndpoint(
  policy: RoutingPolicy,
  candidates: EndpointView[],
  { random, turn, prefix = [] }: ChoiceInput,
): EndpointView {
  assert(candidates.length > 0, 'no candidate endpoint to choose from');
  return match(policy)
    .with({ kind: 'round-robin' }, () => getCandidate(candidates, turn % candidates.length))
    .with({ kind: 'random-two' }, () => {
      const first = getCandidate(candidates, random.integer(0, candidates.length - 1));
      const second = getCandidate(candidates, random.integer(0, candidates.length - 1));
      return getRelativeLoad(second) < getRelativeLoad(first) ? second : first;
    })
    .with({ kind: 'least-in-flight' }, () => pickLeastLoaded(candidates, random))
    .with({ kind: 'prefix-affinity' }, () => pickByPrefix(candidates, random, prefix))
    .exhaustive();
}

// All instances rank the endpoints for a shared prompt part alike, so requests with that part reach
// the endpoint that caches it without coordination. The load bound spreads a popular part.
function pickByPrefix(
  candidates: EndpointView[],
  random: Random,
  prefix: PromptPart[],
): EndpointView {
  const shared = prefix[prefix.length - 2];
  if (!shared) return pickLeastLoaded(candidates, random);
  const loads = candidates.map(getLoad);
  const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
  const bound = mean * AFFINITY_LOAD_RATIO_MAX + AFFINITY_LOAD_ALLOWANCE_REQUESTS;
  const eligible = candidates.filter((view) => getLoad(view) <= bound);
  const names = eligible.map((view) => view.endpoint.name);
  const owner = getOwner(shared.id, names);
  return (
    eligible.find((view) => view.endpoint.name === owner) ?? pickLeastLoaded(candidates, random)
  );
}

// Breaks ties at random; otherwise all instances would send to the same idle endpoint.
function pickLeastLoaded(candidates: EndpointView[], random: Random): EndpointView {
  const least = Math.min(...candidates.map(getRelativeLoad));
  const leastLoaded = candidates.filter((view) => getRelativeLoad(view) === least);
  return getCandidate(leastLoaded, random.integer(0, leastLoaded.length - 1));
}

function getRelativeLoad(view: EndpointView): number {
  return getLoad(view) / view.endpoint.concurrency;
}

function getCandidate(candidates: EndpointView[], index: number): EndpointView {
  const view = candidates[index];
  assert(view !== undefined, 'candidate index out of range');
  return view;
}
