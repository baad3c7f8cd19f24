import type { Clock, Milliseconds } from '@pomeloroad/core';

const FAILURES_TO_OPEN = 3;

/** A circuit breaker: stops calls to a failing service, except for a probe per cooldown. */
export interface Breaker {
  /** Returns whether a call may be made now. While open, allows one probe call per cooldown. */
  allowCall(): boolean;
  /** Whether the breaker is open because too many consecutive calls failed. */
  isOpen(): boolean;
  recordSuccess(): void;
  recordFailure(): void;
}

/** Creates a closed breaker. `onChange` is called whenever it opens or closes. */
export function createBreaker(
  clock: Clock,
  cooldown: Milliseconds,
  onChange: (isOpen: boolean) => void = () => undefined,
): Breaker {
  let failures = 0;
  let probeAt = 0;

  function isOpen(): boolean {
    return failures >= FAILURES_TO_OPEN;
  }

  return {
    isOpen,
    allowCall() {
      if (!isOpen()) return true;
      if (clock.elapsed() < probeAt) return false;
      probeAt = clock.elapsed() + cooldown;
      return true;
    },
    recordSuccess() {
      const wasOpen = isOpen();
      failures = 0;
      if (wasOpen) onChange(false);
    },
    recordFailure() {
      const wasOpen = isOpen();
      failures += 1;
      probeAt = clock.elapsed() + cooldown;
      if (!wasOpen && isOpen()) onChange(true);
    },
  };
}
