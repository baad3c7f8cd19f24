import http from 'node:http';
import https from 'node:https';
import { answerExpectations, createOpenRequests, listen, serveInOrder } from '@pomeloroad/core';
import type { MemoryAccount } from '@pomeloroad/core';
import { createCallerHandler } from './callerHandler';
import type { CallerHandlerHost } from './callerHandler';

const KEEP_ALIVE_TIMEOUT_MS = 65_000;

/** Dependencies of the server. */
export interface CallerServerHost extends CallerHandlerHost {
  /** The account of what callers send. */
  memory: MemoryAccount;
}

/** The HTTP server to which callers connect. */
export interface CallerServer {
  /** Starts to listen and returns the address. */
  listen(): Promise<string>;
  /** Number of requests whose answers are not sent in full yet. */
  open(): number;
  /** Stops accepting connections. Resolves once all open ones have ended. */
  close(): Promise<void>;
  /** Cuts the answers that are not sent in full. */
  cut(): void;
}

/** Creates a server that does not listen yet; it uses HTTPS if a certificate is given. */
export function createCallerServer(
  host: CallerServerHost,
  tls?: { cert: string; key: string },
): CallerServer {
  const { settings } = host;
  const handle = createCallerHandler(host);
  const serverOptions = {
    maxHeaderSize: settings.headerLimit,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    requireHostHeader: false,
  };
  const server = tls
    ? https.createServer({ ...serverOptions, ...tls })
    : http.createServer(serverOptions);
  server.maxConnections = settings.connectionLimit;
  server.headersTimeout = settings.requestTimeout;
  server.requestTimeout = settings.requestTimeout;
  answerExpectations(server);
  const openRequests = createOpenRequests(server);
  serveInOrder(
    server,
    (request, response) => {
      openRequests.track(response, handle(request, response));
    },
    host.memory,
  );
  return {
    listen: () => listen(server, settings.callersAddress),
    open: openRequests.count,
    close: openRequests.close,
    cut: openRequests.cut,
  };
}
