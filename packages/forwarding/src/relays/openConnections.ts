import type { Connection } from '@pomeloroad/core';

/** How a connection was opened; `relay` names the instance that carries it. */
export interface OpenedWay {
  address: string;
  relay: string | undefined;
}

/** The open connections to endpoints, by the way they take. */
export interface OpenConnections {
  add(connection: Connection, way: OpenedWay): void;
  /** Tells those of matching ways that they are not to be used for further requests. */
  retire(matches: (way: OpenedWay) => boolean): void;
}

/** Creates a list of no connection. */
export function createOpenConnections(): OpenConnections {
  const open = new Map<Connection, OpenedWay>();
  return {
    add(connection, way) {
      open.set(connection, way);
      connection.once('close', () => open.delete(connection));
    },
    retire(matches) {
      [...open].forEach(([connection, way]) => {
        if (!matches(way)) return;
        Object.assign(connection, { isRetired: true });
        connection.emit('retired');
      });
    },
  };
}
