import { checkDefined, hashText } from '@pomeloroad/core';
import type { Random } from '@pomeloroad/core';
import type { ForwardAccount, ForwardConfiguration, ForwardService, Route } from '../types';

/** Hexadecimal digits of a hash that a fraction holds without loss. */
const FRACTION_DIGITS = 13;
const HEX_BASE = 16;

/** One version of the configuration, indexed for lookups. */
export interface RouteTable {
  configuration: ForwardConfiguration;
  /** Returns the host's route with the longest prefix that matches the path. */
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
      const [pathname = ''] = path.split('?', 1);
      for (
        let end = pathname.lastIndexOf('/');
        end >= 0;
        end = pathname.lastIndexOf('/', end - 1)
      ) {
        const found = routes.get(getRouteKey(host, pathname.slice(0, end + 1)));
        if (found || end === 0) return found;
      }
      return undefined;
    },
    findAccount: (key) => accounts.get(key),
    findService: (name) => services.get(name),
  };
}

/**
 * Returns the one of the route's services to which streams of the name belong, by their weights. It is the same
 * at all instances, so that a stream is taken up at the service that began it.
 */
export function placeStream(route: Route, stream: string): string {
  const digits = hashText(stream).slice(0, FRACTION_DIGITS);
  const fraction = parseInt(digits, HEX_BASE) / HEX_BASE ** FRACTION_DIGITS;
  return chooseService(route, { fraction: () => fraction });
}

/** Chooses one of the route's services at random by their weights. */
export function chooseService(route: Route, random: Pick<Random, 'fraction'>): string {
  const sum = route.targets.reduce((total, target) => total + target.weight, 0);
  let remaining = random.fraction() * sum;
  const chosen = route.targets.find((target) => {
    remaining -= target.weight;
    return remaining < 0;
  });
  return (chosen ?? checkDefined(route.targets[0], 'route has no target service')).service;
}

function getRouteKey(host: string, prefix: string): string {
  const [name = ''] = host.toLowerCase().split(':', 1);
  return `${name} ${prefix}`;
}
