import net from 'node:net';
import type { Socket } from 'node:net';

/** No more is read while more than this is held for a caller. */
const HELD_MAX_BYTES = 1024 * 1024;

/** Reads a connection on while its parser takes no input, since its caller's leaving would go unnoticed otherwise. */
export interface LookAhead {
  /** Begins to look ahead whenever the parser takes no input; does nothing if it has begun. */
  start(): void;
  /** Ends looking ahead, and returns what the parser has not taken, in its order. */
  stop(): Buffer[];
}

/** Creates the look-ahead of a connection of an HTTP server, which has not begun. It begins while a parser listens. */
export function createLookAhead(socket: Socket): LookAhead {
  let held: Buffer[] = [];
  let heldBytes = 0;
  /** Node's listener, which parses; there is one while the look-ahead runs. */
  let parse: ((piece: Buffer) => void) | undefined;
  let isHolding = false;
  let isScheduled = false;

  function hold(piece: Buffer): void {
    held.push(piece);
    heldBytes += piece.length;
    if (heldBytes > HELD_MAX_BYTES) net.Socket.prototype.pause.call(socket);
    schedule();
  }

  // The parser may be at work yet, and takes no further input meanwhile.
  function schedule(): void {
    if (isScheduled) return;
    isScheduled = true;
    setImmediate(parseHeld);
  }

  function parseHeld(): void {
    isScheduled = false;
    while (parse && !isHolding && !hasLeft()) {
      const piece = held.shift();
      if (!piece) break;
      heldBytes -= piece.length;
      parse(piece);
    }
    if (parse && heldBytes <= HELD_MAX_BYTES) net.Socket.prototype.resume.call(socket);
  }

  // What a caller that has left sent before is not served any more.
  function hasLeft(): boolean {
    return socket.destroyed || socket.readableEnded;
  }

  function pause(): Socket {
    isHolding = true;
    return socket;
  }

  // While answers wait to be sent, Node's parser must get no input, whoever resumes the connection.
  function resume(): Socket {
    if (Reflect.get(socket, '_paused') === true) return socket;
    isHolding = false;
    schedule();
    return socket;
  }

  return {
    start() {
      const [listener] = socket.listeners('data');
      if (parse || !listener || hasLeft()) return;
      isHolding = socket.isPaused();
      parse = (piece) => Reflect.apply(listener, socket, [piece]);
      socket.off('data', listener as (piece: Buffer) => void);
      // Node gives the input to a listener that is added, and no more to its parser itself.
      socket.on('data', hold);
      Object.assign(socket, { pause, resume });
      // The stream takes the read of Node's parser, which may have stopped it, for its own that goes on.
      socket.push('');
      schedule();
    },
    stop() {
      if (!parse) return [];
      parse = undefined;
      socket.off('data', hold);
      Reflect.deleteProperty(socket, 'pause');
      Reflect.deleteProperty(socket, 'resume');
      const rest = held;
      held = [];
      heldBytes = 0;
      return rest;
    },
  };
}
