import net from 'node:net';
import { setImmediate } from 'node:timers/promises';
import { TLSSocket } from 'node:tls';
import type http from 'node:http';
import type https from 'node:https';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { waitUntilClosed } from './serverConnections';

/** The requests of an HTTP server whose responses are not sent in full yet. */
export interface OpenRequests {
  /**
   * Counts a request as open until its work has ended and its response is sent in full or its
   * connection has closed. Resolves then; rejects as `work` does.
   */
  track(response: ServerResponse, work: Promise<void>): Promise<void>;
  count(): number;
  /** Returns the requests that count as open, in the order of their arrival. */
  list(): IncomingMessage[];
  /** Returns the number of responses that are sent and whose connections close but have not closed yet. */
  countLingering(): number;
  /**
   * Stops accepting connections, and closes the idle ones once no response is being sent. Resolves
   * when all connections have closed.
   */
  close(): Promise<void>;
  /** Closes the connections of all open requests, so that no response looks complete. */
  cut(): void;
}

/** Creates the open requests of a server that has none yet. */
export function createOpenRequests(server: http.Server | https.Server): OpenRequests {
  const open = new Set<ServerResponse>();
  const lingering = new Set<ServerResponse>();
  let isClosing = false;

  // Node takes a connection for idle once its response has ended, although it may not be sent yet, and its
  // caller may still send.
  function closeIdleConnections(): void {
    if (isClosing && open.size === 0 && lingering.size === 0) server.closeIdleConnections();
  }

  async function linger(response: ServerResponse): Promise<void> {
    lingering.add(response);
    // Node closes a connection in the turn in which it tells that the response has ended.
    await setImmediate();
    await waitUntilClosed(response);
    lingering.delete(response);
    closeIdleConnections();
  }

  return {
    async track(response, work) {
      open.add(response);
      try {
        await work;
        await waitUntilSent(response);
      } finally {
        open.delete(response);
        linger(response);
      }
    },
    count: () => open.size,
    list: () => [...open].map(({ req }) => req),
    countLingering: () => lingering.size,
    close() {
      isClosing = true;
      return new Promise((resolve) => {
        // The method of the HTTP server itself closes the connections that Node takes for idle.
        net.Server.prototype.close.call(server, () => resolve());
        closeIdleConnections();
      });
    },
    cut: () => open.forEach(cutResponse),
  };
}

/**
 * Closes the response's connection before its end. A response that has no length and no chunks ends
 * with its connection, so this is reset. TLS has no reset; its receiver misses the closing alert. A
 * response that waits behind another one on its connection is cut once that one is sent.
 */
export function cutResponse(response: ServerResponse): void {
  const { socket } = response;
  if (!socket || response.chunkedEncoding || socket instanceof TLSSocket) response.destroy();
  else socket.resetAndDestroy();
}

/** Resolves when the system has taken the whole response, or when its connection has closed. */
export function waitUntilSent(response: ServerResponse): Promise<void> {
  const { socket } = response.req;
  if (response.writableFinished || response.destroyed || socket.destroyed) return Promise.resolve();
  return new Promise((resolve) => {
    const finish = () => {
      response.off('finish', finish);
      response.off('close', finish);
      socket.off('close', finish);
      resolve();
    };
    response.once('finish', finish);
    response.once('close', finish);
    // A response that waits behind another one on its connection is not told that this has closed.
    socket.once('close', finish);
  });
}
