import { Diagnostics, sleep } from '@pomeloroad/core';
import type { Clock, Log, Milliseconds } from '@pomeloroad/core';

/** Time until the load balancer stops sending new callers to an instance that is not ready. */
const NOT_READY_NOTICE_MS: Milliseconds = 2600;
/** Time for which a draining instance accepts requests; these must end before the process does. */
const ACCEPT_REQUESTS_MS: Milliseconds = 2800;
/** Time reserved for settling and returning grants before the forced end. */
const SETTLEMENT_RESERVE_MS: Milliseconds = 900;
/** Time before the forced end at which requests that are still open are given up. */
const GIVE_UP_MS: Milliseconds = 500;
/** Time left before the forced end to write the last log lines. */
const EXIT_MARGIN_MS: Milliseconds = 300;
const POLL_INTERVAL_MS: Milliseconds = 50;

/** Dependencies of a drain. */
export interface DrainHost {
  clock: Clock;
  log: Log;
  instance: {
    countOpen(): number;
    /** Returns the ids of the first requests that are open, for the log. */
    nameOpen(): string;
    retire(): void;
    stop(patience: Milliseconds): Promise<void>;
  };
  /** Stops accepting connections and closes idle ones. */
  closeListener(): void;
  /** Returns the number of connections whose answers are sent but may be lost if the process exits. */
  countLingering(): number;
  /** Answers the open requests of whose answers nothing was sent, and cuts the others. */
  giveUp(): void;
  /** Cuts the answers that are not sent in full, so that none looks complete when the process exits. */
  cutOpen(): void;
}

/** Graceful shutdown of an instance. */
export interface Drain {
  /** Whether the drain has started: the instance is not ready and closes connections once answered. */
  isDraining(): boolean;
  /** Whether new requests are rejected because they could not end before the process does. */
  isRejecting(): boolean;
  /** Drains the instance before the forced end, `grace` from now; resolves when it may exit. */
  run(grace: Milliseconds): Promise<void>;
}

/** Creates a drain that has not started. */
export function createDrain(host: DrainHost): Drain {
  const { clock, log, instance } = host;
  let draining: Promise<void> | undefined;
  let isRejecting = false;

  async function poll(isAwaited: () => boolean, until: Milliseconds): Promise<void> {
    while (isAwaited() && clock.elapsed() < until) await sleep(clock, POLL_INTERVAL_MS);
  }

  async function drain(grace: Milliseconds): Promise<void> {
    const startedAt = clock.elapsed();
    const forcedEnd = startedAt + grace;
    instance.retire();
    log(Diagnostics.instanceDraining, { open: instance.countOpen() });
    await sleep(clock, NOT_READY_NOTICE_MS);
    // The only instance of a data centre still gets callers, so it keeps listening to refuse them.
    while (instance.countOpen() > 0 && clock.elapsed() < forcedEnd - SETTLEMENT_RESERVE_MS) {
      isRejecting = clock.elapsed() - startedAt >= ACCEPT_REQUESTS_MS;
      await sleep(clock, POLL_INTERVAL_MS);
    }
    isRejecting = true;
    host.closeListener();
    if (instance.countOpen() > 0) {
      log(Diagnostics.drainTimedOut, {
        open: instance.countOpen(),
        requests: instance.nameOpen(),
      });
    }
    const stopped = instance.stop(forcedEnd - EXIT_MARGIN_MS - clock.elapsed());
    await poll(() => instance.countOpen() > 0, forcedEnd - GIVE_UP_MS);
    host.giveUp();
    await poll(() => instance.countOpen() > 0, forcedEnd - EXIT_MARGIN_MS);
    await stopped;
    await poll(() => host.countLingering() > 0, forcedEnd - EXIT_MARGIN_MS);
    host.cutOpen();
    log(Diagnostics.instanceStopped, { open: instance.countOpen() });
  }

  return {
    isDraining: () => draining !== undefined,
    isRejecting: () => isRejecting,
    run(grace) {
      draining ??= drain(grace);
      return draining;
    },
  };
}
