import type { Clock, Milliseconds } from './types';

const TICK_INTERVAL_MS = 200;
/** A longer time between two ticks means that the whole process was paused. */
const PAUSE_THRESHOLD_MS = 1500;
/**
 * A larger gain of the wall clock over the monotonic clock means that the machine was suspended:
 * the monotonic clock stops meanwhile, the wall clock does not.
 */
const DRIFT_THRESHOLD_MS = 1000;

/** Keeps a process that was paused from acting on stale state. */
export interface PauseGuard {
  /** Resolves at once, or after a pause as soon as the state is refreshed. */
  waitUntilFresh(): Promise<void>;
  /** Returns for how long the process was held up in all: the time by which its timers came late. */
  getHeldUpTime(): Milliseconds;
}

/** Starts checking for pauses; calls `refresh` after each one. */
export function createPauseGuard(clock: Clock, refresh: () => Promise<void>): PauseGuard {
  let lastTick: Milliseconds = clock.elapsed();
  let lastDrift = getDrift();
  let refreshing: Promise<void> | undefined;
  let tickDueAt: Milliseconds = lastTick;
  let heldUpBefore: Milliseconds = 0;

  // A forward step of the wall clock looks like a suspension and only costs an unneeded refresh.
  function getDrift(): Milliseconds {
    return clock.now().getTime() - clock.elapsed();
  }

  function checkTick(): void {
    const now = clock.elapsed();
    const drift = getDrift();
    if (now - lastTick > PAUSE_THRESHOLD_MS || drift - lastDrift > DRIFT_THRESHOLD_MS)
      startRefresh();
    lastTick = now;
    lastDrift = drift;
  }

  // After a pause connections are read before timers run, so the tick that is due counts already.
  function getHeldUpTime(): Milliseconds {
    return heldUpBefore + Math.max(0, clock.elapsed() - tickDueAt);
  }

  function startRefresh(): void {
    refreshing ??= refresh().finally(() => {
      refreshing = undefined;
    });
  }

  function tick(): void {
    checkTick();
    heldUpBefore = getHeldUpTime();
    tickDueAt = clock.elapsed() + TICK_INTERVAL_MS;
    clock.after(TICK_INTERVAL_MS, tick);
  }

  tick();
  return {
    getHeldUpTime,
    async waitUntilFresh() {
      checkTick();
      if (refreshing) await refreshing;
    },
  };
}
