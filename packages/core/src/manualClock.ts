import type { Clock, Milliseconds, Timer } from './types';

const EPOCH_MS = Date.UTC(2026, 0, 1);

/** A clock that stands still until it is moved. */
export interface ManualClock extends Clock {
  /** Moves the time forward, calling back each timer that falls due, and lets tasks run. */
  advance(time: Milliseconds): Promise<void>;
}

interface Pending {
  at: Milliseconds;
  order: number;
  callback: () => void;
}

/** Creates a clock at time 0. */
export function createManualClock(): ManualClock {
  let elapsed = 0;
  let order = 0;
  let pending: Pending[] = [];

  function takeDue(until: Milliseconds): Pending | undefined {
    const due = pending.filter((timer) => timer.at <= until);
    due.sort((a, b) => a.at - b.at || a.order - b.order);
    const [next] = due;
    if (next) pending = pending.filter((timer) => timer !== next);
    return next;
  }

  return {
    now: () => new Date(EPOCH_MS + elapsed),
    elapsed: () => elapsed,
    after(delay, callback): Timer {
      order += 1;
      const timer = { at: elapsed + delay, order, callback };
      pending.push(timer);
      return {
        cancel() {
          pending = pending.filter((other) => other !== timer);
        },
      };
    },
    async advance(time) {
      const until = elapsed + time;
      await settleTasks();
      for (let next = takeDue(until); next; next = takeDue(until)) {
        elapsed = Math.max(elapsed, next.at);
        next.callback();
        await settleTasks();
      }
      elapsed = until;
    },
  };
}

// Promise reactions run before the next macrotask, however many follow each other.
function settleTasks(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}
