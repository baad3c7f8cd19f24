import { runPeriodically } from '@pomeloroad/core';
import type { Milliseconds, Random, Tokens } from '@pomeloroad/core';
import { BUDGET_TABLE, createEscrow, createEscrowLease } from '@pomeloroad/budgets';
import type { Escrow } from '@pomeloroad/budgets';
import { followTable } from '../store/follow';
import type { FollowHost } from '../store/follow';
import type { InstanceCount } from '../store/instanceCount';
import type { ForwardConfiguration } from '../types';

const POLL_DELAY_MS: Milliseconds = 300;
const REBALANCE_INTERVAL_MS: Milliseconds = 400;

/** Dependencies of the prepaid budgets. */
export interface PrepaidBudgetsHost extends FollowHost {
  random: Random;
  /** Name of the instance; it belongs to one machine, on which one process runs at a time. */
  instance: string;
  /** Identifies this run of the instance. */
  incarnation: string;
  /** The instances that share the budgets. */
  instanceCount: InstanceCount;
  /** Whether the store does not answer at present. */
  isStoreUnresponsive(): boolean;
  /** Time since the configuration was last read. */
  getConfigurationAge(): Milliseconds;
}

/** An instance's part of the accounts' prepaid budgets. */
export interface PrepaidBudgets {
  escrow: Escrow;
  /** Sets what each account has paid for; the first call also starts the lease of the instance. */
  configure(configuration: ForwardConfiguration): void;
}

/** Starts to follow the budgets and to rebalance the instance's grants, until the signal is aborted. */
export function startPrepaidBudgets(host: PrepaidBudgetsHost): PrepaidBudgets {
  const { clock, log, random, rows, signal, instance, incarnation, instanceCount } = host;
  let leaseStart: Promise<void> | undefined;
  const lease = createEscrowLease({
    ...{ clock, log, rows, signal, instance, incarnation },
    countInstances: instanceCount.get,
    isUsageCovered: () => escrow.isUsageCovered(),
  });
  const escrow = createEscrow({
    ...{ clock, random, log, rows, instance, incarnation },
    isStoreUnresponsive: host.isStoreUnresponsive,
    getReserveShare: lease.getReserveShare,
    getReserveDelay: lease.getReserveDelay,
    countInstances: instanceCount.get,
    listInstances: instanceCount.list,
    isFleetCounted: instanceCount.isConfirmed,
    getLimitsAge: host.getConfigurationAge,
  });
  followTable(host, {
    table: BUDGET_TABLE,
    // All rows of interest are in other partitions; the feed tells of their changes.
    partitions: [''],
    pause: POLL_DELAY_MS,
    onView(view) {
      escrow.startEra(view.era);
      escrow.applyChanges(view.rows);
    },
    onChanges: escrow.applyChanges,
    onUnavailable: () => undefined,
    onAvailable: () => undefined,
  });
  runPeriodically(
    clock,
    () => REBALANCE_INTERVAL_MS,
    signal,
    async () => escrow.rebalance(REBALANCE_INTERVAL_MS),
  );

  // Waits for a configuration, because it names the accounts whose grants the predecessor may hold.
  function startLease(): void {
    leaseStart ??= lease.start().then(async (predecessor) => {
      await escrow.reclaim(predecessor);
    });
  }

  return {
    escrow,
    configure(configuration) {
      escrow.setLimits(getLimits(configuration));
      startLease();
    },
  };
}

function getLimits({ accounts }: ForwardConfiguration): Map<string, Tokens> {
  const limits = new Map<string, Tokens>();
  accounts.forEach(({ name, prepaid }) => {
    if (prepaid !== undefined) limits.set(name, prepaid);
  });
  return limits;
}
