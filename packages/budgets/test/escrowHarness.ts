import { Err } from 'ts-results';
import { createManualClock, createRandom, createSilentLog } from '@pomeloroad/core';
import type { Clock, ManualClock } from '@pomeloroad/core';
import { createMemoryRowStore } from '@pomeloroad/storage';
import type { RowStore, RowTransaction } from '@pomeloroad/storage';
import { BUDGET_TABLE, createEscrow, createEscrowLease } from '../src';
import type { Escrow } from '../src';

/** The account of these tests. */
export const ACCOUNT = 'haldane';

const MOST_CALLS = 5000;

/** How the next transactions fare: `late` ones take effect after the answer was given up. */
export type Fate = 'done' | 'refused' | 'lost' | 'late';

/** A store whose next transactions fare as planned. */
export function createUnreliableRows(memory: RowStore) {
  const plans: Fate[] = [];
  let calls = 0;
  let late: RowTransaction[] = [];
  const rows: RowStore = {
    ...memory,
    async transact(transaction) {
      calls += 1;
      if (calls > MOST_CALLS) throw new RangeError('escrow calls the store without end');
      const plan = plans.shift() ?? 'done';
      if (plan === 'refused') return Err({ kind: 'unavailable', message: 'refused' });
      if (plan === 'done') return memory.transact(transaction);
      if (plan === 'lost') await memory.transact(transaction);
      if (plan === 'late') late.push(transaction);
      return Err({ kind: 'unknown', message: 'no answer' });
    },
  };
  async function arrive(): Promise<void> {
    const arriving = late;
    late = [];
    for (const transaction of arriving) await memory.transact(transaction);
  }
  return { rows, memory, plans, arrive, countCalls: () => calls };
}

/** One life of an instance. */
export interface Life {
  instance: string;
  escrow: Escrow;
  /** Whether its calls reach the store. */
  isCut: boolean;
  isAlive: boolean;
  kill(): void;
}

/** What a fleet leaves out to show that a search would find it. */
export interface Weakness {
  hasNoConditions?: boolean;
  /** A restarted instance goes on under the name of its last life. */
  reusesIncarnation?: boolean;
  /** A successor trusts the ceiling however long ago the last renewal was. */
  trustsOldLeases?: boolean;
  /** The lease is renewed though more was spent than the rows say. */
  renewsUncovered?: boolean;
}

/** Instances that share one budget in one store. */
export function createFleet(count: number, weakness: Weakness = {}) {
  const clock = createManualClock();
  const memory = createMemoryRowStore(() => clock.elapsed());
  const blind: RowStore = { ...memory, transact: (t) => memory.transact({ ...t, checks: [] }) };
  const store = createUnreliableRows(weakness.hasNoConditions ? blind : memory);
  const state = { isSilent: false };
  let lives = 0;

  function start(instance: string): Life {
    lives += 1;
    const stop = new AbortController();
    const life = { instance, isCut: false, isAlive: true } as Life;
    const own = createProcessClock(clock);
    const rows = cutRows(store.rows, life, store.plans);
    const incarnation = weakness.reusesIncarnation ? instance : `life-${lives}`;
    const log = createSilentLog();
    const lease = createEscrowLease({
      clock: own,
      log,
      rows,
      instance,
      incarnation,
      signal: stop.signal,
      countInstances: () => count,
      isUsageCovered: () => weakness.renewsUncovered === true || life.escrow.isUsageCovered(),
    });
    life.escrow = createEscrow({
      clock: own,
      random: createRandom(lives),
      log,
      rows,
      incarnation,
      isStoreUnresponsive: () => state.isSilent,
      getReserveShare: lease.getReserveShare,
      getReserveDelay: lease.getReserveDelay,
      countInstances: () => count,
    });
    life.kill = () => {
      life.isAlive = false;
      stop.abort();
    };
    lease.start().then((predecessor) => {
      if (!predecessor) return;
      const reserveShare = weakness.trustsOldLeases ? 0 : predecessor.reserveShare;
      life.escrow.reclaim({ ...predecessor, reserveShare });
    });
    return life;
  }

  // What the feed tells every instance of the budget's row.
  async function tell(): Promise<void> {
    const view = (await memory.follow(BUDGET_TABLE, 0, 0)).unwrap();
    members.filter((life) => !life.isCut).forEach((life) => life.escrow.applyChanges(view.changes));
  }

  const members = Array.from({ length: count }, (_, index) => start(`instance-${index}`));
  return { clock, state, store, members, start, tell };
}

// A process counts its time from its own start.
function createProcessClock(clock: ManualClock): Clock {
  const startedAt = clock.elapsed();
  return {
    now: clock.now,
    elapsed: () => clock.elapsed() - startedAt,
    after: clock.after,
  };
}

// The dead make no calls; those of a cut-off instance may arrive after all.
function cutRows(rows: RowStore, life: Life, plans: Fate[]): RowStore {
  const never = new Promise<never>(() => {});
  return {
    transact(transaction) {
      if (!life.isAlive) return never;
      if (life.isCut) plans.unshift('late');
      return rows.transact(transaction);
    },
    async list(table, partition) {
      if (!life.isAlive) return never;
      if (life.isCut) return Err({ kind: 'unavailable', message: 'cut off' });
      return rows.list(table, partition);
    },
    follow: rows.follow,
  };
}
