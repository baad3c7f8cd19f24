import type { Clock, Milliseconds } from '@pomeloroad/core';

const FAILURES_TO_OPEN = 3;

/** Stops calls to a service that fails, and lets a probe through now and then. */
export interface Breaker {
  /** Whether a call may be tried now. */
  isClosed(): boolean;
  /** Whether the last calls failed. */
  isTripped(): boolean;
  succeed(): void;
  fail(): void;
}

/** Creates a closed breaker; once open, it lets one probe through per cooldown. */
export function createBreaker(
  clock: Clock,
  cooldown: Milliseconds,
  onChange: (isTripped: boolean) => void = () => undefined,
): Breaker {
  let failures = 0;
  let probeAt = 0;

  function isTripped(): boolean {
    return failures >= FAILURES_TO_OPEN;
  }

  return {
    isTripped,
    isClosed() {
      if (!isTripped()) return true;
      if (clock.elapsed() < probeAt) return false;
      probeAt = clock.elapsed() + cooldown;
      return true;
    },
    succeed() {
      const wasTripped = isTripped();
      failures = 0;
      if (wasTripped) onChange(false);
    },
    fail() {
      const wasTripped = isTripped();
      failures += 1;
      probeAt = clock.elapsed() + cooldown;
      if (!wasTripped && isTripped()) onChange(true);
    },
  };
}
