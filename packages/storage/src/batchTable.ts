import { Err, Ok } from 'ts-results';
import { jitter, MS_PER_SECOND, sleep } from '@pomeloroad/core';
import type { Clock, Milliseconds, Outcome, Random } from '@pomeloroad/core';
import type { CommitError, Table, Transaction } from './types';

/** Maximum number of rows that the table service accepts in one transaction. */
export const MAX_ROWS_PER_TRANSACTION = 100;

const MAX_BATCHES_IN_FLIGHT = 4;
/** Batches that may be sent at once after an idle time, beyond the average rate. */
const BURST_BATCHES = 10;
const INITIAL_BACKOFF_MS = 20;
const MAX_BACKOFF_MS = 1000;

/** Rate and retry limits of a batching table. */
export interface BatchOptions {
  /** Average number of transactions sent to the service per second. */
  writesPerSecond: number;
  /** How long a transaction that did not run is retried. */
  patience: Milliseconds;
}

/** Dependencies of a batching table. */
export interface BatchHost {
  clock: Clock;
  random: Random;
}

/** A transaction that waits for its outcome. */
interface Pending {
  transaction: Transaction;
  /** Keys of all rows that it checks or writes, without duplicates. */
  keys: string[];
  deadline: Milliseconds;
  resolve(outcome: Outcome<void, CommitError>): void;
}

/**
 * Creates a table that merges independent transactions into batches, within a write rate. A
 * conflict rejects only the transactions whose checks failed; the others are sent again. If the
 * outcome of a batch is unknown, all of its transactions are rejected with `unknown`.
 */
export function createBatchTable(host: BatchHost, table: Table, options: BatchOptions): Table {
  const { clock, random } = host;
  const interval = MS_PER_SECOND / options.writesPerSecond;
  const lockedKeys = new Set<string>();
  let queue: Pending[] = [];
  let batchesInFlight = 0;
  let nextSendAt = 0;
  let isTimerSet = false;

  function sendBatches(): void {
    while (queue.length > 0 && batchesInFlight < MAX_BATCHES_IN_FLIGHT && !isTimerSet) {
      const delay = nextSendAt - clock.elapsed() - interval * BURST_BATCHES;
      if (delay > 0) {
        sendBatchesAfter(delay);
        return;
      }
      const batch = takeBatch();
      if (batch.length === 0) return;
      nextSendAt = Math.max(nextSendAt, clock.elapsed()) + interval;
      runBatch(batch);
    }
  }

  function sendBatchesAfter(delay: Milliseconds): void {
    isTimerSet = true;
    clock.after(delay, () => {
      isTimerSet = false;
      sendBatches();
    });
  }

  // Removes the transactions of the next batch from the queue and locks their rows.
  function takeBatch(): Pending[] {
    const batch: Pending[] = [];
    const rest: Pending[] = [];
    const skippedKeys = new Set<string>();
    let rows = 0;
    queue.forEach((pending) => {
      const isFree = pending.keys.every((key) => !lockedKeys.has(key) && !skippedKeys.has(key));
      const fits = batch.length === 0 || rows + pending.keys.length <= MAX_ROWS_PER_TRANSACTION;
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
    batchesInFlight += 1;
    await commitBatch(batch);
    batch.forEach((pending) => pending.keys.forEach((key) => lockedKeys.delete(key)));
    batchesInFlight -= 1;
    sendBatches();
  }

  async function commitBatch(batch: Pending[]): Promise<void> {
    let remaining = batch;
    let backoff = INITIAL_BACKOFF_MS;
    while (remaining.length > 0) {
      const outcome = await table.commit(mergeTransactions(remaining));
      if (outcome.ok) {
        remaining.forEach((pending) => pending.resolve(Ok.EMPTY));
        return;
      }
      const error = outcome.val;
      if (error.kind === 'conflict') {
        remaining = rejectConflicts(remaining, error.keys);
      } else if (error.kind === 'unknown') {
        remaining.forEach((pending) => pending.resolve(Err(error)));
        return;
      } else {
        remaining = rejectExpired(remaining, error);
        if (remaining.length > 0) await sleep(clock, jitter(random, backoff));
        backoff = Math.min(backoff * 2, MAX_BACKOFF_MS);
      }
    }
  }

  // Rejects the transactions that use one of the conflicting keys; returns the others.
  function rejectConflicts(remaining: Pending[], keys: string[]): Pending[] {
    const failed = new Set(keys);
    return remaining.filter((pending) => {
      const conflicting = pending.keys.filter((key) => failed.has(key));
      if (conflicting.length > 0) pending.resolve(Err({ kind: 'conflict', keys: conflicting }));
      return conflicting.length === 0;
    });
  }

  // Rejects the transactions that have been retried for too long; returns the others.
  function rejectExpired(remaining: Pending[], error: CommitError): Pending[] {
    return remaining.filter((pending) => {
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
        sendBatches();
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
