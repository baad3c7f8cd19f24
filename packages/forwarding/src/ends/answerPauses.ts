import type { Clock, Milliseconds } from '@pomeloroad/core';

/** The pauses in which an endpoint has made an answer: between the events of a stream, or the parts of another one. */
export interface AnswerPauses {
  /** Notes an event or part; returns the pause since the one before, `undefined` for the first. */
  note(): Milliseconds | undefined;
  /** Time from the request to the first one; `undefined` while there is none. */
  getFirst(): Milliseconds | undefined;
  /** Returns the longest pause between two; 0 while there is none. */
  getLongest(): Milliseconds;
}

/** Creates the pauses of the answer to a request that is sent now. */
export function createAnswerPauses(clock: Clock): AnswerPauses {
  const sentAt = clock.elapsed();
  let first: Milliseconds | undefined;
  let longest: Milliseconds = 0;
  let lastAt = sentAt;
  return {
    note() {
      const now = clock.elapsed();
      const pause = now - lastAt;
      lastAt = now;
      if (first === undefined) {
        first = pause;
        return undefined;
      }
      longest = Math.max(longest, pause);
      return pause;
    },
    getFirst: () => first,
    getLongest: () => longest,
  };
}
