import { checkDefined } from '@pomeloroad/core';
import type { Random } from '@pomeloroad/core';
import type { ForwardAccount, ForwardConfiguration, ForwardService, Route } from './types';

/** One version of the configuration, indexed for look-ups. */
export interface RouteTable {
  configuration: ForwardConfiguration;
  /** The route of the host with the longest prefix that begins the path. */
  findRoute(host: string, path: string): Route | undefined;
  findAccount(key: string): ForwardAccount | undefined;
  findService(name: string): ForwardService | undefined;
}

/** Indexes a configuration. */
export function createRouteTable(configuration: ForwardConfiguration): RouteTable {
  const routes = new Map(
    configuration.routes.map((route) => [getRouteKey(route.host, route.prefix), route]),
  );
  const accounts = new Map(
    configuration.accounts.flatMap((account) => account.keys.map((key) => [key, account])),
  );
  const services = new Map(configuration.services.map((service) => [service.name, service]));
  return {
    configuration,
    findRoute(host, path) {
      const [bare = ''] = path.split('?', 1);
      for (let end = bare.lastIndexOf('/'); end >= 0; end = bare.lastIndexOf('/', end - 1)) {
        const found = routes.get(getRouteKey(host, bare.slice(0, end + 1)));
        if (found || end === 0) return found;
      }
      return undefined;
    },
    findAccount: (key) => accounts.get(key),
    findService: (name) => services.get(name),
  };
}

/** Chooses a service of the route by the weights. */
export function chooseService(route: Route, random: Random): string {
  const sum = route.targets.reduce((total, target) => total + target.weight, 0);
  let left = random.fraction() * sum;
  const chosen = route.targets.find((target) => {
    left -= target.weight;
    return left < 0;
  });
  return (chosen ?? checkDefined(route.targets[0], 'a route without a service')).service;
}

function getRouteKey(host: string, prefix: string): string {
  const [name = ''] = host.toLowerCase().split(':', 1);
  return `${name} ${prefix}`;
}
