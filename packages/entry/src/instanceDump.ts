import type { Identity } from '@pomeloroad/core';
import type { BudgetClient, Keepers } from '@pomeloroad/budgets';
import type { Distributor } from '@pomeloroad/configuration';
import type { PeerNetwork } from '@pomeloroad/peers';
import type { AnswerStore, RequestRegistry } from '@pomeloroad/requests';
import type { Admission, Endpoints } from '@pomeloroad/routing';
import type { CallerServer } from './callerServer';
import type { Fleet } from './fleet';
import type { Reconciler } from './reconciler';
import type { Runner } from './runner';

const MICROSECONDS_PER_SECOND = 1e6;

/** Parts of an instance whose state is dumped. */
export interface DumpHost {
  self: Identity;
  fleet: Fleet;
  network: PeerNetwork;
  distributor: Distributor;
  callers: CallerServer;
  runner: Runner;
  admission: Admission;
  answers: AnswerStore;
  registry: RequestRegistry;
  reconciler: Reconciler;
  budgets: BudgetClient;
  keepers: Keepers;
  endpoints: Endpoints;
  isDraining(): boolean;
}

/** Returns the state of an instance for its operators, as JSON can hold it. */
export function dumpInstance(host: DumpHost): unknown {
  const { fleet, network, distributor, callers, runner, admission, answers, budgets } = host;
  const processorTime = process.cpuUsage();
  return {
    identity: host.self,
    isDraining: host.isDraining(),
    uptimeSeconds: Math.round(process.uptime()),
    memoryBytes: process.memoryUsage.rss(),
    processorSeconds: (processorTime.user + processorTime.system) / MICROSECONDS_PER_SECOND,
    requests: { open: callers.open(), running: runner.running(), waiting: admission.waiting() },
    answers: { count: answers.count(), retainedBytes: answers.retainedBytes() },
    names: host.registry.count(),
    pendingSettlements: budgets.countPendingSettlements(),
    provisionalRuns: host.reconciler.pending(),
    isFleetComplete: fleet.isComplete(),
    configuration: distributor.describe(),
    drains: distributor.getDrains(),
    peers: network.describe(),
    localInstances: fleet.getLocalInstances(),
    budgets: host.keepers.describe(),
    witness: host.keepers.describeWitness(),
    endpoints: host.endpoints.list(),
  };
}
