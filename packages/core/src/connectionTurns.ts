import { setImmediate } from 'node:timers/promises';
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { waitUntilSent } from './openRequests';

/** The order of the requests that callers send on a connection before earlier ones are answered. */
export interface ConnectionTurns {
  /** Adds the request of the response behind those that its connection has brought before. */
  add(response: ServerResponse): void;
  /**
   * Resolves once all requests before it on its connection are answered: to `false` if the connection
   * has closed, or closes with the answer before it, so that this one can't be answered any more.
   */
  wait(response: ServerResponse): Promise<boolean>;
}

/** Creates the turns of a server without connections. */
export function createConnectionTurns(): ConnectionTurns {
  const latest = new WeakMap<Socket, ServerResponse>();
  const previous = new WeakMap<ServerResponse, ServerResponse>();
  return {
    add(response) {
      const { socket } = response.req;
      const before = latest.get(socket);
      if (before) previous.set(response, before);
      latest.set(socket, response);
    },
    async wait(response) {
      const before = previous.get(response);
      previous.delete(response);
      if (before) await waitUntilSent(before);
      // Node gives a response its connection in the turn in which the one before it ends, unless that closes it.
      if (before) await setImmediate();
      return response.socket?.writable === true;
    },
  };
}
