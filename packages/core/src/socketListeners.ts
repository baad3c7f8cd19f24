import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/**
 * Makes up for the listeners that Node takes off a socket that asks for a tunnel or for another
 * protocol; returns a function that removes them again. The open responses are in the order of their requests.
 */
export function restoreListeners(socket: Socket, open: Set<ServerResponse>): () => void {
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
