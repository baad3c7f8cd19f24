import type http from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Which connection is closed when each has a request. */
export type BusyVictim = 'newest' | 'oldest';

/**
 * Keeps the server's connections within the limit. For one more, that one is closed which has been without a
 * request for longest; if each has a request, the victim is.
 */
export function limitConnections(server: http.Server, limit: number, victim: BusyVictim): void {
  const open = new Set<Socket>();
  /** Open connections without a request, in the order in which they have come to be so. */
  const idle = new Set<Socket>();
  /** Requests that are not answered, by connection. */
  const requests = new WeakMap<Socket, number>();

  // The new one is the last of the idle ones.
  function closeOne(): void {
    const [idlest] = idle;
    const [oldest] = open;
    const closed = idle.size === 1 && victim === 'oldest' ? oldest : idlest;
    if (!closed) return;
    open.delete(closed);
    idle.delete(closed);
    closed.destroy();
  }

  function count(socket: Socket, change: number): void {
    const pending = (requests.get(socket) ?? 0) + change;
    requests.set(socket, pending);
    if (pending === 0 && open.has(socket)) idle.add(socket);
    else idle.delete(socket);
  }

  server.on('connection', (socket: Socket) => {
    // A connection that has asked for another protocol is announced again.
    if (open.has(socket)) return;
    open.add(socket);
    idle.add(socket);
    socket.once('close', () => {
      open.delete(socket);
      idle.delete(socket);
    });
    if (open.size > limit) closeOne();
  });
  server.on('request', ({ socket }: IncomingMessage, response: ServerResponse) => {
    count(socket, 1);
    response.once('finish', () => count(socket, -1));
  });
}
