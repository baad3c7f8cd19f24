import net from 'node:net';
import type { Socket } from 'node:net';

/** No more is read while more than this is held for a caller. */
const HELD_MAX_BYTES = 1024 * 1024;
/** What the parser gets at once; it may hold many requests, which are all parsed then. */
const SLICE_BYTES = 2048;
const HEAD_END = '\r\n\r\n';

/**
 * Input of a connection, which its parser gets bit by bit. The connection is read on while its parser takes no
 * input, since its caller's leaving would go unnoticed otherwise.
 */
export interface LookAhead {
  /** Begins; does nothing if it has begun. */
  start(): void;
  /** Goes on if the parser may take more now. */
  schedule(): void;
  /** Ends looking ahead, and returns what the parser has not taken, in its order. */
  stop(): Buffer[];
}

/** What decides on the input of a connection. */
export interface LookAheadHost {
  /** Whether the parser may take more now; `schedule` must be called once it may again. */
  mayParse(): boolean;
  /** Whether more may be read that the parser can't take yet. */
  mayHold(): boolean;
  /** Notes bytes that are held, or fewer than none that are not any more. */
  hold(bytes: number): void;
  /** Bytes that the parser may get at once, since they are of one body. */
  bodyBytesLeft(): number;
  /** Called before the parser gets bytes. */
  onParse(bytes: number): void;
}

/** Creates the look-ahead of a connection of an HTTP server, which has not begun. It begins while a parser listens. */
export function createLookAhead(socket: Socket, host: LookAheadHost): LookAhead {
  let held: Buffer[] = [];
  let heldBytes = 0;
  /** Node's listener, which parses; there is one while the look-ahead runs. */
  let parse: ((piece: Buffer) => void) | undefined;
  let isHolding = false;
  let isScheduled = false;
  let isParsing = false;

  function add(piece: Buffer): void {
    held.push(piece);
    heldBytes += piece.length;
    if (isParsing || isScheduled) noteHeld();
    else parseHeld();
  }

  // The parser may be at work yet, and takes no further input meanwhile.
  function schedule(): void {
    if (isScheduled || !parse) return;
    isScheduled = true;
    setImmediate(() => {
      isScheduled = false;
      if (!isParsing) parseHeld();
    });
  }

  function parseHeld(): void {
    isParsing = true;
    try {
      while (parse && heldBytes > 0 && !isHolding && !hasLeft() && host.mayParse()) {
        const slice = takeSlice();
        host.onParse(slice.length);
        parse(slice);
      }
    } finally {
      isParsing = false;
    }
    noteHeld();
  }

  function takeSlice(): Buffer {
    const [piece = Buffer.alloc(0)] = held;
    const slice = piece.subarray(0, Math.max(findCut(piece), host.bodyBytesLeft()));
    if (slice.length === piece.length) held.shift();
    else held[0] = piece.subarray(slice.length);
    heldBytes -= slice.length;
    return slice;
  }

  /** Bytes of which the host knows. */
  let noted = 0;

  function noteHeld(): void {
    const change = heldBytes - noted;
    noted = heldBytes;
    if (change !== 0) host.hold(change);
    if (!parse) return;
    const isFull = heldBytes > HELD_MAX_BYTES || (heldBytes > 0 && !host.mayHold());
    if (isFull) net.Socket.prototype.pause.call(socket);
    else if (socket.isPaused()) net.Socket.prototype.resume.call(socket);
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
      socket.on('data', add);
      Object.assign(socket, { pause, resume });
      // The stream takes the read of Node's parser, which may have stopped it, for its own that goes on.
      socket.push('');
      schedule();
    },
    schedule() {
      if (heldBytes > 0) schedule();
    },
    stop() {
      if (!parse) return [];
      parse = undefined;
      socket.off('data', add);
      Reflect.deleteProperty(socket, 'pause');
      Reflect.deleteProperty(socket, 'resume');
      const rest = held;
      held = [];
      heldBytes = 0;
      if (!isParsing) noteHeld();
      return rest;
    },
  };
}

// A head that the parser has begun must not wait for the requests before it: its time would run.
function findCut(piece: Buffer): number {
  if (piece.length <= SLICE_BYTES) return piece.length;
  const lastHeadEnd = piece.lastIndexOf(HEAD_END, SLICE_BYTES - HEAD_END.length);
  return lastHeadEnd === -1 ? SLICE_BYTES : lastHeadEnd + HEAD_END.length;
}
