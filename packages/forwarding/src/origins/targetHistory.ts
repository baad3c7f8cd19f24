import type { Clock, Milliseconds } from '@pomeloroad/core';
import { placeStream } from '../store/routeTable';
import type { RouteTable } from '../store/routeTable';
import type { Route } from '../types';
import { STREAM_TIME_MAX_MS } from './versionHistory';

/** Where the streams of each route went lately. */
export interface TargetHistory {
  /** Replaces the routes in force. */
  update(table: RouteTable): void;
  /**
   * Returns the services at which the stream may have begun that its caller takes up on the route; the one to
   * which it belongs now is the first.
   */
  findServices(route: Route, stream: string): string[];
  /** Whether streams that callers may still take up began at services that their routes had before. */
  hasChangedAnywhere(): boolean;
}

/** A route in whose place another one is, or the same with other targets. */
interface FormerRoute {
  route: Route;
  /** Host and prefix of the one that is in its place. */
  successor: string;
  replacedAt: Milliseconds;
}

/** Creates a history without routes. */
export function createTargetHistory(clock: Clock): TargetHistory {
  let current: RouteTable | undefined;
  let former: FormerRoute[] = [];

  function prune(): void {
    const since = clock.elapsed() - STREAM_TIME_MAX_MS;
    // They stand in the order of their times.
    const kept = former.findIndex(({ replacedAt }) => replacedAt >= since);
    if (kept !== 0) former = kept < 0 ? [] : former.slice(kept);
  }

  function noteFormer(route: Route | undefined, successor: Route | undefined): void {
    if (!route?.isResumable || !successor || hasSameTargets(route, successor)) return;
    former.push({ route, successor: getKey(successor), replacedAt: clock.elapsed() });
  }

  return {
    update(table) {
      const last = current;
      current = table;
      prune();
      if (!last) return;
      const { routes } = table.configuration;
      const keys = new Set(routes.map(getKey));
      // Requests of a new route went to the one with the longest prefix before, if any.
      routes.forEach((route) => noteFormer(last.findRoute(route.host, route.prefix), route));
      last.configuration.routes
        .filter((route) => !keys.has(getKey(route)))
        .forEach((route) => noteFormer(route, table.findRoute(route.host, route.prefix)));
    },
    findServices(route, stream) {
      prune();
      const key = getKey(route);
      const routes = former.filter(({ successor }) => successor === key).map((each) => each.route);
      return [...new Set([route, ...routes].map((each) => placeStream(each, stream)))];
    },
    hasChangedAnywhere() {
      prune();
      return former.length > 0;
    },
  };
}

function getKey({ host, prefix }: Route): string {
  return JSON.stringify([host, prefix]);
}

function hasSameTargets(left: Route, right: Route): boolean {
  return JSON.stringify(left.targets) === JSON.stringify(right.targets);
}
