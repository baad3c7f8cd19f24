import type { IncomingMessage } from 'node:http';

/** Bytes of bodies that one caller may have waiting; no more is read beyond these. */
const BYTES_MAX = 1024 * 1024;

/** The bodies of the requests that one caller has sent and that are not answered yet. */
export interface WaitingBodies {
  /** Whether a body is left unread because of those before it, so that no more is to be parsed. */
  isFull(): boolean;
  /** Reads the body once few enough others are held; the first one at once. */
  read(message: IncomingMessage, onData: (chunk: Buffer) => void): void;
  /** Forgets the body of a request that is answered. */
  release(message: IncomingMessage): void;
}

/** Creates the bodies of a connection that has brought none. */
export function createWaitingBodies(): WaitingBodies {
  /** Bytes of the bodies that are being read or have been, in their order. */
  const held = new Map<IncomingMessage, number>();
  let heldBytes = 0;
  /** Begins to read each of the others. */
  const unread = new Map<IncomingMessage, () => void>();
  const paused = new Set<IncomingMessage>();

  function hold(message: IncomingMessage, bytes: number): void {
    held.set(message, (held.get(message) ?? 0) + bytes);
    heldBytes += bytes;
    if (mayRead(message)) return;
    message.pause();
    paused.add(message);
  }

  // The body of the request whose turn it is stands first, and is read to its end.
  function mayRead(message: IncomingMessage): boolean {
    const [first = message] = held.keys();
    return heldBytes <= BYTES_MAX || message === first;
  }

  function resumePaused(): void {
    [...paused].filter(mayRead).forEach((message) => {
      paused.delete(message);
      message.resume();
    });
  }

  function readNext(): void {
    for (const [message, start] of unread) {
      if (!mayRead(message)) return;
      unread.delete(message);
      start();
    }
  }

  return {
    isFull: () => unread.size + paused.size > 0,
    read(message, onData) {
      unread.set(message, () => {
        held.set(message, 0);
        message.on('data', (chunk: Buffer) => {
          onData(chunk);
          if (held.has(message)) hold(message, chunk.length);
        });
      });
      readNext();
    },
    release(message) {
      heldBytes -= held.get(message) ?? 0;
      held.delete(message);
      unread.delete(message);
      // What is left of a body whose request is answered is dropped, so that the next one can be read.
      if (paused.delete(message)) message.resume();
      resumePaused();
      readNext();
    },
  };
}
