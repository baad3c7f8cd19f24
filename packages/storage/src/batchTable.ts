import { Err, Ok } from 'ts-results';
import { sleep, jitter } from '@pomeloroad/core';
import type { Clock, Milliseconds, Outcome, Random } from '@pomeloroad/core';
import type { CommitError, Table, Transaction } from './types';

/** The most rows that the table service takes in one transaction. */
export const ROWS_PER_TRANSACTION = 100;

const MS_PER_SECOND = 1000;
const BATCHES_IN_FLIGHT = 4;
const BURST_BATCHES = 10;
const FIRST_RETRY_MS = 20;
const LAST_RETRY_MS = 1000;

/** Limits of a batching table. */
export interface BatchOptions {
  /** Transactions a second sent to the service, on average. */
  writesPerSecond: number;
  /** How long a transaction that did not run is tried again. */
  patience: Milliseconds;
}

/** What a batching table needs from its surroundings. */
export interface BatchHost {
  clock: Clock;
  random: Random;
}

interface Pending {
  transaction: Transaction;
  keys: string[];
  deadline: Milliseconds;
  resolve(outcome: Outcome<void, CommitError>): void;
}

/**
 * Merges independent transactions into one, within a write rate.
 * A conflict fails only the transactions whose checks failed; the others are sent again.
 */
export function createBatchTable(host: BatchHost, table: Table, options: BatchOptions): Table {
  const { clock, random } = host;
  const interval = MS_PER_SECOND / options.writesPerSecond;
  const lockedKeys = new Set<string>();
  let queue: Pending[] = [];
  let running = 0;
  let nextSlot = 0;
  let isWaiting = false;

  function pump(): void {
    while (queue.length > 0 && running < BATCHES_IN_FLIGHT && !isWaiting) {
      const delay = nextSlot - clock.elapsed() - interval * BURST_BATCHES;
      if (delay > 0) {
        waitForSlot(delay);
        return;
      }
      const batch = takeBatch();
      if (batch.length === 0) return;
      nextSlot = Math.max(nextSlot, clock.elapsed()) + interval;
      runBatch(batch);
    }
  }

  function waitForSlot(delay: Milliseconds): void {
    isWaiting = true;
    clock.after(delay, () => {
      isWaiting = false;
      pump();
    });
  }

  function takeBatch(): Pending[] {
    const batch: Pending[] = [];
    const rest: Pending[] = [];
    const skippedKeys = new Set<string>();
    let rows = 0;
    queue.forEach((pending) => {
      const isFree = pending.keys.every((key) => !lockedKeys.has(key) && !skippedKeys.has(key));
      const fits = batch.length === 0 || rows + pending.keys.length <= ROWS_PER_TRANSACTION;
      if (isFree && fits) {
        batch.push(pending);
        rows += pending.keys.length;
        pending.keys.forEach((key) => lockedKeys.add(key));
      } else {
        rest.push(pending);
        // A later transaction must not overtake this one on the same row.
        pending.keys.forEach((key) => skippedKeys.add(key));
      }
    });
    queue = rest;
    return batch;
  }

  async function runBatch(batch: Pending[]): Promise<void> {
    running += 1;
    await commitBatch(batch);
    batch.forEach((pending) => pending.keys.forEach((key) => lockedKeys.delete(key)));
    running -= 1;
    pump();
  }

  async function commitBatch(batch: Pending[]): Promise<void> {
    let open = batch;
    let retryDelay = FIRST_RETRY_MS;
    while (open.length > 0) {
      const outcome = await table.commit(mergeTransactions(open));
      if (outcome.ok) {
        open.forEach((pending) => pending.resolve(Ok.EMPTY));
        return;
      }
      const error = outcome.val;
      if (error.kind === 'conflict') {
        open = rejectConflicts(open, error.keys);
      } else if (error.kind === 'unknown') {
        open.forEach((pending) => pending.resolve(Err(error)));
        return;
      } else {
        open = rejectExpired(open, error);
        if (open.length > 0) await sleep(clock, jitter(random, retryDelay));
        retryDelay = Math.min(retryDelay * 2, LAST_RETRY_MS);
      }
    }
  }

  function rejectConflicts(open: Pending[], keys: string[]): Pending[] {
    const failed = new Set(keys);
    return open.filter((pending) => {
      const own = pending.keys.filter((key) => failed.has(key));
      if (own.length > 0) pending.resolve(Err({ kind: 'conflict', keys: own }));
      return own.length === 0;
    });
  }

  function rejectExpired(open: Pending[], error: CommitError): Pending[] {
    return open.filter((pending) => {
      const isExpired = clock.elapsed() >= pending.deadline;
      if (isExpired) pending.resolve(Err(error));
      return !isExpired;
    });
  }

  return {
    commit: (transaction) =>
      new Promise((resolve) => {
        const deadline = clock.elapsed() + options.patience;
        queue.push({ transaction, keys: getKeys(transaction), deadline, resolve });
        pump();
      }),
    read: (keys) => table.read(keys),
    scan: (prefix) => table.scan(prefix),
  };
}

function getKeys(transaction: Transaction): string[] {
  const keys = [...transaction.checks, ...transaction.writes].map((part) => part.key);
  return [...new Set(keys)];
}

function mergeTransactions(batch: Pending[]): Transaction {
  return {
    checks: batch.flatMap((pending) => pending.transaction.checks),
    writes: batch.flatMap((pending) => pending.transaction.writes),
  };
}
