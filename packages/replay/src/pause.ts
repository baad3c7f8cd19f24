import type { Milliseconds } from '@pomeloroad/core';

/** Waits in real time. Unlike the timers of the product's clock, it keeps the process alive. */
export function pause(delay: Milliseconds): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delay);
  });
}
