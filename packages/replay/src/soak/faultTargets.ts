import { match } from 'ts-pattern';
import type { Fault, Target } from './faults';
import { DATA_CENTRES, SERVICES } from './fleet';
import type { Fleet, FleetEndpoint, FleetProcess } from './fleet';

const { compare: compareNumbers } = new Intl.Collator('en', { numeric: true });

/** Returns the names of what a fault keeps to itself until it is over. */
export function listTargetNames(fleet: Fleet, fault: Fault): string[] {
  return match(fault)
    .with({ kind: 'signals' }, { kind: 'orderly-end' }, ({ target }) =>
      listProcesses(fleet, target).map((stopped) => stopped.name),
    )
    .with({ kind: 'moved-routes' }, ({ kind, stop }) => [kind, ...listTargetNames(fleet, stop)])
    .with({ kind: 'roll-out' }, ({ service }) => listOldest(fleet, service).map(({ name }) => name))
    .with({ kind: 'instances-in-turn' }, ({ kind }) => [kind])
    .with({ kind: 'endpoints-in-turn' }, ({ service }) =>
      listServed(fleet, service).map(({ name }) => name),
    )
    .with({ kind: 'link' }, (link) => [getLink(fleet, link).name])
    .with({ kind: 'store' }, { kind: 'unreadable-rows' }, () => ['store'])
    .with({ kind: 'crash' }, ({ name }) => [name])
    .with({ kind: 'limited' }, ({ index }) => [`${getEndpoint(fleet, index).name} limit`])
    .with({ kind: 'full' }, { kind: 'reused-address' }, ({ index }) =>
      [index, index + 1].map((at) => getEndpoint(fleet, at).name),
    )
    .exhaustive();
}

/** Returns the names of what a fault disturbs all the time that it lasts. */
export function listDisturbedNames(fleet: Fleet, fault: Fault): string[] {
  // Each of these endpoints is disturbed by itself.
  return fault.kind === 'endpoints-in-turn' ? [fault.kind] : listTargetNames(fleet, fault);
}

/** Returns the processes of a target. */
export function listProcesses(fleet: Fleet, target: Target): FleetProcess[] {
  return match(target)
    .with({ kind: 'instance' }, ({ index }) => fleet.instances.slice(index, index + 1))
    .with({ kind: 'endpoints' }, ({ index, count: length }) =>
      fleet.endpoints.slice(index, index + length),
    )
    .with({ kind: 'service' }, ({ index, spared = 0 }) => {
      const served = listServed(fleet, index);
      return served.slice(0, served.length - spared);
    })
    .with({ kind: 'data-centre' }, ({ index }) =>
      fleet.instances.filter((instance) => instance.dataCentre === DATA_CENTRES[index]),
    )
    .with({ kind: 'all-instances' }, () => fleet.instances)
    .exhaustive();
}

/** Returns the endpoints of a service, named by its number from 0. */
export function listServed({ endpoints }: Fleet, service: number): FleetEndpoint[] {
  return endpoints.filter((endpoint) => endpoint.service === SERVICES[service]);
}

/** Returns the endpoints of the oldest version of a service, named by its number from 0. */
export function listOldest(fleet: Fleet, service: number): FleetEndpoint[] {
  const endpoints = listServed(fleet, service);
  const [oldest] = endpoints.map(({ version }) => version).sort(compareNumbers);
  return endpoints.filter(({ version }) => version === oldest);
}

/** Returns another version that the endpoint's service has, or the endpoint's own if there is none. */
export function findOtherVersion(
  { endpoints }: Fleet,
  { service, version }: FleetEndpoint,
): string {
  const other = endpoints.find((found) => found.service === service && found.version !== version);
  return other?.version ?? version;
}

/** Returns the name of a link and the group of its connections in the proxy. */
export function getLink(fleet: Fleet, { link, index }: Extract<Fault, { kind: 'link' }>) {
  const instance = fleet.instances[index];
  const endpoint = fleet.endpoints[index];
  return match(link)
    .with('callers', () => ({
      name: `${instance?.name} link`,
      group: instance?.callersLink.group ?? '',
    }))
    .with('store', () => ({
      name: `${instance?.name} store`,
      group: instance?.storeLink.group ?? '',
    }))
    .with('endpoint', () => ({
      name: `${endpoint?.name} link`,
      group: endpoint?.link.group ?? '',
    }))
    .exhaustive();
}

/** Returns the endpoint of the number, from 0; counts on from the first after the last one. */
export function getEndpoint({ endpoints }: Fleet, index: number): FleetEndpoint {
  const endpoint = endpoints[index % endpoints.length];
  if (!endpoint) throw new Error('a fleet has at least one endpoint');
  return endpoint;
}

/** Returns the endpoint of the name, if the fleet has it. */
export function findEndpoint({ endpoints }: Fleet, name: string): FleetEndpoint | undefined {
  return endpoints.find((endpoint) => endpoint.name === name);
}
