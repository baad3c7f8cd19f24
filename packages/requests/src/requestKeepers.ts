import { getOwner } from '@pomeloroad/core';
import type { Clock, Identity, Milliseconds } from '@pomeloroad/core';
import type { RequestName } from './types';

/** Longer than the views of two instances differ after the membership of the fleet changes. */
const VIEW_TRANSITION_MS = 5000;

/** Dependencies of choosing keepers. */
export interface RequestKeepersHost {
  clock: Clock;
  self: Identity;
  /** Connected instances of the whole fleet, this one included unless it is leaving. */
  getInstances(): Identity[];
  /** Whether every instance known as live is connected. */
  isFleetComplete(): boolean;
}

/** The keepers of request names: instances chosen by rendezvous hashing over a view of the fleet. */
export interface RequestKeepers {
  /** Returns the keeper by the present view; this instance if the view is empty. */
  get(name: RequestName): string;
  /** Returns the keepers by earlier views that other instances may still use. */
  listRecent(name: RequestName): string[];
  /** Names of the instances in the present view. */
  listInstances(): string[];
  /** Whether other instances may still use an earlier view. */
  isInTransition(): boolean;
  /** Whether all instances choose the same keepers, as far as this instance knows. */
  isStable(): boolean;
  /**
   * Reads the membership of the fleet. Returns which names have another keeper since then; `undefined` if
   * the members are the same.
   */
  update(): ((name: RequestName) => boolean) | undefined;
}

/** Creates the keepers by the present members of the fleet. */
export function createRequestKeepers(host: RequestKeepersHost): RequestKeepers {
  const { clock } = host;
  let view = host.getInstances();
  /** Earlier views that other instances may still use, the oldest first. */
  let recentViews: { view: Identity[]; until: Milliseconds }[] = [];

  function getKeeper(instances: Identity[], name: RequestName): string {
    return findKeeper(instances, name) ?? host.self.instance;
  }

  function isInTransition(): boolean {
    recentViews = recentViews.filter((recent) => clock.elapsed() < recent.until);
    return recentViews.length > 0;
  }

  return {
    get: (name) => getKeeper(view, name),
    listRecent(name) {
      const keepers = recentViews.map((recent) => getKeeper(recent.view, name));
      return [...new Set(keepers)];
    },
    listInstances: () => view.map((identity) => identity.instance),
    isInTransition,
    isStable: () => host.isFleetComplete() && !isInTransition(),
    update() {
      const next = host.getInstances();
      if (isSameView(view, next)) return undefined;
      const before = view;
      recentViews.push({ view: before, until: clock.elapsed() + VIEW_TRANSITION_MS });
      view = next;
      return (name) => getKeeper(before, name) !== getKeeper(next, name);
    },
  };
}

// Selects the data centre first and then the instance in it. In a large fleet, a name's keeper then
// depends only on how the home data centre sees its own members.
function findKeeper(instances: Identity[], { account, key }: RequestName): string | undefined {
  const id = JSON.stringify([account, key]);
  const dataCentres = [...new Set(instances.map((identity) => identity.dataCentre))];
  const home = getOwner(id, dataCentres);
  const members = instances.filter((identity) => identity.dataCentre === home);
  return getOwner(
    id,
    members.map((identity) => identity.instance),
  );
}

function isSameView(left: Identity[], right: Identity[]): boolean {
  const toIncarnations = (view: Identity[]) =>
    view.map(({ instance, incarnation }) => `${instance}/${incarnation}`).sort();
  return JSON.stringify(toIncarnations(left)) === JSON.stringify(toIncarnations(right));
}
