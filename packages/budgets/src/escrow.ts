import type { Tokens } from '@pomeloroad/core';
import { createEscrowAccount } from './escrowAccount';
import { reclaimGrant } from './escrowReclaim';
import { LIMIT_REWRITE_MAX_MS, NO_ANCESTRY } from './escrowRestoration';
import type { Predecessor } from './escrowLease';
import type { Escrow, EscrowAccount, EscrowHost } from './escrowTypes';

/** Most instances that rebalance one budget at a time, since their writes conflict in its row. */
const MAX_INSTANCES_PER_TURN = 16;
/** Turns from which an instance draws its first, so that a fleet started at once spreads over them. */
const FIRST_TURN_MAX = 1000;

/**
 * Creates the escrow on the store's rows. A budget's row counts the tokens granted to all
 * instances, and an instance spends only what it was granted. So no network cut, crash or late
 * write can make the tokens spent exceed a budget.
 */
export function createEscrow(host: EscrowHost): Escrow {
  const accounts = new Map<string, EscrowAccount>();
  let limits: ReadonlyMap<string, Tokens> = new Map();
  let turn = host.random.integer(0, FIRST_TURN_MAX);
  /** The earlier run of this instance; `pending` until its lease has been read. */
  let predecessor: Predecessor | undefined | 'pending' = 'pending';

  function getAccount(name: string): EscrowAccount {
    const known = accounts.get(name);
    if (known) return known;
    const created = createEscrowAccount(host, name);
    created.setLimit(limits.get(name) ?? 0);
    accounts.set(name, created);
    // An earlier run may have known an account that the operator's rows lack after a rewind; one
    // that is added later is new.
    if (host.clock.elapsed() < LIMIT_REWRITE_MAX_MS) readAncestry(name, created);
    else if (predecessor !== 'pending') created.setAncestry(NO_ANCESTRY);
    return created;
  }

  async function readAncestry(name: string, account: EscrowAccount): Promise<void> {
    if (predecessor === 'pending') return;
    account.setAncestry(predecessor ? await reclaimGrant(host, name, predecessor) : NO_ANCESTRY);
  }

  return {
    reserve: (account, tokens, maxWait) => getAccount(account).reserve(tokens, maxWait),
    setLimits(next) {
      limits = next;
      next.forEach((_limit, name) => getAccount(name));
      accounts.forEach((account, name) => account.setLimit(next.get(name) ?? 0));
    },
    applyChanges(changes) {
      changes.forEach(({ value, ...row }) => {
        if (value !== undefined) accounts.get(row.partition)?.applyTotal({ ...row, value });
      });
    },
    startEra: (era) => accounts.forEach((account) => account.startEra(era)),
    async reclaim(found) {
      predecessor = found;
      await Promise.all([...accounts].map(([name, account]) => readAncestry(name, account)));
    },
    isUsageCovered: () => [...accounts.values()].every((account) => account.isUsageCovered()),
    rebalance(interval) {
      turn += 1;
      const turns = Math.ceil(host.countInstances() / MAX_INSTANCES_PER_TURN);
      [...accounts.values()].forEach((account, index) => {
        if ((index + turn) % turns !== 0) return;
        host.clock.after(host.random.fraction() * interval, account.rebalance);
      });
    },
    retire: () => accounts.forEach((account) => account.retire()),
    async release(timeout) {
      await Promise.all([...accounts.values()].map((account) => account.release(timeout)));
    },
    describe: () => [...accounts.values()].map((account) => account.describe()),
  };
}
