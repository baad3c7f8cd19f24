import type { Clock, Milliseconds } from '@pomeloroad/core';

const TICK_MS = 100;
/** A tick that comes later than this means that the whole process stood still. */
const PAUSED_AFTER_MS = 1500;

/** Keeps a process that stood still from acting on what it knew before. */
export interface PauseGuard {
  /** Resolves at once, or after a pause once the view of the fleet is read again. */
  pass(): Promise<void>;
}

/** Starts watching for pauses. */
export function createPauseGuard(clock: Clock, refresh: () => Promise<void>): PauseGuard {
  let lastTick: Milliseconds = clock.elapsed();
  let refreshing: Promise<void> | undefined;

  function checkTick(): void {
    const now = clock.elapsed();
    if (now - lastTick > PAUSED_AFTER_MS) startRefresh();
    lastTick = now;
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
