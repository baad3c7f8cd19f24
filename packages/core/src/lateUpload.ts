import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Milliseconds } from './types';

/** Time in which a server that has answered must take more of the body; that of an unused answer too. */
const LATE_UPLOAD_SILENCE_MS: Milliseconds = 250;

/**
 * Closes the connection of a request that is answered but not wholly written once its server takes
 * nothing more. Nobody waits for the rest, which would be held for as long as the server lives.
 */
export function limitLateUpload(request: ClientRequest): void {
  const close = () => request.destroy();

  function watch(): void {
    const { socket } = request;
    if (request.writableFinished || !socket || socket.destroyed) return;
    socket.setTimeout(LATE_UPLOAD_SILENCE_MS);
    socket.once('timeout', close);
    request.once('close', () => socket.off('timeout', close));
  }

  request.once('response', (response: IncomingMessage) => response.once('end', watch));
}
