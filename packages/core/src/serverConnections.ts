import type http from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import https from 'node:https';
import type { Socket } from 'node:net';
import { TLSSocket } from 'node:tls';
import { Err, Ok } from 'ts-results';
import { createJoinedPieces } from './joinedPieces';
import type { JoinedPieces } from './joinedPieces';
import { renderPlainHead } from './plainHead';
import { createSystemClock } from './clock';
import { createMemoryAccount } from './memoryAccount';
import type { MemoryAccount } from './memoryAccount';
import { findConnection, getConnection } from './serverConnection';
import type { Outcome } from './types';

const STATUS_BAD_REQUEST = 400;
const STATUS_HEAD_TOO_LARGE = 431;
/** Statuses by the codes of Node's errors; each other one is a bad request. */
const STATUS_BY_ERROR_CODE: Record<string, number> = {
  ERR_HTTP_REQUEST_TIMEOUT: 408,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
  HPE_HEADER_OVERFLOW: STATUS_HEAD_TOO_LARGE,
};
/** Error code for bytes behind a message that announced the close of its connection. */
const CLOSED_CONNECTION_CODE = 'HPE_CLOSED_CONNECTION';

/** Why a request's body was not read: it is too large or malformed, the process holds too much already, or
 * the caller disconnected. */
export type BodyFault = 'too-large' | 'unreadable' | 'no-memory' | 'disconnected';

/**
 * Calls `serve` with each request of the server, adds what its connections hold to the account, and keeps what arrives behind a request from ending
 * its connection: input that can't be read, or that asks for a tunnel, is refused once all responses
 * before it are sent, and then the connection closes. What follows it is dropped, and so is what
 * follows a response that announces the close. A request that asks for another protocol is served as
 * one that does not. The server must not require a `Host` by itself.
 */
export function serveInOrder(
  server: http.Server | https.Server,
  serve: (message: IncomingMessage, response: ServerResponse) => void,
  memory: MemoryAccount = createMemoryAccount({ clock: createSystemClock() }),
): void {
  const event = server instanceof https.Server ? 'secureConnection' : 'connection';
  server.on(event, (socket: Socket) => getConnection(socket, memory).readAhead());
  server.on('request', (message: IncomingMessage, response: ServerResponse) => {
    const connection = getConnection(message.socket, memory);
    if (connection.isDropping()) return;
    if (connection.isEnding()) connection.dropInput();
    else if (isHostMissing(message)) connection.refuse(STATUS_BAD_REQUEST);
    else {
      connection.accept(response);
      serve(message, response);
    }
  });
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
    const status = STATUS_BY_ERROR_CODE[error.code ?? ''] ?? STATUS_BAD_REQUEST;
    getConnection(socket, memory).refuse(
      error.code === CLOSED_CONNECTION_CODE ? undefined : status,
    );
  });
  server.on('connect', (_message: IncomingMessage, socket: Socket) => {
    const connection = getConnection(socket, memory);
    connection.restoreListeners();
    connection.refuse(STATUS_BAD_REQUEST);
  });
  // Without a listener Node serves the request too, but drops what arrived in the same read behind it.
  server.on('upgrade', (message: IncomingMessage, socket: Socket, rest: Buffer) => {
    const connection = getConnection(socket, memory);
    const head = renderPlainHead(message);
    if (head) connection.parseLater([head, rest], () => addParser(server, socket));
    else {
      connection.restoreListeners();
      connection.refuse(STATUS_HEAD_TOO_LARGE);
    }
  });
}

function addParser(server: http.Server | https.Server, socket: Socket): void {
  server.emit(socket instanceof TLSSocket ? 'secureConnection' : 'connection', socket);
}

/**
 * Makes the connection close once the response is sent, unless further requests are accepted on it
 * already. Must be called before the response's head is written.
 */
export function closeAfter(response: ServerResponse): void {
  const connection = findConnection(response.req.socket);
  if (!connection || connection.isLatest(response)) response.shouldKeepAlive = false;
}

/**
 * Resolves at once unless the response's connection closes with it; then, once its caller can send nothing more
 * that would take the end of the response from it.
 */
export async function waitUntilClosed(response: ServerResponse): Promise<void> {
  await findConnection(response.req.socket)?.waitUntilClosed();
}

/** Adds the bytes of a whole answer, which must not have ended yet, to what its connection holds until it is sent. */
export function holdAnswer(response: ServerResponse, bytes: number): void {
  findConnection(response.req.socket)?.holdAnswer(response, bytes);
}

/** Reads the body of a request that `serveInOrder` has passed on; leaves its connection open. */
export function readRequestBody(
  message: IncomingMessage,
  limit = Infinity,
): Promise<Outcome<Buffer, BodyFault>> {
  const connection = findConnection(message.socket);
  if (!connection) return Promise.resolve(Err('disconnected'));
  return new Promise((resolve) => {
    // The connection keeps these listeners for as long as it is open.
    let pieces: JoinedPieces | undefined = createJoinedPieces();
    let size = 0;
    let isDone = false;
    const fail = (fault: BodyFault) => {
      if (isDone) return;
      isDone = true;
      pieces = undefined;
      connection.yieldInput();
      resolve(Err(fault));
    };
    connection.onAbandoned(fail);
    const read = (chunk: Buffer) => {
      size += chunk.length;
      if (size > limit) fail('too-large');
      else pieces?.add(chunk);
    };
    connection.bodies.read(message, read, () => {
      pieces = undefined;
    });
    message.on('end', () => {
      isDone = true;
      if (pieces) resolve(Ok(pieces.join()));
      pieces = undefined;
    });
    message.on('error', () => fail('disconnected'));
    message.on('close', () => fail('disconnected'));
  });
}

function isHostMissing({ headers, httpVersion }: IncomingMessage): boolean {
  return headers.host === undefined && httpVersion === '1.1';
}
