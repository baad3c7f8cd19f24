import { Err } from 'ts-results';
import { createManualClock, createRandom, createSilentLog, sleep } from '@pomeloroad/core';
import type { Clock, ManualClock, Milliseconds } from '@pomeloroad/core';
import { createMemoryRowStore } from '@pomeloroad/storage';
import type { MemoryRowStore, RowStore, RowTransaction } from '@pomeloroad/storage';
import { BUDGET_TABLE, createEscrow, createEscrowLease, LEASE_TABLE } from '../src';
import type { Escrow } from '../src';

/** The client account used by the escrow tests. */
export const ACCOUNT = 'haldane';

/** Limit of transactions in one test, to end an escrow that repeats them for ever. */
const MAX_CALLS = 5000;
/** Time after which a call without an answer ends. */
const CALL_TIMEOUT_MS: Milliseconds = 1000;

/**
 * How a transaction ends: `refused` ones have no effect, `lost` ones take effect but are not
 * answered, `late` ones are not answered and take effect when they are delivered.
 */
export type PlannedOutcome = 'done' | 'refused' | 'lost' | 'late';

/** Creates a store whose next transactions end as planned; without a plan they succeed. */
export function createUnreliableRows(memory: MemoryRowStore) {
  const plannedOutcomes: PlannedOutcome[] = [];
  let calls = 0;
  let budgetWrites = 0;
  let late: RowTransaction[] = [];
  const rows: RowStore = {
    ...memory,
    async transact(transaction) {
      calls += 1;
      if (transaction.puts.some(({ table }) => table === BUDGET_TABLE)) budgetWrites += 1;
      if (calls > MAX_CALLS) throw new RangeError('escrow calls the store without end');
      const outcome = plannedOutcomes.shift() ?? 'done';
      if (outcome === 'refused') return Err({ kind: 'unavailable', message: 'refused' });
      if (outcome === 'done') return memory.transact(transaction);
      if (outcome === 'lost') await memory.transact(transaction);
      if (outcome === 'late') late.push(transaction);
      return Err({ kind: 'unknown', message: 'no answer' });
    },
  };
  async function deliverLate(): Promise<void> {
    const delivered = late;
    late = [];
    for (const transaction of delivered) await memory.transact(transaction);
  }
  return {
    rows,
    memory,
    plannedOutcomes,
    deliverLate,
    countCalls: () => calls,
    /** Transactions that would change a budget's row, conflicts included. */
    countBudgetWrites: () => budgetWrites,
  };
}

/** One run of an instance, from its start until it is killed. */
export interface InstanceRun {
  instance: string;
  escrow: Escrow;
  /** Whether it is cut off from the store: reads fail, and transactions become `late`. */
  isCut: boolean;
  /** Whether its transactions get no answer until they time out. */
  isSilent: boolean;
  /** Whether the part of the store with its lease refuses its transactions. */
  isLeaseRefused: boolean;
  isAlive: boolean;
  kill(): void;
}

const UNDISTURBED = { isCut: false, isSilent: false, isLeaseRefused: false, isAlive: true };

/** Guards that a fleet leaves out, to show that the tests find the missing guard. */
export interface DisabledGuards {
  /** Transactions are committed without their checks. */
  hasNoConditions?: boolean;
  /** A restarted instance keeps the incarnation of its earlier run. */
  reusesIncarnation?: boolean;
  /** A successor assumes that no reserve was spent, however old the lease was. */
  trustsOldLeases?: boolean;
  /** The lease is renewed even if the ceilings in the rows do not cover what was spent. */
  renewsUncovered?: boolean;
  /** Instances that are not counted any more may hold nothing of an earlier era. */
  forgetsMissing?: boolean;
}

