import { createConfigurationStore, createDistributor } from '@pomeloroad/configuration';
import type { ConfigurationStore, Distributor, RoutingPolicy } from '@pomeloroad/configuration';
import { createAdmission, createEndpoints } from '@pomeloroad/routing';
import type { Admission, Endpoints, RouteRequest } from '@pomeloroad/routing';
import { createEngineClient } from './engineClient';
import type { EngineClient } from './engineTypes';
import type { Fleet } from './fleet';
import type { InstanceBase } from './instanceBase';
import { createLoadCollector } from './loads';
import type { LoadCollector } from './loads';
import type { Settings } from './settings';

/** What an instance knows of the configuration and the endpoints. */
export interface InstanceRouting {
  store: ConfigurationStore;
  distributor: Distributor;
  endpoints: Endpoints;
  admission: Admission;
  engine: EngineClient;
  loads: LoadCollector;
  /** Applies the configuration in force and the endpoints that are leaving to new requests. */
  refresh(): void;
}

/** Creates the routing of an instance that knows no configuration yet. */
export function createInstanceRouting(
  { clock, random, self, log, platform, table, network }: InstanceBase,
  settings: Settings,
  fleet: Fleet,
): InstanceRouting {
  const { dataCentre } = settings;
  const { getLocalInstances, getInstances } = fleet;
  const store = createConfigurationStore(clock, table, platform.objects);
  const distributor = createDistributor({
    clock,
    log,
    self,
    network,
    store,
    getLocalInstances,
    getInstances,
    onChange: refresh,
  });
  const { getConfiguration } = distributor;
  const endpoints = createEndpoints({ clock, log });
  const admission = createAdmission(
    {
      clock,
      random,
      dataCentre,
      endpoints,
      getPolicy,
      getAccount: (name) => getConfiguration()?.accounts.find((account) => account.name === name),
    },
    settings.queueLimit,
  );
  const engine = createEngineClient(settings);
  const loads = createLoadCollector({
    self,
    network,
    engine,
    endpoints,
    getLocalInstances,
    getOtherInstances: () =>
      getInstances()
        .filter((peer) => peer.dataCentre !== dataCentre)
        .map((peer) => peer.instance),
  });

  function refresh(): void {
    const configuration = getConfiguration();
    if (configuration) endpoints.configure(configuration.endpoints);
    const drained = Object.keys(distributor.getDrains());
    endpoints.setLeaving(new Set([...drained, ...fleet.getLeavingEndpoints()]));
    admission.wake();
  }

  function getPolicy({ target }: RouteRequest): RoutingPolicy {
    const configuration = getConfiguration();
    const found =
      target.kind === 'engine'
        ? configuration?.pools.find((pool) => pool.model === target.model)
        : configuration?.services.find((service) => service.name === target.service);
    return found?.policy ?? { kind: 'least-in-flight' };
  }

  return { store, distributor, endpoints, admission, engine, loads, refresh };
}
