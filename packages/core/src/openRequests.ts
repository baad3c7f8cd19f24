import net from 'node:net';
import type http from 'node:http';
import type https from 'node:https';
import type { ServerResponse } from 'node:http';

/** The requests of an HTTP server whose responses are not sent in full yet. */
export interface OpenRequests {
  /**
   * Counts a request as open until its work has ended and its response is sent in full or its
   * connection has closed. Resolves then; rejects as `work` does.
   */
  track(response: ServerResponse, work: Promise<void>): Promise<void>;
  count(): number;
  /**
   * Stops accepting connections, and closes the idle ones once no response is being sent. Resolves
   * when all connections have closed.
   */
  close(): Promise<void>;
}

/** Creates the open requests of a server that has none yet. */
export function createOpenRequests(server: http.Server | https.Server): OpenRequests {
  let open = 0;
  let isClosing = false;

  // Node takes a connection for idle once its response has ended, although it may not be sent yet.
  function closeIdleConnections(): void {
    if (isClosing && open === 0) server.closeIdleConnections();
  }

  return {
    async track(response, work) {
      open += 1;
      try {
        await work;
        await waitUntilSent(response);
      } finally {
        open -= 1;
        closeIdleConnections();
      }
    },
    count: () => open,
    close() {
      isClosing = true;
      return new Promise((resolve) => {
        // The method of the HTTP server itself closes the connections that Node takes for idle.
        net.Server.prototype.close.call(server, () => resolve());
        closeIdleConnections();
      });
    },
  };
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
