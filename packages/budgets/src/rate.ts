import type { Clock, Milliseconds } from '@pomeloroad/core';

const MS_PER_SECOND = 1000;

/** An exponentially weighted rate of events a second. */
export interface RateMeter {
  add(amount: number): void;
  perSecond(): number;
}

/** Creates a meter that forgets with the given time constant. */
export function createRateMeter(clock: Clock, constant: Milliseconds): RateMeter {
  let weight = 0;
  let updatedAt = clock.elapsed();

  function decay(): void {
    const now = clock.elapsed();
    weight *= Math.exp((updatedAt - now) / constant);
    updatedAt = now;
  }

  return {
    add(amount) {
      decay();
      weight += amount;
    },
    perSecond() {
      decay();
      return (weight * MS_PER_SECOND) / constant;
    },
  };
}
