import type { Clock, Milliseconds, PauseGuard } from '@pomeloroad/core';

/** Dependencies of the pauses of an answer. */
export interface AnswerPausesHost extends Pick<PauseGuard, 'getHeldUpTime'> {
  clock: Clock;
}

/** The pauses in which an endpoint has made an answer: between the events of a stream, or the parts of another one. */
export interface AnswerPauses {
  /** Notes an event or part; returns the pause since the one before, `undefined` for the first. */
  note(): Milliseconds | undefined;
  /** Lets the present pause begin now, as what came before was not read. */
  restart(): void;
  /** Time from the request to the first one; `undefined` while there is none. */
  getFirst(): Milliseconds | undefined;
  /** Returns the longest pause between two, or from the last one to the given time. */
  getLongest(until?: Milliseconds): Milliseconds;
}

/**
 * Creates the pauses of the answer to a request that is sent now. What came while this process was held up is read
 * only after that, so that time counts for no pause.
 */
export function createAnswerPauses({ clock, getHeldUpTime }: AnswerPausesHost): AnswerPauses {
  let first: Milliseconds | undefined;
  let longest: Milliseconds = 0;
  let lastAt = clock.elapsed();
  let heldUpBefore = getHeldUpTime();

  function getPause(until: Milliseconds): Milliseconds {
    return Math.max(0, until - lastAt - (getHeldUpTime() - heldUpBefore));
  }

  function restart(): void {
    lastAt = clock.elapsed();
    heldUpBefore = getHeldUpTime();
  }

  return {
    note() {
      const pause = getPause(clock.elapsed());
      restart();
      if (first === undefined) {
        first = pause;
        return undefined;
      }
      longest = Math.max(longest, pause);
      return pause;
    },
    restart,
    getFirst: () => first,
    getLongest: (until = lastAt) => Math.max(longest, getPause(until)),
  };
}
