import { Err, Ok } from 'ts-results';
import { match } from 'ts-pattern';
import type { Clock, Milliseconds, Outcome, Random } from '@pomeloroad/core';
import type { Account, RoutingPolicy } from '@pomeloroad/configuration';
import { chooseEndpoint, hasCapacity } from './choose';
import type { Endpoints } from './endpoints';
import type { EndpointView, RouteError, RouteRequest, ServiceTarget, Slot } from './types';

const INITIAL_SERVICE_TIME_MS = 1000;
/** Weight of the newest observation in the moving average of the service time. */
const SERVICE_TIME_SMOOTHING_RATIO = 0.1;
const RECHECK_INTERVAL_MS = 200;
const MS_PER_SECOND = 1000;
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

interface Waiter {
  request: RouteRequest;
  deadline: Milliseconds;
  order: number;
  resolve(outcome: Outcome<Slot, RouteError>): void;
}

/** Creates an empty admission queue that holds at most `queueLimit` requests. */
export function createAdmission(host: AdmissionHost, queueLimit: number): Admission {
  const { clock, random, endpoints } = host;
  const running = new Map<string, number>();
  const serviceTimes = new Map<string, Milliseconds>();
  let waiters: Waiter[] = [];
  const waitersByQueue = new Map<string, number>();
  let sequence = 0;

  function tryRoute(request: RouteRequest): Outcome<Slot, RouteError> {
    const candidates = endpoints.findCandidates(request);
    if (candidates.length === 0) return NONE;
    const available = candidates.filter(hasCapacity).filter(isAttemptAllowed).filter(isDue);
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
    addRunning(request.account, 1);
    return {
      endpoint: view.endpoint,
      isLeaving: () => endpoints.isLeaving(view.endpoint.name),
      recordActivity: () => endpoints.recordActivity(view.endpoint.name),
      getActivityTime: () => endpoints.getActivityTime(view.endpoint.name),
      release(result) {
        if (!isHeld) return;
        isHeld = false;
        recordServiceTime(request, clock.elapsed() - startedAt);
        endpoints.release(view.endpoint.name, result);
        addRunning(request.account, -1);
        serveWaiters();
      },
    };
  }

  function addRunning(account: string, amount: number): void {
    const count = (running.get(account) ?? 0) + amount;
    if (count > 0) running.set(account, count);
    else running.delete(account);
  }

  function recordServiceTime(request: RouteRequest, duration: Milliseconds): void {
    const known = getServiceTime(request);
    const next = known + (duration - known) * SERVICE_TIME_SMOOTHING_RATIO;
    serviceTimes.set(getTargetName(request), next);
  }

  function getServiceTime(request: RouteRequest): Milliseconds {
    return serviceTimes.get(getTargetName(request)) ?? INITIAL_SERVICE_TIME_MS;
  }

  function countWaitersAhead(request: RouteRequest): number {
    return waitersByQueue.get(getQueueName(request)) ?? 0;
  }

  function createBusyError(
    request: RouteRequest,
    candidates: EndpointView[],
  ): Extract<RouteError, { kind: 'busy' }> {
    const isLimited = candidates.every(
      ({ rateShare, pausedFor }) => rateShare !== undefined || pausedFor > 0,
    );
    return { kind: 'busy', retryAfter: estimateWait(request, candidates), isLimited };
  }

  function estimateWait(request: RouteRequest, candidates: EndpointView[]): Milliseconds {
    const serviceTime = getServiceTime(request);
    const open = candidates.filter(({ pausedFor }) => pausedFor === 0);
    if (open.length === 0) return Math.min(...candidates.map(({ pausedFor }) => pausedFor));
    const throughput = open.reduce((sum, view) => sum + getThroughput(view, serviceTime), 0);
    return (countWaitersAhead(request) + 1) / throughput;
  }

  // Within a priority, the account with the fewest running requests per weight goes first; then requests
  // that are bound to one version, because only few endpoints may serve them.
  function compareWaiters(a: Waiter, b: Waiter): number {
    const byPriority = b.request.priority - a.request.priority;
    const byShare = getRelativeUse(a.request.account) - getRelativeUse(b.request.account);
    const byBinding = Number(isBound(b.request)) - Number(isBound(a.request));
    return byPriority || byShare || byBinding || a.order - b.order;
  }

  function getRelativeUse(account: string): number {
    return (running.get(account) ?? 0) / (host.getAccount(account)?.weight ?? 1);
  }

  function serveWaiters(): void {
    rejectExpired();
    let hasProgress = true;
    while (hasProgress && waiters.length > 0) {
      const ordered = [...waiters].sort(compareWaiters);
      hasProgress = ordered.some(serveWaiter);
    }
  }

  function serveWaiter(waiter: Waiter): boolean {
    const outcome = tryRoute(waiter.request);
    if (outcome.err && outcome.val.kind === 'busy') return false;
    removeWaiter(waiter);
    waiter.resolve(outcome);
    return true;
  }

  function addWaiter(waiter: Waiter): void {
    waiters.push(waiter);
    countWaiter(waiter, 1);
  }

  function removeWaiter(waiter: Waiter): void {
    waiters = waiters.filter((other) => other !== waiter);
    countWaiter(waiter, -1);
  }

  function countWaiter({ request }: Waiter, amount: number): void {
    const queue = getQueueName(request);
    const count = (waitersByQueue.get(queue) ?? 0) + amount;
    if (count > 0) waitersByQueue.set(queue, count);
    else waitersByQueue.delete(queue);
  }

  function rejectExpired(): void {
    const expired = waiters.filter((waiter) => clock.elapsed() >= waiter.deadline);
    expired.forEach((waiter) => {
      removeWaiter(waiter);
      const { request } = waiter;
      const { isLimited } = createBusyError(request, endpoints.findCandidates(request));
      waiter.resolve(Err({ kind: 'busy', retryAfter: getServiceTime(request), isLimited }));
    });
  }

  function removeAborted(waiter: Waiter): void {
    if (!waiters.includes(waiter)) return;
    removeWaiter(waiter);
    waiter.resolve(Err({ kind: 'abandoned' }));
  }

  function scheduleRecheck(): void {
    if (waiters.length === 0) return;
    clock.after(RECHECK_INTERVAL_MS, () => {
      serveWaiters();
      scheduleRecheck();
    });
  }

  return {
    async acquire(request) {
      const isFirst = countWaitersAhead(request) === 0;
      const outcome = isFirst ? tryRoute(request) : checkBehindWaiters(request);
      if (outcome.ok || outcome.val.kind !== 'busy') return outcome;
      // Refuses at once if the estimated wait exceeds the request's patience.
      const isWaitTooLong = outcome.val.retryAfter > request.patience;
      if (isWaitTooLong || waiters.length >= queueLimit) return outcome;
      return new Promise((resolve) => {
        const deadline = clock.elapsed() + request.patience;
        sequence += 1;
        const waiter = { request, deadline, order: sequence, resolve };
        addWaiter(waiter);
        request.signal?.addEventListener('abort', () => removeAborted(waiter), { once: true });
        if (waiters.length === 1) scheduleRecheck();
        serveWaiters();
      });
    },
    wake: serveWaiters,
    waiting: () => waiters.length,
  };

  function checkBehindWaiters(request: RouteRequest): Outcome<Slot, RouteError> {
    const candidates = endpoints.findCandidates(request);
    if (candidates.length === 0) return NONE;
    if (candidates.every((view) => view.isUnreachable)) return UNREACHABLE;
    return Err(createBusyError(request, candidates));
  }
}

