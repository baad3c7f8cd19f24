import {
  createId,
  createLineWriter,
  createLog,
  createMemoryAccount,
  createPauseGuard,
  createSystemClock,
  createSystemRandom,
  Diagnostics,
  reportMemoryRefusals,
} from '@pomeloroad/core';
import type { Identity } from '@pomeloroad/core';
import { createBudgetClient, createKeepers, createLedger } from '@pomeloroad/budgets';
import type { GrantPolicy } from '@pomeloroad/budgets';
import { createConfigurationStore, createDistributor } from '@pomeloroad/configuration';
import type { RoutingPolicy } from '@pomeloroad/configuration';
import type { Peer } from '@pomeloroad/peers';
import { createBatchTable, createHttpPlatform, createLease } from '@pomeloroad/storage';
import { createAnswerStore, createClaims, createRequestRegistry } from '@pomeloroad/requests';
import { createAdmission, createEndpoints } from '@pomeloroad/routing';
import type { RouteRequest } from '@pomeloroad/routing';
import { serveAnswers } from './answerSource';
import { createCallerServer } from './callerServer';
import { drainInstance } from './drain';
import { createEngineClient } from './engineClient';
import { createFleet } from './fleet';
import { dumpInstance } from './instanceDump';
import { createInstanceMetrics } from './instanceMetrics';
import { createInstanceNetwork, readCertificate } from './instanceNetwork';
import { createLoadCollector } from './loads';
import { createAnswerOpener } from './answerOpener';
import { findLostRequest, stopLostRequest } from './lostRequests';
import { createOperatorServer } from './operators';
import { createReconciler } from './reconciler';
import { createOrderIssuer } from './orders';
import { startPeriodicTasks } from './periodicTasks';
import { createRunner } from './runner';
import { createServiceClient } from './serviceClient';
import type { Settings } from './settings';

const STDOUT_FD = 1;
const ORDER_LEASE_TTL_MS = 5000;
const WRITE_RETRY_TIMEOUT_MS = 5000;

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
  const clock = createSystemClock();
  const random = createSystemRandom();
  const { instance, dataCentre } = settings;
  const self: Identity = { instance, dataCentre, incarnation: createId() };
  const lineWriter = createLineWriter(clock, STDOUT_FD);
  const log = createLog(clock, settings.logLevel, { ...self }, lineWriter.write);
  const stop = new AbortController();
  let isDraining = false;
  let isTableUnavailable = false;

  const platform = createHttpPlatform(
    {
      clock,
      onAvailability(service, isAvailable) {
        if (service === 'table') isTableUnavailable = !isAvailable;
        const { platformRecovered, platformUnavailable } = Diagnostics;
        log(isAvailable ? platformRecovered : platformUnavailable, { service });
      },
    },
    { ...settings, timeout: settings.platformTimeout },
  );
  const table = createBatchTable({ clock, random }, platform.table, {
    writesPerSecond: settings.writesPerSecond,
    patience: WRITE_RETRY_TIMEOUT_MS,
  });
  const network = createInstanceNetwork({ clock, random, log }, self, settings);
  const peersAddress = await network.listen();
  const fleet = createFleet(
    {
      clock,
      self,
      network,
      membership: platform.membership,
      seeds: settings.seeds.map(createSeedPeer),
      onChange: () => {
        refreshRouting();
        registry.updateView();
      },
    },
    settings.advertisedAddress || peersAddress,
  );
  const { getLocalInstances, getInstances, isLive, isLost } = fleet;

  const store = createConfigurationStore(clock, table, platform.objects);
  const distributor = createDistributor({
    clock,
    log,
    self,
    network,
    store,
    getLocalInstances,
    getInstances,
    onChange: () => refreshRouting(),
  });
  const { getConfiguration } = distributor;

  const endpoints = createEndpoints({ clock, log });
  const admission = createAdmission(
    {
      clock,
      random,
      dataCentre,
      endpoints,
      getPolicy: (request) => getPolicy(request),
      getAccount: (name) => getConfiguration()?.accounts.find((account) => account.name === name),
    },
    settings.queueLimit,
  );
  const guard = createPauseGuard(clock, async () => {
    await Promise.all([fleet.poll(), distributor.refresh()]);
  });
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

  const orders = createOrderIssuer({
    clock,
    log,
    lease: createLease({ clock, table, self }, `orders/${dataCentre}`, ORDER_LEASE_TTL_MS),
    engine,
    dataCentre,
    listEndpoints: () => endpoints.list().map((view) => view.endpoint),
  });
  const budgets = createBudgetClient({ clock, random, self, network, getLocalInstances });
  const keepers = createKeepers({
    clock,
    log,
    self,
    table,
    objects: platform.objects,
    network,
    policy: getGrantPolicy(settings),
    getDataCentres: () => fleet.getDataCentres().length,
    getLocalInstances,
    isTableUnreachable: () => isTableUnavailable,
    isLive,
    isLost,
    stopRequest: (placements, reserved) => stopLostRequest(engine, placements, reserved),
  });

  const answers = createAnswerStore(clock, {
    retention: settings.answerRetention,
    capacityBytes: settings.answerCapacity,
  });
  const registry = createRequestRegistry({
    clock,
    self,
    network,
    retention: settings.answerRetention,
    getLocalInstances,
    getInstances,
    isLive,
    isFleetComplete: fleet.isComplete,
    findReservation: (request) => findLostRequest({ self, keepers, isLive }, request),
  });
  const ledger = createLedger({ clock, table });
  const { objects } = platform;
  const reconciler = createReconciler({
    clock,
    self,
    ledger,
    objects,
    registry,
    getLocalInstances,
  });
  const runner = createRunner({
    clock,
    log,
    self,
    settings,
    budgets,
    answers,
    claims: createClaims(clock, table, self),
    registry,
    admission,
    guard,
    refreshEndpoint: loads.refresh,
    engine,
    services: createServiceClient(settings),
  });
  serveAnswers(clock, network, answers);
  const opener = createAnswerOpener({ clock, self, network, answers, registry, runner });
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

  function refreshRouting(): void {
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

function getGrantPolicy(settings: Settings): GrantPolicy {
  if (settings.grants !== 'adaptive') return { kind: settings.grants };
  return { kind: 'adaptive', horizonSeconds: settings.grantHorizon };
}

function createSeedPeer(address: string): Peer {
  return { identity: { instance: `seed ${address}`, incarnation: '', dataCentre: '' }, address };
}
