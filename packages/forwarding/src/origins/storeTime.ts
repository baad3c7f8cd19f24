import type { Clock, Milliseconds } from '@pomeloroad/core';

/** The time of the store's clock, which no change of the time of day moves. */
export interface StoreTime {
  /** Notes the time at which the store made the reading that has just arrived. */
  note(now: Milliseconds): void;
  /** Returns the store's time, too early by the time of the latest reading's transfer; 0 without any reading. */
  get(): Milliseconds;
  /** Returns the time since the latest reading arrived. */
  getAge(): Milliseconds;
}

/** Creates a time without readings. */
export function createStoreTime(clock: Clock): StoreTime {
  let noted: Milliseconds = 0;
  let notedAt: Milliseconds = -Infinity;
  const getAge = () => clock.elapsed() - notedAt;
  return {
    note(now) {
      noted = now;
      notedAt = clock.elapsed();
    },
    get: () => (notedAt === -Infinity ? noted : noted + getAge()),
    getAge,
  };
}
