import { match } from 'ts-pattern';
import { assert } from '@pomeloroad/core';
import type { Random } from '@pomeloroad/core';
import type { RoutingPolicy } from '@pomeloroad/configuration';
import type { EndpointView } from './types';

/** Requests on the endpoint, own and of others. */
export function getLoad(view: EndpointView): number {
  return view.inFlight + view.othersInFlight;
}

/** Whether the endpoint takes one more request. */
export function hasRoom(view: EndpointView): boolean {
  return getLoad(view) < view.endpoint.concurrency;
}

/** Picks one of the candidates; `turn` counts the choices made so far. */
export function chooseEndpoint(
  policy: RoutingPolicy,
  candidates: EndpointView[],
  random: Random,
  turn: number,
): EndpointView {
  assert(candidates.length > 0, 'no candidate to choose from');
  return match(policy)
    .with({ kind: 'round-robin' }, () => pick(candidates, turn % candidates.length))
    .with({ kind: 'random-two' }, () => {
      const first = pick(candidates, random.integer(0, candidates.length - 1));
      const second = pick(candidates, random.integer(0, candidates.length - 1));
      return getRelativeLoad(second) < getRelativeLoad(first) ? second : first;
    })
    .with({ kind: 'least-in-flight' }, () => pickLeastLoaded(candidates, random))
    .exhaustive();
}

// Ties are broken at random: otherwise all instances would send to the same idle endpoint.
function pickLeastLoaded(candidates: EndpointView[], random: Random): EndpointView {
  const least = Math.min(...candidates.map(getRelativeLoad));
  const idlest = candidates.filter((view) => getRelativeLoad(view) === least);
  return pick(idlest, random.integer(0, idlest.length - 1));
}

function getRelativeLoad(view: EndpointView): number {
  return getLoad(view) / view.endpoint.concurrency;
}

function pick(candidates: EndpointView[], index: number): EndpointView {
  const view = candidates[index];
  assert(view !== undefined, 'a choice outside of the candidates');
  return view;
}
