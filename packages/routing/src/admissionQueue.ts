import type { Milliseconds, Outcome } from '@pomeloroad/core';
import { createCounter } from './counter';
import { getQueueName, isBound } from './targets';
import type { RouteError, RouteRequest, Slot } from './types';

/** A request that waits for a slot. */
export interface Waiter {
  request: RouteRequest;
  /** Time of `clock.elapsed()` until which it waits. */
  deadline: Milliseconds;
  /** Lower for one that came earlier. */
  order: number;
  resolve(outcome: Outcome<Slot, RouteError>): void;
}

/** The requests that wait for slots. */
export interface AdmissionQueue {
  add(waiter: Waiter): void;
  remove(waiter: Waiter): void;
  has(waiter: Waiter): boolean;
  size(): number;
  /** Returns the number of waiting requests that delay the request. */
  countAhead(request: RouteRequest): number;
  /** Returns the waiters whose deadlines have passed. */
  listExpired(now: Milliseconds): Waiter[];
  /** Returns the waiters, the one to be served next first. */
  listInOrder(): Waiter[];
}

/** Creates an empty queue. Among equal priorities, the account whose relative use is lowest goes first. */
export function createAdmissionQueue(getRelativeUse: (account: string) => number): AdmissionQueue {
  let waiters: Waiter[] = [];
  const counts = createCounter();

  // Within a priority and an account, requests that are bound to one version go first, because only few
  // endpoints may serve them.
  function compare(a: Waiter, b: Waiter): number {
    const byPriority = b.request.priority - a.request.priority;
    const byShare = getRelativeUse(a.request.account) - getRelativeUse(b.request.account);
    const byBinding = Number(isBound(b.request)) - Number(isBound(a.request));
    return byPriority || byShare || byBinding || a.order - b.order;
  }

  return {
    add(waiter) {
      waiters.push(waiter);
      counts.add(getQueueName(waiter.request), 1);
    },
    remove(waiter) {
      waiters = waiters.filter((other) => other !== waiter);
      counts.add(getQueueName(waiter.request), -1);
    },
    has: (waiter) => waiters.includes(waiter),
    size: () => waiters.length,
    countAhead: (request) => counts.get(getQueueName(request)),
    listExpired: (now) => waiters.filter(({ deadline }) => now >= deadline),
    listInOrder: () => [...waiters].sort(compare),
  };
}