/** Creates instances that share one budget in one store. */
export function createFleet(count: number, disabledGuards: DisabledGuards = {}) {
  const clock = createManualClock();
  const memory = createMemoryRowStore(() => clock.elapsed());
  const uncheckedRows: MemoryRowStore = {
    ...memory,
    transact: (t) => memory.transact({ ...t, checks: [] }),
  };
  const store = createUnreliableRows(disabledGuards.hasNoConditions ? uncheckedRows : memory);
  const names = Array.from({ length: count }, (_, index) => `instance-${index}`);
  const state = {
    isStoreUnresponsive: false,
    isFleetCounted: true,
    /** Age of the last reading of the limits. */
    limitsAge: 0,
    /** Instances whose leases were renewed of late. */
    counted: new Set(names),
  };
  let runCount = 0;

  function start(instance: string): InstanceRun {
    runCount += 1;
    const stop = new AbortController();
    const run = { ...UNDISTURBED, instance } as InstanceRun;
    const processClock = createProcessClock(clock);
    const rows = createRunRows(clock, store.rows, run, store.plannedOutcomes);
    const incarnation = disabledGuards.reusesIncarnation ? instance : `life-${runCount}`;
    const log = createSilentLog();
    const lease = createEscrowLease({
      clock: processClock,
      log,
      rows,
      instance,
      incarnation,
      signal: stop.signal,
      countInstances: () => state.counted.size,
      isUsageCovered: () => disabledGuards.renewsUncovered === true || run.escrow.isUsageCovered(),
    });
    run.escrow = createEscrow({
      clock: processClock,
      random: createRandom(runCount),
      log,
      rows,
      instance,
      incarnation,
      isStoreUnresponsive: () => state.isStoreUnresponsive,
      getReserveShare: lease.getReserveShare,
      getReserveDelay: lease.getReserveDelay,
      countInstances: () => state.counted.size,
      listInstances: () => (disabledGuards.forgetsMissing ? [] : [...state.counted]),
      isFleetCounted: () => state.isFleetCounted,
      getLimitsAge: () => state.limitsAge,
    });
    run.kill = () => {
      run.isAlive = false;
      stop.abort();
    };
    lease.start().then((predecessor) => {
      const reserveShare = disabledGuards.trustsOldLeases ? 0 : predecessor?.reserveShare;
      run.escrow.reclaim(
        predecessor && { ...predecessor, reserveShare: reserveShare ?? predecessor.reserveShare },
      );
    });
    return run;
  }

  // Delivers the budget's row from the store's feed to every instance that is not cut off.
  async function deliverChanges(): Promise<void> {
    const view = (await memory.follow(BUDGET_TABLE, 0, 0)).unwrap();
    const reached = members.filter((run) => !run.isCut);
    reached.forEach((run) => run.escrow.startEra(view.era));
    reached.forEach((run) => run.escrow.applyChanges(view.changes));
  }

  const members = names.map(start);
  return { clock, state, store, members, start, deliverChanges };
}

// Creates a clock whose elapsed time starts at the process's start.
function createProcessClock(clock: ManualClock): Clock {
  const startedAt = clock.elapsed();
  return {
    now: clock.now,
    elapsed: () => clock.elapsed() - startedAt,
    idle: clock.idle,
    after: clock.after,
  };
}

// Restricts the store for one run: a killed run gets no answers and has no effect, and transactions
// of a cut-off one may still take effect later.
function createRunRows(
  clock: Clock,
  rows: RowStore,
  run: InstanceRun,
  plannedOutcomes: PlannedOutcome[],
): RowStore {
  const never = new Promise<never>(() => {});
  return {
    async transact(transaction) {
      if (!run.isAlive) return never;
      if (run.isSilent) {
        await sleep(clock, CALL_TIMEOUT_MS);
        return Err({ kind: 'unknown', message: 'timed out' });
      }
      if (run.isLeaseRefused && transaction.puts.some(({ table }) => table === LEASE_TABLE))
        return Err({ kind: 'unavailable', message: 'refused' });
      if (run.isCut) plannedOutcomes.unshift('late');
      return rows.transact(transaction);
    },
    async list(table, partition) {
      if (!run.isAlive) return never;
      if (run.isCut) return Err({ kind: 'unavailable', message: 'cut off' });
      return rows.list(table, partition);
    },
    follow: rows.follow,
  };
}