// Requests a millisecond that the endpoint ends, or that it takes from this instance.
function getThroughput(
  { endpoint, rateShare, slotShare = Infinity }: EndpointView,
  serviceTime: Milliseconds,
): number {
  const capacity = Math.min(endpoint.concurrency, slotShare) / serviceTime;
  return rateShare === undefined ? capacity : Math.min(capacity, rateShare / MS_PER_SECOND);
}

// Returns a name that requests share which delay each other. Those for other targets wait for other endpoints;
// those that are bound to a version delay only each other, since the others may be served anywhere.
function getQueueName(request: RouteRequest): string {
  const target = getTargetName(request);
  const origin = getOrigin(request);
  return origin ? `${target} at version ${origin.version ?? ''}` : target;
}

function isBound(request: RouteRequest): boolean {
  return getOrigin(request) !== undefined;
}

function getOrigin({ target }: RouteRequest): ServiceTarget['origin'] {
  return target.kind === 'service' ? target.origin : undefined;
}

function getTargetName({ target }: RouteRequest): string {
  return match(target)
    .with({ kind: 'engine' }, ({ model }) => `engine ${model}`)
    .with({ kind: 'service' }, ({ service }) => `service ${service}`)
    .exhaustive();
}

// Allows one request at a time to probe whether an unreachable endpoint has recovered.
function isAttemptAllowed({ isUnreachable, inFlight }: EndpointView): boolean {
  return !isUnreachable || inFlight === 0;
}

function isDue({ isPaced, pausedFor }: EndpointView): boolean {
  return !isPaced && pausedFor === 0;
}

// Prefers healthy local endpoints, then healthy ones of other data centres, then failing ones.
function preferCandidates(
  available: EndpointView[],
  dataCentre: string | undefined,
): EndpointView[] {
  const healthy = available.filter((view) => !view.isFailing);
  const local = healthy.filter((view) => view.endpoint.dataCentre === dataCentre);
  if (local.length > 0) return local;
  return healthy.length > 0 ? healthy : available;
}
