import http from 'node:http';
import https from 'node:https';
import { WebSocketServer } from 'ws';
import type { WebSocket } from 'ws';
import { createId, Diagnostics, listen } from '@pomeloroad/core';
import type { Clock, Identity, Log } from '@pomeloroad/core';
import { createChannel } from './channel';
import type { Channel } from './channel';
import { ProtocolVersions } from './frames';
import type { Frame } from './frames';
import { createProof, isValidProof } from './handshake';
import type { Handler } from './types';

const HANDSHAKE_TIMEOUT_MS = 2000;
const SILENCE_TIMEOUT_MS = 5000;
const FRAME_MAX_BYTES = 16 * 1024 * 1024;

/** PEM certificate and private key of the peer listener. */
export interface PeerCertificate {
  cert: string;
  key: string;
}

/** Dependencies and credentials of a listener. */
export interface ListenerHost {
  clock: Clock;
  log: Log;
  self: Identity;
  fleetKey: string;
  certificate?: PeerCertificate;
  getHandler(topic: string): Handler<unknown, unknown> | undefined;
}

/** Accepts connections from peers and answers their calls. */
export interface Listener {
  /** Binds to an IP address and port; resolves to the address in use. */
  listen(address: string): Promise<string>;
  bytesSent(): number;
  bytesReceived(): number;
  /** Closes all connections and stops listening. */
  close(): Promise<void>;
}

/** Creates a listener that is not bound yet. */
export function createListener(host: ListenerHost): Listener {
  const server = host.certificate
    ? https.createServer({ ...host.certificate })
    : http.createServer();
  const sockets = new WebSocketServer({ server, path: '/peer', maxPayload: FRAME_MAX_BYTES });
  const channels = new Set<Channel>();
  let closedBytes = { sent: 0, received: 0 };

  sockets.on('connection', (socket: WebSocket) => serveConnection(socket));

  async function serveConnection(socket: WebSocket): Promise<void> {
    const channel = createChannel(socket);
    channels.add(channel);
    const timer = host.clock.after(HANDSHAKE_TIMEOUT_MS, () => channel.close());
    const identity = await performHandshake(host, channel);
    timer.cancel();
    if (identity) await answerCalls(channel, identity);
    channel.close();
    channels.delete(channel);
    closedBytes = {
      sent: closedBytes.sent + channel.bytesSent(),
      received: closedBytes.received + channel.bytesReceived(),
    };
  }

  async function answerCalls(channel: Channel, from: Identity): Promise<void> {
    let watchdog = host.clock.after(SILENCE_TIMEOUT_MS, () => channel.close());
    let frame = await channel.receive();
    while (frame) {
      watchdog.cancel();
      watchdog = host.clock.after(SILENCE_TIMEOUT_MS, () => channel.close());
      if (frame.kind === 'ping') channel.send({ kind: 'pong' });
      if (frame.kind === 'call') answerCall(channel, from, frame);
      frame = await channel.receive();
    }
    watchdog.cancel();
  }

  async function answerCall(
    channel: Channel,
    from: Identity,
    frame: Extract<Frame, { kind: 'call' }>,
  ): Promise<void> {
    const handler = host.getHandler(frame.topic);
    if (!handler) {
      channel.send({ kind: 'failure', id: frame.id, message: `unknown topic ${frame.topic}` });
      return;
    }
    const body = await handler(from, frame.body);
    channel.send({ kind: 'reply', id: frame.id, body });
  }

  return {
    listen: (address) => listen(server, address),
    bytesSent: () => [...channels].reduce((sum, c) => sum + c.bytesSent(), closedBytes.sent),
    bytesReceived: () =>
      [...channels].reduce((sum, c) => sum + c.bytesReceived(), closedBytes.received),
    close() {
      channels.forEach((channel) => channel.close());
      sockets.close();
      return new Promise((resolve) => {
        server.close(() => resolve());
        // Closes connections that were never upgraded to WebSocket: `server.close` waits for them.
        server.closeAllConnections();
      });
    },
  };
}

async function performHandshake(
  host: ListenerHost,
  channel: Channel,
): Promise<Identity | undefined> {
  const nonce = createId();
  channel.send({ kind: 'challenge', nonce });
  const hello = await channel.receive();
  if (hello?.kind !== 'hello') return undefined;
  const reason = findHandshakeFault(host, nonce, hello);
  if (reason) {
    host.log(Diagnostics.peerRejected, { reason });
    channel.send({ kind: 'reject', reason });
    return undefined;
  }
  const version = Math.min(hello.newest, ProtocolVersions.newest);
  const proof = createProof(host.fleetKey, 'listener', nonce, hello.nonce, host.self);
  channel.send({ kind: 'welcome', version, identity: host.self, proof });
  return hello.identity;
}

function findHandshakeFault(
  host: ListenerHost,
  nonce: string,
  hello: Extract<Frame, { kind: 'hello' }>,
): string | undefined {
  const expected = createProof(host.fleetKey, 'dialer', nonce, hello.nonce, hello.identity);
  if (!isValidProof(hello.proof, expected)) return 'wrong fleet key';
  const isSupported =
    hello.newest >= ProtocolVersions.oldest && hello.oldest <= ProtocolVersions.newest;
  return isSupported
    ? undefined
    : `protocol versions ${hello.oldest} to ${hello.newest} not spoken`;
}
