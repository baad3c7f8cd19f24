import { sleep } from '@pomeloroad/core';
import type { Milliseconds } from '@pomeloroad/core';
import { hasAttemptsLeft } from '../run';
import type { Run } from '../run';

/** Time after which an end that nobody has confirmed is first asked about again. */
const FIRST_WAIT_MS: Milliseconds = 100;
/** Maximum of that time, which doubles, so that questions take few of the retries that others need. */
const WAIT_MAX_MS: Milliseconds = 1600;

/** The times at which the rest of an open stream is asked for. */
export interface Pace {
  /**
   * Waits until the rest may be asked for again; not at all if an endpoint was asked and there is another one to ask.
   * Lets the request return to endpoints that it has left.
   */
  wait(wasAsked: boolean): Promise<void>;
  /** Whether it has waited after an endpoint was asked. */
  hasAsked(): boolean;
}

/** Creates the times of a request that has asked nobody yet. */
export function createPace<Payload>(run: Run<Payload>): Pace {
  let delay = FIRST_WAIT_MS;
  let hasAsked = false;
  return {
    hasAsked: () => hasAsked,
    async wait(wasAsked) {
      const isNext = run.confirmer !== undefined || hasAttemptsLeft(run);
      if (wasAsked && isNext) return;
      hasAsked ||= wasAsked;
      await sleep(run.host.clock, delay, run.stop.signal);
      allowOthers(run, delay > FIRST_WAIT_MS);
      delay = Math.min(2 * delay, WAIT_MAX_MS);
    },
  };
}

// Those that had no room may have some by now. One that has ended the stream is asked once it is clear that no other
// one answers, and the one that was asked last only if it is the only one.
function allowOthers<Payload>(run: Run<Payload>, isLater: boolean): void {
  const { returnable, excluded } = run;
  const names = [...excluded];
  const others = names.filter((name) => !returnable.has(name));
  others.forEach((name) => excluded.delete(name));
  if (others.length > 0 && hasAttemptsLeft(run) && !isLater) return;
  const ended = names.filter((name) => returnable.has(name));
  const earlier = ended.slice(0, -1);
  (earlier.length > 0 ? earlier : ended).forEach((name) => excluded.delete(name));
}
