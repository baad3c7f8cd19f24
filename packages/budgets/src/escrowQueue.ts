import { Err, Ok } from 'ts-results';
import type { Clock, Milliseconds, Outcome, Timer, Tokens } from '@pomeloroad/core';
import type { EscrowError, EscrowReservation } from './escrowTypes';

/** Dependencies of the queue. */
export interface QueueHost {
  clock: Clock;
  /** Tokens that may be reserved now. */
  getFreeTokens(): Tokens;
  /** Reserves tokens that are free. */
  openReservation(tokens: Tokens): EscrowReservation;
  /** Decides with what error a request ends that has waited in vain since the given time. */
  judgeWait(tokens: Tokens, since: Milliseconds): EscrowError;
  /** The error of a request of this size that is known to wait in vain, if it is. */
  findRefusal(tokens: Tokens): EscrowError | undefined;
}

/** A queue of one account's requests that wait for tokens from the store or from other requests. */
export interface EscrowQueue {
  /** Adds a request, which fails if it gets no tokens within `maxWait`. */
  add(tokens: Tokens, maxWait: Milliseconds): Promise<Outcome<EscrowReservation, EscrowError>>;
  /** Reserves tokens for each request that the free tokens cover, the oldest first. */
  serve(): void;
  /** Fails all waiting requests with the error. */
  refuseAll(error: EscrowError): void;
  /** The number of waiting requests. */
  count(): number;
  /** Tokens that all waiting requests need together. */
  sumTokens(): Tokens;
  /** Tokens that the smallest waiting request needs; infinite if none waits. */
  getSmallest(): Tokens;
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

  function expire(waiter: Waiter, since: Milliseconds): void {
    const error = host.judgeWait(waiter.tokens, since);
    finish(waiter, Err(error));
    // Requests for no fewer tokens would wait in vain as well.
    if (host.findRefusal(waiter.tokens)) refuseFrom(waiter.tokens, error);
  }

  function refuseFrom(tokens: Tokens, error: EscrowError): void {
    waiters
      .filter((waiter) => waiter.tokens >= tokens)
      .forEach((waiter) => finish(waiter, Err(error)));
  }

  return {
    add(tokens, maxWait) {
      const since = clock.elapsed();
      return new Promise((resolve) => {
        const timer = clock.after(maxWait, () => expire(waiter, since));
        const waiter: Waiter = { tokens, timer, resolve };
        waiters.push(waiter);
      });
    },
    serve() {
      [...waiters].forEach((waiter) => {
        if (waiter.tokens <= host.getFreeTokens())
          finish(waiter, Ok(host.openReservation(waiter.tokens)));
      });
    },
    refuseAll: (error) => refuseFrom(0, error),
    count: () => waiters.length,
    sumTokens: () => waiters.reduce((sum, waiter) => sum + waiter.tokens, 0),
    getSmallest: () => Math.min(...waiters.map((waiter) => waiter.tokens)),
  };
}
