import type { IncomingMessage } from 'node:http';

/** Bytes of bodies that one caller may have waiting; no more is read beyond these. */
const BYTES_MAX = 1024 * 1024;

/** The bodies of the requests that one caller has sent and that are not answered yet. */
export interface WaitingBodies {
  /** Whether a body is left unread because of those before it, so that no more is to be parsed. */
  isFull(): boolean;
  /**
   * Reads the body once few enough others are held; the first one at once. `onRelease` is called when what was
   * read is not to be kept any more.
   */
  read(message: IncomingMessage, onData: (chunk: Buffer) => void, onRelease: () => void): void;
  /** Forgets the body of a request that is answered or given up. */
  release(message: IncomingMessage): void;
}

/** A body that is being read or has been. */
interface HeldBody {
  bytes: number;
  onRelease(): void;
}

/** Creates the bodies of a connection that has brought none; `note` gets the bytes that they add or free. */
export function createWaitingBodies(note: (bytes: number) => void): WaitingBodies {
  /** The bodies that are being read or have been, in their order. */
  const held = new Map<IncomingMessage, HeldBody>();
  let heldBytes = 0;
  /** Begins to read each of the others. */
  const unread = new Map<IncomingMessage, () => void>();
  const paused = new Set<IncomingMessage>();

  function hold(message: IncomingMessage, bytes: number): void {
    const body = held.get(message);
    if (!body) return;
    body.bytes += bytes;
    heldBytes += bytes;
    note(bytes);
    if (!held.has(message) || mayRead(message)) return;
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
    read(message, onData, onRelease) {
      unread.set(message, () => {
        held.set(message, { bytes: 0, onRelease });
        message.on('data', (chunk: Buffer) => {
          onData(chunk);
          hold(message, chunk.length);
        });
      });
      readNext();
    },
    release(message) {
      const { bytes, onRelease } = held.get(message) ?? { bytes: 0, onRelease: undefined };
      held.delete(message);
      unread.delete(message);
      heldBytes -= bytes;
      onRelease?.();
      note(-bytes);
      // What is left of a body whose request is answered is dropped, so that the next one can be read.
      if (paused.delete(message)) message.resume();
      resumePaused();
      readNext();
    },
  };
}
