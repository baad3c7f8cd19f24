import { Diagnostics, sleep } from '@pomeloroad/core';
import type { Clock, Log, Milliseconds } from '@pomeloroad/core';

/** Time until the balancer sends no new callers after the instance says that it is not ready. */
const NOTICE_MS: Milliseconds = 2600;
/** How long a stopping instance takes new requests; what it takes must end before it does. */
const ACCEPT_MS: Milliseconds = 2800;
/** Kept for settling and returning grants before the forced end. */
const SETTLE_MS: Milliseconds = 900;
/** Left before the forced end, for the last log lines. */
const MARGIN_MS: Milliseconds = 300;
const POLL_MS: Milliseconds = 50;

/** What a shutdown acts on. */
export interface DrainHost {
  clock: Clock;
  log: Log;
  instance: {
    countOpen(): number;
    retire(): void;
    stop(patience: Milliseconds): Promise<void>;
  };
  /** Takes no new connections and closes idle ones. */
  closeFront(): void;
}

/** A shutdown, as the front sees it. */
export interface Drain {
  /** Whether it has begun: not ready, and connections close after their answer. */
  isDraining(): boolean;
  /** Whether new requests are turned away, since they could not end before the process does. */
  isClosing(): boolean;
  /** Drains within the time until the forced end; resolves when the process may exit. */
  run(grace: Milliseconds): Promise<void>;
}

/** Creates a drain that has not begun. */
export function createDrain(host: DrainHost): Drain {
  const { clock, log, instance } = host;
  let draining: Promise<void> | undefined;
  let isClosing = false;

  async function drain(grace: Milliseconds): Promise<void> {
    const startedAt = clock.elapsed();
    const forcedEnd = startedAt + grace;
    instance.retire();
    log(Diagnostics.instanceDraining, { open: instance.countOpen() });
    await sleep(clock, NOTICE_MS);
    // A data centre's only instance still gets callers: it listens to the end, so that they are told.
    while (instance.countOpen() > 0 && clock.elapsed() < forcedEnd - SETTLE_MS) {
      isClosing = clock.elapsed() - startedAt >= ACCEPT_MS;
      await sleep(clock, POLL_MS);
    }
    isClosing = true;
    host.closeFront();
    if (instance.countOpen() > 0) log(Diagnostics.drainTimedOut, { open: instance.countOpen() });
    await instance.stop(forcedEnd - MARGIN_MS - clock.elapsed());
    log(Diagnostics.instanceStopped, { open: instance.countOpen() });
  }

  return {
    isDraining: () => draining !== undefined,
    isClosing: () => isClosing,
    run(grace) {
      draining ??= drain(grace);
      return draining;
    },
  };
}
