import { Err, Ok } from 'ts-results';
import type { Clock, Milliseconds, Outcome, Timer, Tokens } from '@pomeloroad/core';
import type { EscrowError, EscrowReservation } from './escrowTypes';

/** What waiting for tokens needs from its surroundings. */
export interface QueueHost {
  clock: Clock;
  getFree(): Tokens;
  take(tokens: Tokens): EscrowReservation;
  /** Why a request that has waited since this time gets no tokens. */
  explain(tokens: Tokens, since: Milliseconds): EscrowError;
}

/** Requests of one account that wait for tokens which the store or other requests may bring. */
export interface EscrowQueue {
  /** Waits at most as long as told. */
  add(tokens: Tokens, patience: Milliseconds): Promise<Outcome<EscrowReservation, EscrowError>>;
  /** Serves those that what is free now covers, the oldest first. */
  serve(): void;
  /** Ends the wait of all. */
  refuse(error: EscrowError): void;
  count(): number;
  /** Tokens that all of them need. */
  sum(): Tokens;
  /** Tokens that the smallest of them needs. */
  least(): Tokens;
}

interface Waiter {
  tokens: Tokens;
  timer: Timer;
  resolve(outcome: Outcome<EscrowReservation, EscrowError>): void;
}

/** Creates an empty queue. */
export function createEscrowQueue(host: QueueHost): EscrowQueue {
  const { clock } = host;
  let waiters: Waiter[] = [];

  function finish(waiter: Waiter, outcome: Outcome<EscrowReservation, EscrowError>): void {
    waiter.timer.cancel();
    waiters = waiters.filter((other) => other !== waiter);
    waiter.resolve(outcome);
  }

  return {
    add(tokens, patience) {
      const since = clock.elapsed();
      return new Promise((resolve) => {
        const timer = clock.after(patience, () => {
          finish(waiter, Err(host.explain(tokens, since)));
        });
        const waiter: Waiter = { tokens, timer, resolve };
        waiters.push(waiter);
      });
    },
    serve() {
      [...waiters].forEach((waiter) => {
        if (waiter.tokens <= host.getFree()) finish(waiter, Ok(host.take(waiter.tokens)));
      });
    },
    refuse(error) {
      [...waiters].forEach((waiter) => finish(waiter, Err(error)));
    },
    count: () => waiters.length,
    sum: () => waiters.reduce((sum, waiter) => sum + waiter.tokens, 0),
    least: () => Math.min(...waiters.map((waiter) => waiter.tokens)),
  };
}
