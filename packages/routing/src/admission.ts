import { Err, Ok } from 'ts-results';
import type { Clock, Milliseconds, Outcome, Random } from '@pomeloroad/core';
import type { Account, RoutingPolicy } from '@pomeloroad/configuration';
import { createAdmissionQueue } from './admissionQueue';
import type { Waiter } from './admissionQueue';
import { areAllLimited, estimateWait, findAvailable, preferCandidates } from './candidates';
import { chooseEndpoint } from './choose';
import { createCounter } from './counter';
import type { Endpoints } from './endpoints';
import { createServiceTimes } from './serviceTimes';
import type { EndpointView, RouteError, RouteRequest, Slot } from './types';

const RECHECK_INTERVAL_MS: Milliseconds = 200;
/** Requests that wait ask again and again; creating an error takes longer than all else. */
const NONE = Err({ kind: 'none' as const });
const UNREACHABLE = Err({ kind: 'unreachable' as const });

/** Dependencies of the admission queue. */
export interface AdmissionHost {
  clock: Clock;
  random: Random;
  dataCentre: string;
  endpoints: Endpoints;
  getPolicy(request: RouteRequest): RoutingPolicy;
  getAccount(name: string): Account | undefined;
}

/** Admits requests to endpoints in order of priority and fair share. */
export interface Admission {
  /** Waits for a slot on an endpoint, at most as long as the request's patience. */
  acquire(request: RouteRequest): Promise<Outcome<Slot, RouteError>>;
  /** Tries to admit the waiting requests; called after endpoints have changed. */
  wake(): void;
  /** Returns the number of waiting requests. */
  waiting(): number;
}

/** Creates an empty admission queue that holds at most `queueLimit` requests. */
export function createAdmission(host: AdmissionHost, queueLimit: number): Admission {
  const { clock, random, endpoints } = host;
  const running = createCounter();
  const serviceTimes = createServiceTimes();
  const queue = createAdmissionQueue(getRelativeUse);
  let sequence = 0;

  function tryRoute(request: RouteRequest): Outcome<Slot, RouteError> {
    const candidates = endpoints.findCandidates(request);
    if (candidates.length === 0) return NONE;
    const available = findAvailable(candidates);
    if (available.length === 0 && candidates.every((view) => view.isUnreachable)) {
      return UNREACHABLE;
    }
    const policy = host.getPolicy(request);
    // A prefix cached by an engine saves more time than an engine in the local data centre.
    const localDataCentre = policy.kind === 'prefix-affinity' ? undefined : host.dataCentre;
    const preferred = preferCandidates(available, localDataCentre);
    if (preferred.length === 0) return Err(createBusyError(request, candidates));
    sequence += 1;
    const view = chooseEndpoint(policy, preferred, {
      random,
      turn: sequence,
      prefix: request.prefix,
    });
    return Ok(takeSlot(request, view));
  }

  function takeSlot(request: RouteRequest, view: EndpointView): Slot {
    const startedAt = clock.elapsed();
    let isHeld = true;
    endpoints.take(view.endpoint.name);
    running.add(request.account, 1);
    return {
      endpoint: view.endpoint,
      isLeaving: () => endpoints.isLeaving(view.endpoint.name),
      recordActivity: () => endpoints.recordActivity(view.endpoint.name),
      getActivityTime: () => endpoints.getActivityTime(view.endpoint.name),
      release(result) {
        if (!isHeld) return;
        isHeld = false;
        serviceTimes.record(request, clock.elapsed() - startedAt);
        endpoints.release(view.endpoint.name, result);
        running.add(request.account, -1);
        serveWaiters();
      },
    };
  }

  function createBusyError(
    request: RouteRequest,
    candidates: EndpointView[],
  ): Extract<RouteError, { kind: 'busy' }> {
    const serviceTime = serviceTimes.get(request);
    const retryAfter = estimateWait(candidates, queue.countAhead(request), serviceTime);
    return { kind: 'busy', retryAfter, isLimited: areAllLimited(candidates) };
  }

  function getRelativeUse(account: string): number {
    return running.get(account) / (host.getAccount(account)?.weight ?? 1);
  }

  function serveWaiters(): void {
    rejectExpired();
    let hasProgress = true;
    while (hasProgress && queue.size() > 0) {
      hasProgress = queue.listInOrder().some(serveWaiter);
    }
  }

  function serveWaiter(waiter: Waiter): boolean {
    const outcome = tryRoute(waiter.request);
    if (outcome.err && outcome.val.kind === 'busy') return false;
    queue.remove(waiter);
    waiter.resolve(outcome);
    return true;
  }

  function rejectExpired(): void {
    queue.listExpired(clock.elapsed()).forEach((waiter) => {
      queue.remove(waiter);
      const { request } = waiter;
      const isLimited = areAllLimited(endpoints.findCandidates(request));
      const retryAfter = serviceTimes.get(request);
      waiter.resolve(Err({ kind: 'busy', retryAfter, isLimited }));
    });
  }

  function removeAborted(waiter: Waiter): void {
    if (!queue.has(waiter)) return;
    queue.remove(waiter);
    waiter.resolve(Err({ kind: 'abandoned' }));
  }

  function scheduleRecheck(): void {
    if (queue.size() === 0) return;
    clock.after(RECHECK_INTERVAL_MS, () => {
      serveWaiters();
      scheduleRecheck();
    });
  }

  return {
    async acquire(request) {
      const isFirst = queue.countAhead(request) === 0;
      const outcome = isFirst ? tryRoute(request) : checkBehindWaiters(request);
      if (outcome.ok || outcome.val.kind !== 'busy') return outcome;
      // Refuses at once if the estimated wait exceeds the request's patience.
      const isWaitTooLong = outcome.val.retryAfter > request.patience;
      if (isWaitTooLong || queue.size() >= queueLimit) return outcome;
      return new Promise((resolve) => {
        const deadline = clock.elapsed() + request.patience;
        sequence += 1;
        const waiter = { request, deadline, order: sequence, resolve };
        queue.add(waiter);
        request.signal?.addEventListener('abort', () => removeAborted(waiter), { once: true });
        if (queue.size() === 1) scheduleRecheck();
        serveWaiters();
      });
    },
    wake: serveWaiters,
    waiting: queue.size,
  };

  function checkBehindWaiters(request: RouteRequest): Outcome<Slot, RouteError> {
    const candidates = endpoints.findCandidates(request);
    if (candidates.length === 0) return NONE;
    if (candidates.every((view) => view.isUnreachable)) return UNREACHABLE;
    return Err(createBusyError(request, candidates));
  }
}
