import { Err } from 'ts-results';
import { sleep } from '@pomeloroad/core';
import type { Clock, Connection, Milliseconds, Outcome } from '@pomeloroad/core';

/** A way to open a connection, and the time for which the ways before it are awaited alone. */
export interface Way<Failure> {
  delay: Milliseconds;
  open(): Promise<Outcome<Connection, Failure>>;
}

/**
 * Tries the ways in order, each once the one before it has failed or its delay has passed. Resolves to the
 * first connection that opens, or to all failures; connections that open later are closed.
 */
export function raceConnections<Failure>(
  clock: Clock,
  ways: Way<Failure>[],
): Promise<Outcome<Connection, Failure[]>> {
  return new Promise((resolve) => {
    const failures: Failure[] = [];
    let isDone = false;

    async function tryWay(way: Way<Failure>): Promise<void> {
      const opened = await way.open();
      if (opened.err) failures.push(opened.val);
      else if (isDone) opened.val.destroy();
      else {
        isDone = true;
        resolve(opened);
      }
      if (failures.length === ways.length) resolve(Err(failures));
    }

    async function run(): Promise<void> {
      let previous = Promise.resolve();
      for (const way of ways) {
        await Promise.race([previous, sleep(clock, way.delay)]);
        if (isDone) return;
        previous = tryWay(way);
      }
    }

    run();
  });
}
