import { Diagnostics } from '@pomeloroad/core';
import type { Clock, Log, Milliseconds } from '@pomeloroad/core';

/** Connections accepted before the next request is handled, while more of them wait. */
const MAX_ACCEPTS_PER_REQUEST = 8;
/** Wait of a request from which on the process does not keep up with its callers. */
const OVERLOAD_WAIT_MS: Milliseconds = 250;
/** Time without such a wait after which it keeps up again; the load balancer checks once a second. */
const RECOVERY_MS: Milliseconds = 2500;

/** Dependencies of the queue. */
export interface ArrivalQueueHost {
  clock: Clock;
  log: Log;
  /** Runs the callback in the next turn of the event loop, after the I/O of this turn. */
  runNextTurn(callback: () => void): void;
}

/**
 * Queue of the requests that have arrived but are not handled yet. The event loop accepts one
 * connection a turn, so a turn that handles many requests leaves connections waiting where the
 * process does not see them. The queue handles one request a turn and accepts connections first, so
 * that the wait is in the process: it is part of the request's time, and shows an overload.
 */
export interface ArrivalQueue {
  /** Records that a connection was accepted in this turn. */
  noteConnection(): void;
  /** Resolves when the request may be handled. */
  waitForTurn(): Promise<void>;
  /** Whether requests have lately waited so long that new callers are better served elsewhere. */
  isOverloaded(): boolean;
}

interface Arrival {
  at: Milliseconds;
  handle(): void;
}

/** Creates an empty queue. */
export function createArrivalQueue({ clock, log, runNextTurn }: ArrivalQueueHost): ArrivalQueue {
  const arrivals: Arrival[] = [];
  let isScheduled = false;
  let hasAccepted = false;
  let acceptsInRow = 0;
  let overloadedAt: Milliseconds = -Infinity;
  let wasOverloaded = false;

  function schedule(): void {
    if (isScheduled) return;
    isScheduled = true;
    runNextTurn(runTurn);
  }

  function runTurn(): void {
    isScheduled = false;
    acceptsInRow = hasAccepted ? acceptsInRow + 1 : 0;
    hasAccepted = false;
    if (acceptsInRow === 0 || acceptsInRow > MAX_ACCEPTS_PER_REQUEST) handleNext();
    if (arrivals.length > 0) schedule();
  }

  function handleNext(): void {
    acceptsInRow = 0;
    const arrival = arrivals.shift();
    if (!arrival) return;
    if (clock.elapsed() - arrival.at > OVERLOAD_WAIT_MS) overloadedAt = clock.elapsed();
    arrival.handle();
  }

  // Logs the changes too: readiness is asked for each second, and by each answer.
  function isOverloaded(): boolean {
    const isNow = clock.elapsed() - overloadedAt < RECOVERY_MS;
    if (isNow !== wasOverloaded) {
      log(isNow ? Diagnostics.instanceOverloaded : Diagnostics.instanceKeepsUp, {
        waiting: arrivals.length,
      });
    }
    wasOverloaded = isNow;
    return isNow;
  }

  return {
    noteConnection() {
      hasAccepted = true;
    },
    waitForTurn() {
      return new Promise((resolve) => {
        arrivals.push({ at: clock.elapsed(), handle: resolve });
        schedule();
      });
    },
    isOverloaded,
  };
}
