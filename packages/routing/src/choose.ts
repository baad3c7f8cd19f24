import { match } from 'ts-pattern';
import { assert, getOwner } from '@pomeloroad/core';
import type { Random } from '@pomeloroad/core';
import type { RoutingPolicy } from '@pomeloroad/configuration';
import type { EndpointView, PromptPart } from './types';

/** Requests on the endpoint, own and of others. */
export function getLoad(view: EndpointView): number {
  return view.inFlight + view.othersInFlight;
}

/** Whether the endpoint takes one more request. */
export function hasRoom(view: EndpointView): boolean {
  return getLoad(view) < view.endpoint.concurrency;
}

/** How far above the mean the load of an endpoint may be that is chosen for its cache. */
const AFFINITY_BOUND = 1.25;
/** Requests above the bound that are allowed, so that small loads do not scatter prompts. */
const AFFINITY_SLACK = 2;

/** What a choice depends on besides the candidates. */
export interface ChoiceInput {
  random: Random;
  /** Counts the choices made so far. */
  turn: number;
  prefix?: PromptPart[];
}

/** Picks one of the candidates. */
export function chooseEndpoint(
  policy: RoutingPolicy,
  candidates: EndpointView[],
  { random, turn, prefix = [] }: ChoiceInput,
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
    .with({ kind: 'prefix-affinity' }, () => pickByPrefix(candidates, random, prefix))
    .exhaustive();
}

// All instances rank endpoints alike for a shared part, so its readers meet where it is cached,
// without a word between instances. The load bound keeps a popular part from one endpoint alone.
function pickByPrefix(
  candidates: EndpointView[],
  random: Random,
  prefix: PromptPart[],
): EndpointView {
  const shared = prefix[prefix.length - 2];
  if (!shared) return pickLeastLoaded(candidates, random);
  const loads = candidates.map(getLoad);
  const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
  const bound = mean * AFFINITY_BOUND + AFFINITY_SLACK;
  const open = candidates.filter((view) => getLoad(view) <= bound);
  const names = open.map((view) => view.endpoint.name);
  const owner = getOwner(shared.id, names);
  return open.find((view) => view.endpoint.name === owner) ?? pickLeastLoaded(candidates, random);
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
