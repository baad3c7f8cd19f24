import { createMemoryAccount, Diagnostics, reportMemoryRefusals } from '@pomeloroad/core';
import type { Identity } from '@pomeloroad/core';
import type { Peer } from '@pomeloroad/peers';
import { createLease } from '@pomeloroad/storage';
import { createCallerServer } from './callerServer';
import { drainInstance } from './drain';
import { createFleet } from './fleet';
import { createInstanceBase } from './instanceBase';
import { dumpInstance } from './instanceDump';
import { createInstanceMetrics } from './instanceMetrics';
import { readCertificate } from './instanceNetwork';
import { createInstanceRequests } from './instanceRequests';
import { createInstanceRouting } from './instanceRouting';
import { createOperatorServer } from './operators';
import { createOrderIssuer } from './orders';
import { startPeriodicTasks } from './periodicTasks';
import type { Settings } from './settings';

const ORDER_LEASE_TTL_MS = 5000;

/** A running instance and the addresses in use. */
export interface Instance {
  identity: Identity;
  callersAddress: string;
  peersAddress: string;
  operatorsAddress: string;
  /** Drains and stops the instance; resolves to `false` if the drain timeout cut anything off. */
  drain(): Promise<boolean>;
}

/** Starts an instance; resolves once it listens for callers, peers and operators. */
export async function startInstance(settings: Settings): Promise<Instance> {
  const { dataCentre } = settings;
  const base = createInstanceBase(settings);
  const { clock, log, self, platform, table, network } = base;
  const stop = new AbortController();
  let isDraining = false;

  const peersAddress = await network.listen();
  const fleet = createFleet(
    {
      clock,
      self,
      network,
      membership: platform.membership,
      seeds: settings.seeds.map(createSeedPeer),
      onChange: () => {
        routing.refresh();
        registry.updateView();
      },
    },
    settings.advertisedAddress || peersAddress,
  );
  const routing = createInstanceRouting(base, settings, fleet);
  const { store, distributor, endpoints, admission, engine, loads } = routing;
  const { getConfiguration } = distributor;
  const orders = createOrderIssuer({
    clock,
    log,
    lease: createLease({ clock, table, self }, `orders/${dataCentre}`, ORDER_LEASE_TTL_MS),
    engine,
    dataCentre,
    listEndpoints: () => endpoints.list().map((view) => view.endpoint),
  });
  const requests = createInstanceRequests(base, routing, settings, fleet);
  const { budgets, keepers, ledger, answers, registry, reconciler, runner, opener } = requests;
  const metrics = createInstanceMetrics();
  metrics.addGauges({
    running: runner.running,
    waiting: admission.waiting,
    answers: answers.count,
    pendingSettlements: budgets.countPendingSettlements,
    configurationVersion: distributor.getVersion,
    connectedPeers: () => network.describe().filter((peer) => peer.state === 'connected').length,
  });

  const tls = readCertificate(settings.tlsCert, settings.tlsKey);
  const memory = createMemoryAccount({ clock, limit: settings.memoryLimit });
  const callers = createCallerServer(
    {
      clock,
      self,
      settings,
      memory,
      opener,
      metrics,
      getConfiguration,
      isDraining: () => isDraining,
    },
    tls,
  );
  const operators = createOperatorServer(
    {
      settings,
      platform,
      ledger,
      applyHost: { store, distributor, listInstances: fleet.listInstances },
      distributor,
      isReady: () => !isDraining && getConfiguration() !== undefined,
      renderMetrics: metrics.render,
      dump: () => dumpInstance(parts),
    },
    tls,
  );

  /** What the state dump, the drain and the periodic tasks use of the instance. */
  const parts = {
    ...{ clock, log, self, settings, fleet, network, distributor, endpoints, admission, loads },
    ...{ orders, budgets, keepers, answers, registry, reconciler, runner, callers, operators },
    isDraining: () => isDraining,
  };

  async function drain(): Promise<boolean> {
    isDraining = true;
    return drainInstance({ ...parts, stopLoops: () => stop.abort() });
  }

  await fleet.poll();
  await distributor.poll();
  await loads.poll();
  startPeriodicTasks({ ...parts, signal: stop.signal });
  reportMemoryRefusals({ clock, log, signal: stop.signal }, memory);
  const callersAddress = await callers.listen();
  const operatorsAddress = await operators.listen();
  log(Diagnostics.instanceStarted, { callersAddress, peersAddress, operatorsAddress });
  return { identity: self, callersAddress, peersAddress, operatorsAddress, drain };
}

function createSeedPeer(address: string): Peer {
  return { identity: { instance: `seed ${address}`, incarnation: '', dataCentre: '' }, address };
}
