import http from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { createDroppedInput } from './droppedInput';
import type { DroppedInput } from './droppedInput';
import { holdInput } from './heldInput';
import { createLookAhead } from './lookAhead';
import type { MemoryAccount } from './memoryAccount';
import { createWaitingBodies } from './waitingBodies';
import type { WaitingBodies } from './waitingBodies';

/** Requests that one caller may have waiting for their answers; no more is parsed beyond these. */
const REQUESTS_MAX = 64;
/** Memory of a request until it is answered, besides its head and body. */
const REQUEST_BYTES = 8 * 1024;

/** Memory of a byte of a head: heads are strings, which lie in the heap and are joined while they arrive. */
const HEAD_RATIO = 2;

/** A connection of a server, with the requests that are accepted on it. */
export interface ServerConnection {
  bodies: WaitingBodies;
  /** Takes the input over from Node's parser, which gets it bit by bit. */
  readAhead(): void;
  /** Parses no more in this turn, so that whoever serves a request can close the connection first. */
  yieldInput(): void;
  isDropping(): boolean;
  /** Whether the latest accepted request's response is the last one. */
  isEnding(): boolean;
  isLatest(response: ServerResponse): boolean;
  accept(response: ServerResponse): void;
  /** Holds the bytes of an accepted request's answer until it is sent. */
  holdAnswer(response: ServerResponse, bytes: number): void;
  /** Calls back when the body of the latest request turns out to be unreadable, or is not read on for want of memory. */
  onAbandoned(callback: (fault: AbandonedBody) => void): void;
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

/** Why a body is not read to its end. */
export type AbandonedBody = 'unreadable' | 'no-memory';

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

function createConnection(socket: Socket, memory: MemoryAccount): ServerConnection {
  /** Responses that are not sent in full, in the order of their requests. */
  const open = new Set<ServerResponse>();
  const share = memory.open({
    resume: () => lookAhead.schedule(),
    isBringing: () => aheadBytes + headBytes > 0 || isReading(),
    mayRefuse: () => aheadBytes + headBytes + answerBytes > 0 || open.size > 1 || isReading(),
    refuse: giveUp,
  });
  const bodies = createWaitingBodies(share.hold);
  const lookAhead = createLookAhead(socket, {
    mayParse: () => !isYielding && open.size <= REQUESTS_MAX && !bodies.isFull() && share.mayRead(),
    mayHold: share.mayRead,
    hold: holdAhead,
    bodyBytesLeft: () => (isReading() ? bodyBytesLeft : 0),
    onParse: noteParsed,
  });
  let latest: ServerResponse | undefined;
  let abandonBody: ((fault: AbandonedBody) => void) | undefined;
  /** Bytes that arrived and are not parsed. */
  let aheadBytes = 0;
  /** Bytes that the parser got since the latest request, of a head that has not ended. */
  let headBytes = 0;
  /** Bytes that are still to come of the latest request's body, of which the length was stated; at most a slice less are. */
  let bodyBytesLeft = 0;
  /** Bytes of answers that are not sent in full. */
  let answerBytes = 0;
  let isRefused = false;
  let refusal: number | undefined;
  let isClosing = false;
  let isYielding = false;
  socket.once('close', share.close);
  /** What still arrives, once it is dropped. */
  let dropped: DroppedInput | undefined;
  /** Gives the connection a new parser for the input that is held, if any is. */
  let parseHeld: (() => void) | undefined;

  // There is no parser to look ahead of while the input is dropped, or held for a new one.
  function readAhead(): void {
    if (!dropped && !parseHeld) lookAhead.start();
  }

  function accept(response: ServerResponse): void {
    if (!latest) prepareClose();
    latest = response;
    abandonBody = undefined;
    endHead();
    bodyBytesLeft = Number(response.req.headers['content-length']) || 0;
    open.add(response);
    const bytes = measureHead(response.req) + REQUEST_BYTES;
    share.hold(bytes);
    response.once('finish', () => {
      open.delete(response);
      bodies.release(response.req);
      share.hold(-bytes);
      closeRefused();
      lookAhead.schedule();
      scheduleHeld();
    });
  }

  function parseLater(pieces: Buffer[], parse: () => void): void {
    const removeListeners = restoreListeners();
    if (dropped) {
      socket.resume();
      return;
    }
    const held = holdInput(socket, [...pieces, ...lookAhead.stop()], holdAhead);
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
    if (!dropped && !socket.destroyed && !socket.readableEnded) parse?.();
  }

  function holdAhead(bytes: number): void {
    aheadBytes += bytes;
    share.hold(bytes);
  }

  function noteParsed(bytes: number): void {
    bodyBytesLeft -= bytes;
    if (latest && !latest.req.complete) return;
    headBytes += bytes * HEAD_RATIO;
    share.hold(bytes * HEAD_RATIO);
  }

  function endHead(): void {
    share.hold(-headBytes);
    headBytes = 0;
  }

  function holdAnswer(response: ServerResponse, bytes: number): void {
    const hold = (change: number) => {
      answerBytes += change;
      share.hold(change);
    };
    response.once('finish', () => hold(-bytes));
    hold(bytes);
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
    parseHeld = undefined;
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
    holdAnswer,
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
    restoreListeners,
    parseLater,
  };
}

function closeResponse(response: ServerResponse): void {
  response.destroy();
  response.emit('close');
}

function measureHead({ rawHeaders, url = '' }: IncomingMessage): number {
  return HEAD_RATIO * rawHeaders.reduce((bytes, text) => bytes + text.length, url.length);
}

function createRefusal(status: number): string {
  const head = [
    `HTTP/1.1 ${status} ${http.STATUS_CODES[status]}`,
    'Connection: close',
    'Content-Length: 0',
  ];
  return `${head.join('\r\n')}\r\n\r\n`;
}
