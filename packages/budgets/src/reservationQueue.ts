import { Err, Ok } from 'ts-results';
import type { Clock, Milliseconds, Outcome, Tokens } from '@pomeloroad/core';
import type { ReservationError, ReservationRequest } from './types';

/** A queue of the requests of one budget that wait until its keeper has enough tokens. */
export interface ReservationQueue {
  /** Adds a request; resolves once it has its tokens or is refused. */
  add(request: ReservationRequest): Promise<Outcome<void, ReservationError>>;
  /** Reserves tokens for each request that the free tokens cover, the oldest first. */
  serve(): void;
  /** Refuses the requests that need more tokens than may become available. */
  refuseOversized(remaining: Tokens): void;
  /** Refuses the requests whose patience has ended with the error. */
  refuseExpired(error: ReservationError): void;
  /** The number of waiting requests. */
  count(): number;
  /** Tokens that all waiting requests need together. */
  sumTokens(): Tokens;
}

interface Waiter {
  request: ReservationRequest;
  deadline: Milliseconds;
  resolve(outcome: Outcome<void, ReservationError>): void;
}

/** Creates an empty queue; `tryReserve` returns whether the free tokens covered the request. */
export function createReservationQueue(
  clock: Clock,
  tryReserve: (request: ReservationRequest) => boolean,
): ReservationQueue {
  let waiters: Waiter[] = [];

  function refuseIf(isRefused: (waiter: Waiter) => boolean, error: ReservationError): void {
    const refused = waiters.filter(isRefused);
    waiters = waiters.filter((waiter) => !refused.includes(waiter));
    refused.forEach((waiter) => waiter.resolve(Err(error)));
  }

  return {
    add(request) {
      const deadline = clock.elapsed() + request.patience;
      return new Promise((resolve) => {
        waiters.push({ request, deadline, resolve });
      });
    },
    serve() {
      waiters = waiters.filter((waiter) => {
        if (!tryReserve(waiter.request)) return true;
        waiter.resolve(Ok.EMPTY);
        return false;
      });
    },
    refuseOversized(remaining) {
      refuseIf((waiter) => waiter.request.tokens > remaining, { kind: 'exhausted', remaining });
    },
    refuseExpired(error) {
      refuseIf((waiter) => clock.elapsed() >= waiter.deadline, error);
    },
    count: () => waiters.length,
    sumTokens: () => waiters.reduce((sum, waiter) => sum + waiter.request.tokens, 0),
  };
}
