import type { Clock, Milliseconds, Random, Timer } from './types';

/** Milliseconds in a second. */
export const MS_PER_SECOND: Milliseconds = 1000;
/** Longest delay of Node's timers; a longer one fires at once. */
const TIMER_MAX_MS: Milliseconds = 2 ** 31 - 1;

/** Creates a clock on the system time. Its timers do not keep the process alive. */
export function createSystemClock(): Clock {
  return {
    now: () => new Date(),
    elapsed: () => performance.now(),
    idle: () => performance.eventLoopUtilization().idle,
    after(delay, callback) {
      const handle = setTimeout(callback, Math.min(delay, TIMER_MAX_MS));
      handle.unref();
      return { cancel: () => clearTimeout(handle) };
    },
  };
}

/** Resolves after the delay, or as soon as the signal is aborted. */
export function sleep(clock: Clock, delay: Milliseconds, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted) {
      resolve();
      return;
    }
    let timer: Timer;
    const finish = () => {
      timer.cancel();
      signal?.removeEventListener('abort', finish);
      resolve();
    };
    timer = clock.after(delay, finish);
    signal?.addEventListener('abort', finish);
  });
}

/**
 * Resolves to the promise's value, or to the fallback after the delay. Rejects if the promise does
 * so first.
 */
export function withTimeout<T>(
  clock: Clock,
  delay: Milliseconds,
  promise: Promise<T>,
  fallback: T,
): Promise<T> {
  return new Promise((resolve, reject) => {
    const timer = clock.after(delay, () => resolve(fallback));
    promise.then(
      (value) => {
        timer.cancel();
        resolve(value);
      },
      (reason: unknown) => {
        timer.cancel();
        reject(reason);
      },
    );
  });
}

/** Returns a random delay, uniform from 0.5 to 1.5 times the given one. */
export function jitter(random: Random, delay: Milliseconds): Milliseconds {
  return delay * (0.5 + random.fraction());
}

/**
 * Runs the step until the signal is aborted and sleeps for `delay()` after each run. Rejects if a
 * step does.
 */
export async function runPeriodically(
  clock: Clock,
  delay: () => Milliseconds,
  signal: AbortSignal,
  step: () => Promise<void>,
): Promise<void> {
  while (!signal.aborted) {
    await step();
    await sleep(clock, delay(), signal);
  }
}
