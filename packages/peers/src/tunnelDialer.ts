import { WebSocket } from 'ws';
import { Err, Ok, Result } from 'ts-results';
import type { Connection, Milliseconds, Outcome } from '@pomeloroad/core';
import { TUNNEL_PATH } from './tunnelListener';
import { createTunnelStream } from './tunnelStream';
import { RefusalStatus } from './tunnelTypes';
import type { TunnelError, TunnelRefusal } from './tunnelTypes';

/** Where an instance accepts tunnels, and the secret that it asks for. */
export interface TunnelAddress {
  address: string;
  secret: string;
}

/**
 * Opens a connection to the endpoint through another instance within the timeout. Never rejects, whatever
 * the address or the endpoint's name is.
 */
export async function openTunnel(
  { address, secret }: TunnelAddress,
  endpoint: string,
  timeout: Milliseconds,
): Promise<Outcome<Connection, TunnelError>> {
  const opened = Result.wrap<WebSocket, Error>(() => {
    const url = `ws://${address}${TUNNEL_PATH}${encodeURIComponent(endpoint)}`;
    return new WebSocket(url, {
      headers: { authorization: `Bearer ${secret}` },
      handshakeTimeout: Math.max(1, timeout),
      perMessageDeflate: false,
    });
  });
  if (opened.err) return Err('unreachable');
  const socket = opened.val;
  return new Promise((resolve) => {
    // The listener stays, because ending a refused upgrade is reported as an error too.
    socket.on('error', () => resolve(Err('unreachable')));
    socket.once('unexpected-response', (request, response) => {
      resolve(Err(toTunnelError(response.statusCode ?? 0)));
      request.destroy();
    });
    socket.once('open', () => resolve(Ok(createTunnelStream(socket, address))));
  });
}

function toTunnelError(status: number): TunnelError {
  const refusals = Object.keys(RefusalStatus) as TunnelRefusal[];
  return refusals.find((refusal) => RefusalStatus[refusal] === status) ?? 'unreachable';
}
