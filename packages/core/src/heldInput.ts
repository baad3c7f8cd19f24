import type { Socket } from 'node:net';

/** No more is read while more than this is held for a caller. */
const HELD_MAX_BYTES = 1024 * 1024;

/** What arrives on a connection while it has no parser. */
export interface HeldInput {
  /** Puts all that is held back, as the next that is read from the connection, which is paused. */
  giveBack(): void;
}

/**
 * Holds what arrives, behind the pieces that were read already, and notes the bytes that it holds or gives back. The connection is still read, since
 * its caller's leaving would go unnoticed otherwise.
 */
export function holdInput(
  socket: Socket,
  pieces: Buffer[],
  note: (bytes: number) => void,
): HeldInput {
  const held: Buffer[] = [];
  let heldBytes = 0;

  function hold(piece: Buffer): void {
    if (piece.length === 0) return;
    held.push(piece);
    heldBytes += piece.length;
    note(piece.length);
    if (heldBytes > HELD_MAX_BYTES) socket.pause();
  }

  function leave(): void {
    socket.end();
  }

  socket.on('data', hold);
  socket.on('end', leave);
  socket.resume();
  pieces.forEach(hold);
  return {
    giveBack() {
      socket.off('data', hold);
      socket.off('end', leave);
      socket.pause();
      note(-heldBytes);
      held.reverse().forEach((piece) => socket.unshift(piece));
    },
  };
}
