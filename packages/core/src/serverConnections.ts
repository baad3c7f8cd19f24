import http from 'node:http';
import type https from 'node:https';
import type { Socket } from 'node:net';
import { TLSSocket } from 'node:tls';
import { Err, Ok } from 'ts-results';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { holdInput } from './heldInput';
import { createLookAhead } from './lookAhead';
import { renderPlainHead } from './plainHead';
import type { Milliseconds, Outcome } from './types';
import { createWaitingBodies } from './waitingBodies';
import type { WaitingBodies } from './waitingBodies';

/** Silence after which the caller of a closed connection is taken to send nothing more. */
const LINGER_SILENCE_MS: Milliseconds = 1000;
/** Time and bytes within which the caller of a closed connection may still send without a reset. */
const LINGER_MAX_MS: Milliseconds = 10_000;
const LINGER_MAX_BYTES = 16 * 1024 * 1024;

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

/** Why a request's body was not read: it is too large, it is malformed, or the caller disconnected. */
export type BodyFault = 'too-large' | 'unreadable' | 'disconnected';

/** A connection of a server, with the requests that are accepted on it. */
interface ServerConnection {
  bodies: WaitingBodies;
  isDropping(): boolean;
  /** Whether the latest accepted request's response is the last one. */
  isEnding(): boolean;
  isLatest(response: ServerResponse): boolean;
  accept(response: ServerResponse): void;
  /** Calls back when the body of the latest request turns out to be unreadable. */
  onUnreadable(callback: () => void): void;
  /** Drops what still arrives. */
  dropInput(): void;
  /**
   * Closes the connection once the accepted requests are answered; the status, if there is one, is
   * sent last.
   */
  refuse(status: number | undefined): void;
  /** Resolves at once unless the connection is being closed; then, once it has closed. */
  waitUntilClosed(): Promise<void>;
  /**
   * Makes up for the listeners that Node takes off a socket that asks for a tunnel or for another
   * protocol; returns a function that removes them again.
   */
  restoreListeners(): () => void;
  /**
   * Holds the input, of which the pieces were read already, and calls back for a new parser once all
   * accepted requests are answered, unless the connection closes then.
   */
  parseLater(pieces: Buffer[], parse: () => void): void;
}

const connections = new WeakMap<Socket, ServerConnection>();

/**
 * Calls `serve` with each request of the server, and keeps what arrives behind a request from ending
 * its connection: input that can't be read, or that asks for a tunnel, is refused once all responses
 * before it are sent, and then the connection closes. What follows it is dropped, and so is what
 * follows a response that announces the close. A request that asks for another protocol is served as
 * one that does not. The server must not require a `Host` by itself.
 */
