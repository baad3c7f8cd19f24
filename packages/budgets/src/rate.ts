import { MS_PER_SECOND } from '@pomeloroad/core';
import type { Clock, Milliseconds } from '@pomeloroad/core';

/** An exponentially weighted moving average of a rate. */
export interface RateMeter {
  /** Counts an amount as of now. */
  add(amount: number): void;
  /** The present average, in units of the amounts per second. */
  perSecond(): number;
}

/** Creates a meter whose rate decays exponentially with the time constant. */
export function createRateMeter(clock: Clock, timeConstant: Milliseconds): RateMeter {
  let weight = 0;
  let updatedAt = clock.elapsed();

  function decay(): void {
    const now = clock.elapsed();
    weight *= Math.exp((updatedAt - now) / timeConstant);
    updatedAt = now;
  }

  return {
    add(amount) {
      decay();
      weight += amount;
    },
    perSecond() {
      decay();
      return (weight * MS_PER_SECOND) / timeConstant;
    },
  };
}
