import { Err, Ok } from 'ts-results';
import type { Clock, Milliseconds, Outcome, Random } from '@pomeloroad/core';
import type { Account, RoutingPolicy } from '@pomeloroad/configuration';
import { chooseEndpoint, hasRoom } from './choose';
import type { Endpoints } from './endpoints';
import type { EndpointView, RouteError, RouteRequest, Slot } from './types';

const MS_PER_SECOND = 1000;
/** Weight of the newest observation in the smoothed service time. */
const SERVICE_TIME_WEIGHT = 0.1;
const RECHECK_MS = 200;

/** What admission needs from its surroundings. */
export interface AdmissionHost {
  clock: Clock;
  random: Random;
  dataCentre: string;
  endpoints: Endpoints;
  getPolicy(request: RouteRequest): RoutingPolicy;
  getAccount(name: string): Account | undefined;
}

/** Lets requests through to endpoints, in order of priority and fair share. */
export interface Admission {
  /** Waits for a place on an endpoint, at most as long as the request's patience. */
  acquire(request: RouteRequest): Promise<Outcome<Slot, RouteError>>;
  /** Lets waiting requests look again, after endpoints have changed. */
  wake(): void;
  waiting(): number;
}

interface Waiter {
  request: RouteRequest;
  deadline: Milliseconds;
  order: number;
  resolve(outcome: Outcome<Slot, RouteError>): void;
}

/** Creates an admission queue without waiting requests. */
export function createAdmission(host: AdmissionHost, queueLimit: number): Admission {
  const { clock, random, endpoints } = host;
  const running = new Map<string, number>();
  let waiters: Waiter[] = [];
  let turns = 0;
  let serviceTime = MS_PER_SECOND;

  function tryRoute(request: RouteRequest): Outcome<Slot, RouteError> {
    const candidates = endpoints.findCandidates(request);
    if (candidates.length === 0) return Err({ kind: 'none' });
    const free = candidates.filter(hasRoom).filter(isWorthTrying);
    if (free.length === 0 && candidates.every((view) => view.isUnreachable)) {
      return Err({ kind: 'unreachable' });
    }
    const policy = host.getPolicy(request);
    // What an engine has read already is worth more than a short way.
    const near = policy.kind === 'prefix-affinity' ? undefined : host.dataCentre;
    const preferred = preferCandidates(free, near);
    if (preferred.length === 0) return Err({ kind: 'busy', retryAfter: estimateWait(candidates) });
    turns += 1;
    const view = chooseEndpoint(policy, preferred, { random, turn: turns, prefix: request.prefix });
    return Ok(takeSlot(request, view));
  }

  function takeSlot(request: RouteRequest, view: EndpointView): Slot {
    const startedAt = clock.elapsed();
    let isHeld = true;
    endpoints.take(view.endpoint.name);
    addRunning(request.account, 1);
    return {
      endpoint: view.endpoint,
      isLeaving: () => endpoints.isLeaving(view.endpoint.name),
      touch: () => endpoints.touch(view.endpoint.name),
      release(result) {
        if (!isHeld) return;
        isHeld = false;
        const took = clock.elapsed() - startedAt;
        serviceTime += (took - serviceTime) * SERVICE_TIME_WEIGHT;
        endpoints.release(view.endpoint.name, result);
        addRunning(request.account, -1);
        pump();
      },
    };
  }

  function addRunning(account: string, amount: number): void {
    const count = (running.get(account) ?? 0) + amount;
    if (count > 0) running.set(account, count);
    else running.delete(account);
  }

  function estimateWait(candidates: EndpointView[]): Milliseconds {
    const capacity = candidates.reduce((sum, view) => sum + view.endpoint.concurrency, 0);
    return ((waiters.length + 1) * serviceTime) / capacity;
  }

  // Within a priority the account that uses least of its share goes first.
  function compareWaiters(a: Waiter, b: Waiter): number {
    const byPriority = b.request.priority - a.request.priority;
    const byShare = getUse(a.request.account) - getUse(b.request.account);
    return byPriority || byShare || a.order - b.order;
  }

  function getUse(account: string): number {
    return (running.get(account) ?? 0) / (host.getAccount(account)?.weight ?? 1);
  }

  function pump(): void {
    refuseExpired();
    let isProgress = true;
    while (isProgress && waiters.length > 0) {
      const ordered = [...waiters].sort(compareWaiters);
      isProgress = ordered.some(serveWaiter);
    }
  }

  function serveWaiter(waiter: Waiter): boolean {
    const outcome = tryRoute(waiter.request);
    if (outcome.err && outcome.val.kind === 'busy') return false;
    removeWaiter(waiter);
    waiter.resolve(outcome);
    return true;
  }

  function removeWaiter(waiter: Waiter): void {
    waiters = waiters.filter((other) => other !== waiter);
  }

  function refuseExpired(): void {
    const expired = waiters.filter((waiter) => clock.elapsed() >= waiter.deadline);
    expired.forEach((waiter) => {
      removeWaiter(waiter);
      waiter.resolve(Err({ kind: 'busy', retryAfter: serviceTime }));
    });
  }

  function abandon(waiter: Waiter): void {
    if (!waiters.includes(waiter)) return;
    removeWaiter(waiter);
    waiter.resolve(Err({ kind: 'abandoned' }));
  }

  function watch(): void {
    if (waiters.length === 0) return;
    clock.after(RECHECK_MS, () => {
      pump();
      watch();
    });
  }

  return {
    async acquire(request) {
      const isFirst = waiters.length === 0;
      const outcome = isFirst ? tryRoute(request) : tryBehindWaiters(request);
      if (outcome.ok || outcome.val.kind !== 'busy') return outcome;
      // Refused at once if its turn would come too late anyway.
      const isHopeless = outcome.val.retryAfter > request.patience;
      if (isHopeless || waiters.length >= queueLimit) return outcome;
      return new Promise((resolve) => {
        const deadline = clock.elapsed() + request.patience;
        turns += 1;
        const waiter = { request, deadline, order: turns, resolve };
        waiters.push(waiter);
        request.signal?.addEventListener('abort', () => abandon(waiter), { once: true });
        if (isFirst) watch();
        pump();
      });
    },
    wake: pump,
    waiting: () => waiters.length,
  };

  function tryBehindWaiters(request: RouteRequest): Outcome<Slot, RouteError> {
    const candidates = endpoints.findCandidates(request);
    if (candidates.length === 0) return Err({ kind: 'none' });
    if (candidates.every((view) => view.isUnreachable)) return Err({ kind: 'unreachable' });
    return Err({ kind: 'busy', retryAfter: estimateWait(candidates) });
  }
}

// One request at a time finds out whether an unreachable endpoint is back.
function isWorthTrying({ isUnreachable, inFlight }: EndpointView): boolean {
  return !isUnreachable || inFlight === 0;
}

// Endpoints that fail are a last resort, and another data centre is better than those.
function preferCandidates(free: EndpointView[], dataCentre: string | undefined): EndpointView[] {
  const healthy = free.filter((view) => !view.isFailing);
  const local = healthy.filter((view) => view.endpoint.dataCentre === dataCentre);
  if (local.length > 0) return local;
  return healthy.length > 0 ? healthy : free;
}
