import type { Clock, Milliseconds, Random, Timer } from './types';

/** A clock on the operating system's time; its timers do not keep the process alive. */
export function createSystemClock(): Clock {
  return {
    now: () => new Date(),
    elapsed: () => performance.now(),
    after(delay, callback) {
      const handle = setTimeout(callback, delay);
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

/** Resolves to the promise's value, or to the fallback once the delay has passed. */
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

/** Spreads a delay evenly over plus and minus one half of itself. */
export function jitter(random: Random, delay: Milliseconds): Milliseconds {
  return delay * (0.5 + random.fraction());
}

/** Runs the step again and again, one delay apart, until the signal is aborted. */
export async function repeat(
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
