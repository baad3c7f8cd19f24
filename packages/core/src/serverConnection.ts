import http from 'node:http';
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { measureRequest, openConnectionMemory } from './connectionMemory';
import { createDroppedInput } from './droppedInput';
import type { DroppedInput } from './droppedInput';
import { createLaterParser } from './laterParser';
import { createLookAhead } from './lookAhead';
import type { MemoryAccount } from './memoryAccount';
import type { AbandonedBody, ServerConnection } from './serverConnectionTypes';
import { restoreListeners } from './socketListeners';
import { createWaitingBodies } from './waitingBodies';

/** Requests that one caller may have waiting for their answers; no more is parsed beyond these. */
const REQUESTS_MAX = 64;

const connections = new WeakMap<Socket, ServerConnection>();

/** Returns the connection of a socket if one has been created for it. */
export function findConnection(socket: Socket): ServerConnection | undefined {
  return connections.get(socket);
}

/** Returns the connection of a server's socket; creates it if none is known. What it holds is added to the account. */
export function getConnection(socket: Socket, memory: MemoryAccount): ServerConnection {
  const known = connections.get(socket);
  if (known) return known;
  const connection = createConnection(socket, memory);
  connections.set(socket, connection);
  return connection;
}

function createConnection(socket: Socket, account: MemoryAccount): ServerConnection {
  /** Responses that are not sent in full, in the order of their requests. */
  const open = new Set<ServerResponse>();
  const memory = openConnectionMemory(account, {
    resume: () => lookAhead.schedule(),
    isReading,
    hasSeveral: () => open.size > 1,
    refuse: giveUp,
  });
  const bodies = createWaitingBodies(memory.hold);
  const lookAhead = createLookAhead(socket, {
    mayParse: () =>
      !isYielding && open.size <= REQUESTS_MAX && !bodies.isFull() && memory.mayRead(),
    mayHold: memory.mayRead,
    hold: memory.holdAhead,
    bodyBytesLeft: () => (isReading() ? bodyBytesLeft : 0),
    onParse: noteParsed,
  });
  const laterParser = createLaterParser(socket, {
    mayBegin: () => open.size === 0,
    hold: memory.holdAhead,
  });
  let latest: ServerResponse | undefined;
  let abandonBody: ((fault: AbandonedBody) => void) | undefined;
  /** Bytes that are still to come of the latest request's body, of which the length was stated; at most a slice less are. */
  let bodyBytesLeft = 0;
  let isRefused = false;
  let refusal: number | undefined;
  let isClosing = false;
  let isYielding = false;
  socket.once('close', memory.close);
  /** What still arrives, once it is dropped. */
  let dropped: DroppedInput | undefined;

  // There is no parser to look ahead of while the input is dropped, or held for a new one.
  function readAhead(): void {
    if (!dropped && !laterParser.isWaiting()) lookAhead.start();
  }

  function accept(response: ServerResponse): void {
    if (!latest) prepareClose();
    latest = response;
    abandonBody = undefined;
    memory.endHead();
    bodyBytesLeft = Number(response.req.headers['content-length']) || 0;
    open.add(response);
    const bytes = measureRequest(response.req);
    memory.hold(bytes);
    response.once('finish', () => {
      open.delete(response);
      bodies.release(response.req);
      memory.hold(-bytes);
      closeRefused();
      lookAhead.schedule();
      laterParser.schedule();
    });
  }

  function parseLater(pieces: Buffer[], parse: () => void): void {
    const removeListeners = restoreListeners(socket, open);
    if (dropped) {
      socket.resume();
      return;
    }
    laterParser.hold([...pieces, ...lookAhead.stop()], () => {
      removeListeners();
      // The timer of idle connections may run since the last response.
      socket.setTimeout(0);
      parse();
    });
  }

  function noteParsed(bytes: number): void {
    bodyBytesLeft -= bytes;
    if (latest && !latest.req.complete) return;
    memory.holdHead(bytes);
  }

  function isReading(): boolean {
    return latest !== undefined && open.has(latest) && !latest.req.complete;
  }

  // A body is refused, since nothing has run yet; with others open the connection is closed, which promises nothing.
  function giveUp(): void {
    if (open.size === 1 && isReading() && abandonBody && latest) {
      abandonBody('no-memory');
      bodies.release(latest.req);
    } else {
      socket.destroy();
    }
  }

  function yieldInput(): void {
    if (isYielding) return;
    isYielding = true;
    setImmediate(() => {
      isYielding = false;
      lookAhead.schedule();
    });
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
    if (dropped) return;
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
    abandonBody?.('unreadable');
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
    const input = dropInput();
    if (!latest) {
      socket.destroySoon();
      return;
    }
    socket.end(input.linger);
  }

  function dropInput(): DroppedInput {
    if (dropped) return dropped;
    laterParser.cancel();
    lookAhead.stop();
    dropped = createDroppedInput(socket);
    return dropped;
  }

  return {
    bodies,
    readAhead,
    yieldInput,
    isDropping: () => dropped !== undefined,
    isEnding: () => latest?.shouldKeepAlive === false,
    isLatest: (response) => latest === response,
    accept,
    holdAnswer: memory.holdAnswer,
    onAbandoned(callback) {
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
    restoreListeners: () => restoreListeners(socket, open),
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
