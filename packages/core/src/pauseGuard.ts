import type { Clock, Milliseconds } from './types';

const TICK_MS = 200;
/** A tick that comes later than this means that the whole process stood still. */
const PAUSED_AFTER_MS = 1500;
/** The steady clock stands still while a machine is suspended; the time of day does not. */
const DRIFT_MS = 1000;

/** Keeps a process that stood still from acting on what it knew before. */
export interface PauseGuard {
  /** Resolves at once, or after a pause once what the process believes is read again. */
  pass(): Promise<void>;
}

/** Starts watching for pauses. */
export function createPauseGuard(clock: Clock, refresh: () => Promise<void>): PauseGuard {
  let lastTick: Milliseconds = clock.elapsed();
  let lastDrift = getDrift();
  let refreshing: Promise<void> | undefined;

  // A step of the time of day looks like a suspension, and only costs a needless refresh.
  function getDrift(): Milliseconds {
    return clock.now().getTime() - clock.elapsed();
  }

  function checkTick(): void {
    const now = clock.elapsed();
    const drift = getDrift();
    if (now - lastTick > PAUSED_AFTER_MS || drift - lastDrift > DRIFT_MS) startRefresh();
    lastTick = now;
    lastDrift = drift;
  }

  function startRefresh(): void {
    refreshing ??= refresh().finally(() => {
      refreshing = undefined;
    });
  }

  function tick(): void {
    checkTick();
    clock.after(TICK_MS, tick);
  }

  tick();
  return {
    async pass() {
      checkTick();
      if (refreshing) await refreshing;
    },
  };
}
