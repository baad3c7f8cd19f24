import http from 'node:http';
import type { IncomingMessage } from 'node:http';
import type { Duplex } from 'node:stream';
import { WebSocketServer } from 'ws';
import type { WebSocket } from 'ws';
import { Err } from 'ts-results';
import { isSameText, listen, watchClose } from '@pomeloroad/core';
import type { Connection, Outcome } from '@pomeloroad/core';
import { createTunnelStream } from './tunnelStream';
import { RefusalStatus } from './tunnelTypes';
import type { TunnelRefusal } from './tunnelTypes';

/** Path of a tunnel, before the endpoint's name. */
export const TUNNEL_PATH = '/tunnel/';
const FRAME_MAX_BYTES = 1_048_576;
/** Each tunnel takes two descriptors. */
const TUNNELS_MAX = 600;

/** Dependencies of a listener for tunnels. */
export interface TunnelListenerHost {
  /** Who names it may open tunnels. */
  secret: string;
  /** Opens a connection to the endpoint over the instance's own path. */
  open(endpoint: string): Promise<Outcome<Connection, TunnelRefusal>>;
}

/** Carries connections to endpoints for instances that can't reach them. */
export interface TunnelListener {
  /** Listens on `ip:port`; resolves to the bound address. */
  listen(address: string): Promise<string>;
  /** Returns the number of open tunnels. */
  count(): number;
  /** Refuses further tunnels; open ones go on. */
  stopAccepting(): void;
  /** Cuts all tunnels and stops listening. */
  close(): void;
}

/** Creates a listener that is not bound yet. */
export function createTunnelListener({ secret, open }: TunnelListenerHost): TunnelListener {
  const server = http.createServer((_, response) => response.writeHead(404).end());
  const upgrades = new WebSocketServer({
    noServer: true,
    maxPayload: FRAME_MAX_BYTES,
    perMessageDeflate: false,
  });
  const tunnels = new Set<Connection>();
  let isAccepting = true;

  async function openChecked(
    request: IncomingMessage,
  ): Promise<Outcome<Connection, TunnelRefusal>> {
    if (!isSameText(request.headers.authorization ?? '', `Bearer ${secret}`)) {
      return Err('unauthorized');
    }
    if (!isAccepting || tunnels.size >= TUNNELS_MAX) return Err('closing');
    const endpoint = decodeEndpoint(request.url ?? '');
    return endpoint === undefined ? Err('unknown-endpoint') : open(endpoint);
  }

  server.on('upgrade', async (request: IncomingMessage, socket: Duplex, head: Buffer) => {
    socket.on('error', () => socket.destroy());
    const opened = await openChecked(request);
    if (opened.err) {
      refuse(socket, opened.val);
    } else if (socket.destroyed) {
      opened.val.destroy();
    } else {
      // An upgrade that is not valid closes the socket without a tunnel.
      const closeTarget = () => opened.val.destroy();
      socket.once('close', closeTarget);
      upgrades.handleUpgrade(request, socket, head, (upgraded) => {
        socket.off('close', closeTarget);
        carry(upgraded, opened.val);
      });
    }
  });

  function carry(upgraded: WebSocket, target: Connection): void {
    const tunnel = createTunnelStream(upgraded, '');
    tunnels.add(tunnel);
    join(upgraded, tunnel, target);
    upgraded.once('close', () => tunnels.delete(tunnel));
  }

  return {
    listen: (address) => listen(server, address),
    count: () => tunnels.size,
    stopAccepting() {
      isAccepting = false;
    },
    close() {
      isAccepting = false;
      tunnels.forEach((tunnel) => tunnel.destroy());
      server.close();
      server.closeAllConnections();
    },
  };
}

function decodeEndpoint(url: string): string | undefined {
  if (!url.startsWith(TUNNEL_PATH)) return undefined;
  try {
    return decodeURIComponent(url.slice(TUNNEL_PATH.length));
  } catch {
    return undefined;
  }
}

function refuse(socket: Duplex, refusal: TunnelRefusal): void {
  const status = RefusalStatus[refusal];
  socket.end(
    `HTTP/1.1 ${status} ${http.STATUS_CODES[status]}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
  );
}

// An end in order of one side becomes one of the other, and so does a reset. A socket that was asked for
// its remote address before keeps it after a reset, so none is asked for.
async function join(upgraded: WebSocket, tunnel: Connection, target: Connection): Promise<void> {
  const isClosedProperly = watchClose({ socket: target });
  tunnel.once('close', () => target.destroy());
  tunnel.on('error', () => target.destroy());
  target.on('error', () => tunnel.destroy());
  tunnel.pipe(target);
  target.pipe(tunnel, { end: false });
  target.once('end', () => cutUntaken(upgraded, tunnel, target));
  const isProper = await isClosedProperly();
  if (isProper && !(await hasUntaken(upgraded, tunnel))) tunnel.end();
  else tunnel.destroy();
}

// A target that has ended and takes nothing more never closes. What it has sent is read before the cut,
// which may take it.
async function cutUntaken(
  upgraded: WebSocket,
  tunnel: Connection,
  target: Connection,
): Promise<void> {
  if (target.writableLength === 0) return;
  tunnel.unpipe(target);
  await hasUntaken(upgraded, tunnel);
  tunnel.destroy();
}

// Whether the other side has sent bytes that the target has not taken. What it has sent comes before its
// answer to a ping. What arrives has no reader any more, and the tunnel closes only once it is read.
function hasUntaken(upgraded: WebSocket, tunnel: Connection): Promise<boolean> {
  return new Promise((resolve) => {
    let hasMore = tunnel.readableLength > 0;
    upgraded.on('message', () => {
      hasMore = true;
    });
    upgraded.once('pong', () => resolve(hasMore));
    upgraded.once('close', () => resolve(true));
    tunnel.resume();
    upgraded.ping();
  });
}
