import type { Clock, Milliseconds, Timer } from './types';

const EPOCH_MS = Date.UTC(2026, 0, 1);

/** A clock for tests: its time changes only by `advance`. */
export interface ManualClock extends Clock {
  /** Moves the time forward. Runs the due timers in order, with promise reactions in between. */
  advance(time: Milliseconds): Promise<void>;
}

interface PendingTimer {
  at: Milliseconds;
  order: number;
  callback: () => void;
}

/** Creates a clock whose elapsed time is 0. */
export function createManualClock(): ManualClock {
  let elapsed = 0;
  let order = 0;
  let pending: PendingTimer[] = [];

  function takeDue(until: Milliseconds): PendingTimer | undefined {
    const due = pending.filter((timer) => timer.at <= until);
    due.sort((a, b) => a.at - b.at || a.order - b.order);
    const [next] = due;
    if (next) pending = pending.filter((timer) => timer !== next);
    return next;
  }

  return {
    now: () => new Date(EPOCH_MS + elapsed),
    elapsed: () => elapsed,
    idle: () => elapsed,
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
      await flushMicrotasks();
      for (let next = takeDue(until); next; next = takeDue(until)) {
        elapsed = Math.max(elapsed, next.at);
        next.callback();
        await flushMicrotasks();
      }
      elapsed = until;
    },
  };
}

// All promise reactions, however long their chain, run before the next macrotask.
function flushMicrotasks(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}
