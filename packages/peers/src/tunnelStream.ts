import type { Duplex } from 'node:stream';
import { createWebSocketStream } from 'ws';
import type { WebSocket } from 'ws';
import type { Connection } from '@pomeloroad/core';

/** Close codes of an end that the other side has stated, with and without a reason. */
const STATED_ENDS = new Set([1000, 1005]);

/** Largest message that is sent; a relay accepts none above 1 MiB, but a body may be written at once. */
const MESSAGE_MAX_BYTES = 262_144;

/**
 * Returns the bytes of a tunnel as a stream. It ends in order only if the other side states its end; a
 * process that dies closes its connections too, which destroys the stream as a reset does.
 */
export function createTunnelStream(socket: WebSocket, remoteAddress: string): Connection {
  const stream = createWebSocketStream(socket, { allowHalfOpen: false });
  splitWrites(stream);
  socket.prependOnceListener('close', (code: number) => {
    if (!STATED_ENDS.has(code)) stream.destroy(new Error('the tunnel was cut'));
  });
  return Object.assign(stream, { remoteAddress, isCarried: true }, createSocketOptions(stream));
}

// Each message is sent once the one before it is taken, so that no second copy of a body is held.
function splitWrites(stream: Duplex): void {
  const { _write: write } = stream;
  const writePieces: Duplex['_write'] = (chunk: Buffer, encoding, callback) => {
    const rest = chunk.subarray(MESSAGE_MAX_BYTES);
    write.call(stream, chunk.subarray(0, MESSAGE_MAX_BYTES), encoding, (error) => {
      if (error || rest.length === 0) callback(error);
      else writePieces(rest, encoding, callback);
    });
  };
  Object.assign(stream, { _write: writePieces });
}

// What HTTP agents ask of their connections.
function createSocketOptions(stream: NodeJS.EventEmitter) {
  let timer: NodeJS.Timeout | undefined;
  const ignore = () => stream;
  stream.once('close', () => clearTimeout(timer));
  return {
    setKeepAlive: ignore,
    setNoDelay: ignore,
    ref: ignore,
    unref: ignore,
    // Agents set it whenever a connection becomes idle.
    setTimeout(delay: number) {
      clearTimeout(timer);
      if (delay > 0) timer = setTimeout(() => stream.emit('timeout'), delay).unref();
      return stream;
    },
  };
}
