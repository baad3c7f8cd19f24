import type { Milliseconds } from '@pomeloroad/core';

/** Resolves after a delay in real time. Its timer keeps the process alive, unlike a `Clock`'s. */
export function pause(delay: Milliseconds): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delay);
  });
}
