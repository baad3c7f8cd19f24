import type { Clock, Connection, Milliseconds } from '@pomeloroad/core';

/** Time for which a connection that nobody waits for is kept; endpoints close idle ones later. */
const SPARE_TIME_MS: Milliseconds = 1000;

/** Open connections that have carried nothing yet and that nobody waits for, by their ways. */
export interface SpareConnections {
  /** Keeps the connection until it is taken, ends or has been kept for long enough. */
  add(way: string, connection: Connection): void;
  /** Returns the one that was added first; `undefined` if there is none. */
  take(way: string): Connection | undefined;
}

interface Spare {
  connection: Connection;
  /** Forgets the connection, which stays open. */
  release(): void;
}

/** Creates a list of no connection. */
export function createSpareConnections(clock: Clock): SpareConnections {
  const spares = new Map<string, Spare[]>();

  function remove(way: string, spare: Spare): void {
    const others = (spares.get(way) ?? []).filter((other) => other !== spare);
    if (others.length > 0) spares.set(way, others);
    else spares.delete(way);
  }

  return {
    add(way, connection) {
      const timer = clock.after(SPARE_TIME_MS, destroy);
      const spare: Spare = { connection, release };
      spares.set(way, [...(spares.get(way) ?? []), spare]);
      connection.on('error', ignore);
      connection.once('close', release);
      connection.once('retired', destroy);
      // Nothing was asked, so what arrives is an end or belongs to no request.
      connection.on('readable', destroy);

      function release(): void {
        timer.cancel();
        remove(way, spare);
        connection.off('error', ignore);
        connection.off('close', release);
        connection.off('retired', destroy);
        connection.off('readable', destroy);
      }

      function destroy(): void {
        remove(way, spare);
        connection.destroy();
      }
    },
    take(way) {
      const [first] = spares.get(way) ?? [];
      first?.release();
      return first?.connection;
    },
  };
}

function ignore(): void {
  // An error is followed by the close.
}
