import type { Tokens } from '@pomeloroad/core';
import { createEscrowAccount } from './escrowAccount';
import type { EscrowAccount } from './escrowAccount';
import { reclaimGrant } from './escrowReclaim';
import type { Escrow, EscrowHost } from './escrowTypes';

/** Instances that may rebalance a budget in one turn: their transactions meet in its row. */
const INSTANCES_PER_TURN = 16;

/**
 * Creates escrow over the store's rows. A budget's row counts the tokens granted to any instance; an
 * instance spends only what it was granted, so no cut, crash or late write lets spend pass a budget.
 */
export function createEscrow(host: EscrowHost): Escrow {
  const accounts = new Map<string, EscrowAccount>();
  let limits: ReadonlyMap<string, Tokens> = new Map();
  let turn = 0;

  function getAccount(name: string): EscrowAccount {
    const known = accounts.get(name);
    if (known) return known;
    const created = createEscrowAccount(host, name);
    created.setLimit(limits.get(name) ?? 0);
    accounts.set(name, created);
    return created;
  }

  return {
    reserve: (account, tokens, patience) => getAccount(account).reserve(tokens, patience),
    setLimits(next) {
      limits = next;
      next.forEach((_limit, name) => getAccount(name));
      accounts.forEach((account, name) => account.setLimit(next.get(name) ?? 0));
    },
    takeChanges(changes) {
      changes.forEach(({ value, ...row }) => {
        if (value !== undefined) accounts.get(row.partition)?.takeTotal({ ...row, value });
      });
    },
    async reclaim(predecessor) {
      const names = [...accounts.keys()];
      await Promise.all(names.map((name) => reclaimGrant(host, name, predecessor)));
    },
    isCovered: () => [...accounts.values()].every((account) => account.isCovered()),
    rebalance(interval) {
      turn += 1;
      const turns = Math.ceil(host.countInstances() / INSTANCES_PER_TURN);
      [...accounts.values()].forEach((account, index) => {
        if ((index + turn) % turns !== 0) return;
        host.clock.after(host.random.fraction() * interval, account.rebalance);
      });
    },
    retire: () => accounts.forEach((account) => account.retire()),
    async release(patience) {
      await Promise.all([...accounts.values()].map((account) => account.release(patience)));
    },
    describe: () => [...accounts.values()].map((account) => account.describe()),
  };
}