export function serveInOrder(
  server: http.Server | https.Server,
  serve: (message: IncomingMessage, response: ServerResponse) => void,
): void {
  server.on('request', (message: IncomingMessage, response: ServerResponse) => {
    const connection = getConnection(message.socket);
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
    getConnection(socket).refuse(error.code === CLOSED_CONNECTION_CODE ? undefined : status);
  });
  server.on('connect', (_message: IncomingMessage, socket: Socket) => {
    const connection = getConnection(socket);
    connection.restoreListeners();
    connection.refuse(STATUS_BAD_REQUEST);
  });
  // Without a listener Node serves the request too, but drops what arrived in the same read behind it.
  server.on('upgrade', (message: IncomingMessage, socket: Socket, rest: Buffer) => {
    const connection = getConnection(socket);
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
  const connection = connections.get(response.req.socket);
  if (!connection || connection.isLatest(response)) response.shouldKeepAlive = false;
}

/**
 * Resolves at once unless the response's connection closes with it; then, once its caller can send nothing more
 * that would take the end of the response from it.
 */
export async function waitUntilClosed(response: ServerResponse): Promise<void> {
  await connections.get(response.req.socket)?.waitUntilClosed();
}

/** Reads the body of a request that `serveInOrder` has passed on; leaves its connection open. */
export function readRequestBody(
  message: IncomingMessage,
  limit = Infinity,
): Promise<Outcome<Buffer, BodyFault>> {
  const connection = getConnection(message.socket);
  return new Promise((resolve) => {
    let chunks: Buffer[] = [];
    let size = 0;
    let isDone = false;
    const fail = (fault: BodyFault) => {
      if (isDone) return;
      isDone = true;
      chunks = [];
      resolve(Err(fault));
    };
    connection.onUnreadable(() => fail('unreadable'));
    connection.bodies.read(message, (chunk) => {
      size += chunk.length;
      if (size > limit) fail('too-large');
      else chunks.push(chunk);
    });
    message.on('end', () => {
      isDone = true;
      resolve(Ok(Buffer.concat(chunks)));
      // The connection keeps this listener for as long as it is open.
      chunks = [];
    });
    message.on('error', () => fail('disconnected'));
    message.on('close', () => fail('disconnected'));
  });
}

function getConnection(socket: Socket): ServerConnection {
  const known = connections.get(socket);
  if (known) return known;
  const connection = createConnection(socket);
  connections.set(socket, connection);
  return connection;
}

function isHostMissing({ headers, httpVersion }: IncomingMessage): boolean {
  return headers.host === undefined && httpVersion === '1.1';
}

function createConnection(socket: Socket): ServerConnection {
  /** Responses that are not sent in full, in the order of their requests. */
  const open = new Set<ServerResponse>();
  const lookAhead = createLookAhead(socket);
  const bodies = createWaitingBodies(socket, startLookAhead);
  let latest: ServerResponse | undefined;
  let abandonBody: () => void = () => undefined;
  let isDropping = false;
  let isRefused = false;
  let refusal: number | undefined;
  let isClosing = false;
  let dropped = 0;
  /** Gives the connection a new parser for the input that is held, if any is. */
  let parseHeld: (() => void) | undefined;

  // There is no parser to look ahead of while the input is dropped, or held for a new one.
  function startLookAhead(): void {
    if (!isDropping && !parseHeld) lookAhead.start();
  }

  function accept(response: ServerResponse): void {
    if (!latest) prepareClose();
    latest = response;
    abandonBody = () => undefined;
    open.add(response);
    response.once('finish', () => {
      open.delete(response);
      bodies.release(response.req);
      closeRefused();
      limitInput();
      scheduleHeld();
    });
    limitInput();
  }

  function parseLater(pieces: Buffer[], parse: () => void): void {
    const removeListeners = restoreListeners();
    if (isDropping) {
      socket.resume();
      return;
    }
    const held = holdInput(socket, [...pieces, ...lookAhead.stop()]);
    parseHeld = () => {
      held.giveBack();
      removeListeners();
      // The timer of idle connections may run since the last response.
      socket.setTimeout(0);
      parse();
      socket.resume();
    };
    scheduleHeld();
  }

  // Node still handles the latest response's end, or the parser that it has taken off, in this turn.
  function scheduleHeld(): void {
    if (parseHeld && open.size === 0) setImmediate(endHold);
  }

  function endHold(): void {
    const parse = parseHeld;
    parseHeld = undefined;
    if (!isDropping && !socket.destroyed && !socket.readableEnded) parse?.();
  }

  function restoreListeners(): () => void {
    const ignore = () => undefined;
    const tellDrained = () => {
      const [current] = open;
      current?.emit('drain');
    };
    socket.on('error', ignore);
    socket.on('drain', tellDrained);
    return () => {
      socket.off('error', ignore);
      socket.off('drain', tellDrained);
    };
  }

  function limitInput(): void {
    if (!isDropping) bodies.limit(open.size);
  }

  function prepareClose(): void {
    // Node closes a connection by this method after a response that announced it.
    Object.assign(socket, { destroySoon: close });
    // Node tells only the first of the open responses that the connection has closed.
    socket.once('close', () => {
      [...open].filter((response) => !response.destroyed).forEach(closeResponse);
      // Nor does it tell the requests if it has taken the parser off.
      open.forEach((response) => response.req.destroy());
    });
  }

  function refuse(status: number | undefined): void {
    if (isDropping) return;
    // A caller that has closed its side has left, so a response that runs is given up.
    const hasLeft = socket.readableEnded && open.size > 0;
    dropInput();
    if (hasLeft) {
      socket.end();
      return;
    }
    isRefused = true;
    refusal = status;
    if (latest && !latest.req.complete) refuseBody(latest);
    closeRefused();
  }

  // The refusal takes the place of the answer of the request whose body can't be read, unless it has one.
  function refuseBody(response: ServerResponse): void {
    if (response.headersSent) refusal = undefined;
    else open.delete(response);
    abandonBody();
  }

  function closeRefused(): void {
    if (!isRefused || isClosing || open.size > 0) return;
    if (refusal !== undefined && socket.writable) socket.write(createRefusal(refusal));
    close();
  }

  // Closes the connection once all is sent. Closing it with unread input would reset it, and take from
  // the caller what it has not read yet.
  function close(): void {
    if (isClosing) return;
    isClosing = true;
    dropInput();
    if (!latest) {
      socket.destroySoon();
      return;
    }
    socket.end(linger);
  }

  function linger(): void {
    dropped = 0;
    const silence = setTimeout(() => socket.destroy(), LINGER_SILENCE_MS);
    const longest = setTimeout(() => socket.destroy(), LINGER_MAX_MS);
    socket.on('data', () => silence.refresh());
    socket.once('close', () => {
      clearTimeout(silence);
      clearTimeout(longest);
    });
  }

  // Takes what arrives from the parser. It is still read, since the end of the connection would go
  // unnoticed otherwise.
  function dropInput(): void {
    if (isDropping) return;
    isDropping = true;
    parseHeld = undefined;
    lookAhead.stop();
    socket.removeAllListeners('data');
    socket.on('data', (data: Buffer) => {
      dropped += data.length;
      if (socket.writableFinished && dropped > LINGER_MAX_BYTES) socket.destroy();
    });
    socket.on('end', () => socket.end());
    socket.resume();
  }

  return {
    bodies,
    isDropping: () => isDropping,
    isEnding: () => latest?.shouldKeepAlive === false,
    isLatest: (response) => latest === response,
    accept,
    onUnreadable(callback) {
      abandonBody = callback;
    },
    dropInput,
    refuse,
    waitUntilClosed() {
      if (!isClosing || socket.destroyed) return Promise.resolve();
      return new Promise((resolve) => {
        socket.once('close', () => resolve());
      });
    },
    restoreListeners,
    parseLater,
  };
}

function closeResponse(response: ServerResponse): void {
  response.destroy();
  response.emit('close');
}

function createRefusal(status: number): string {
  const head = [
    `HTTP/1.1 ${status} ${http.STATUS_CODES[status]}`,
    'Connection: close',
    'Content-Length: 0',
  ];
  return `${head.join('\r\n')}\r\n\r\n`;
}
