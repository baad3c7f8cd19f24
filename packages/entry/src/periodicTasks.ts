import { getOwner, runPeriodically } from '@pomeloroad/core';
import type { Clock, Milliseconds } from '@pomeloroad/core';
import type { Keepers } from '@pomeloroad/budgets';
import type { Distributor } from '@pomeloroad/configuration';
import type { Fleet } from './fleet';
import type { LoadCollector } from './loads';
import type { OrderIssuer } from './orders';
import type { Reconciler } from './reconciler';
import type { Settings } from './settings';

const FLEET_POLL_INTERVAL_MS = 1000;
const CONFIGURATION_POLL_INTERVAL_MS = 500;
const LOAD_POLL_INTERVAL_MS = 500;
const REAP_INTERVAL_MS = 1000;
const TRIM_INTERVAL_MS = 5000;
const ADOPT_INTERVAL_MS = 5000;
const RECONCILE_INTERVAL_MS = 1000;
const ORDER_POLL_INTERVAL_MS = 1000;

/** Parts of an instance that have periodic tasks. */
export interface PeriodicTasksHost {
  clock: Clock;
  /** Aborted when no task is to be run any more. */
  signal: AbortSignal;
  settings: Pick<Settings, 'instance' | 'settleInterval'>;
  fleet: Fleet;
  distributor: Distributor;
  loads: LoadCollector;
  keepers: Keepers;
  reconciler: Reconciler;
  orders: OrderIssuer;
  isDraining(): boolean;
}

/** Starts the periodic tasks of an instance; each runs at once, and again after its interval. */
export function startPeriodicTasks(host: PeriodicTasksHost): void {
  const { clock, signal, settings, fleet, keepers } = host;

  function schedule(interval: Milliseconds, task: () => Promise<void>): void {
    runPeriodically(clock, () => interval, signal, task);
  }

  // Hashing over the local instances selects the issuer. An instance with a wrong view of the fleet
  // only makes a needless attempt, because the lease admits one issuer at a time.
  async function pollOrders(): Promise<void> {
    const issuer = getOwner('orders', fleet.getLocalInstances());
    if (!host.isDraining() && issuer === settings.instance) await host.orders.poll();
  }

  schedule(FLEET_POLL_INTERVAL_MS, fleet.poll);
  schedule(CONFIGURATION_POLL_INTERVAL_MS, host.distributor.poll);
  schedule(LOAD_POLL_INTERVAL_MS, host.loads.poll);
  schedule(settings.settleInterval, keepers.settle);
  schedule(REAP_INTERVAL_MS, keepers.reap);
  schedule(TRIM_INTERVAL_MS, keepers.trim);
  schedule(ADOPT_INTERVAL_MS, keepers.adoptLost);
  schedule(RECONCILE_INTERVAL_MS, host.reconciler.poll);
  schedule(ORDER_POLL_INTERVAL_MS, pollOrders);
}
