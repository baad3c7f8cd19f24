import type { Socket } from 'node:net';
import type { Milliseconds } from './types';

/** Silence after which the caller of a closed connection is taken to send nothing more. */
const LINGER_SILENCE_MS: Milliseconds = 1000;
/** Time and bytes within which the caller of a closed connection may still send without a reset. */
const LINGER_MAX_MS: Milliseconds = 10_000;
const LINGER_MAX_BYTES = 16 * 1024 * 1024;

/** What still arrives on a connection whose input is dropped. */
export interface DroppedInput {
  /** Destroys the connection, which has sent all, once its caller is silent or has sent too much. */
  linger(): void;
}

/**
 * Takes what arrives from the connection's parser and drops it. It is still read, since the end of the
 * connection would go unnoticed otherwise.
 */
export function createDroppedInput(socket: Socket): DroppedInput {
  let dropped = 0;

  socket.removeAllListeners('data');
  socket.on('data', (data: Buffer) => {
    dropped += data.length;
    if (socket.writableFinished && dropped > LINGER_MAX_BYTES) socket.destroy();
  });
  socket.on('end', () => socket.end());
  socket.resume();

  return {
    linger() {
      dropped = 0;
      const silence = setTimeout(() => socket.destroy(), LINGER_SILENCE_MS);
      const longest = setTimeout(() => socket.destroy(), LINGER_MAX_MS);
      socket.on('data', () => silence.refresh());
      socket.once('close', () => {
        clearTimeout(silence);
        clearTimeout(longest);
      });
    },
  };
}
