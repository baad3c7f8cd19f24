import { WebSocket } from 'ws';
import { Err, Ok, Result } from 'ts-results';
import { createId, Diagnostics, jitter, sleep } from '@pomeloroad/core';
import type { Clock, Identity, Log, Milliseconds, Outcome, Random } from '@pomeloroad/core';
import { createChannel } from './channel';
import type { Channel } from './channel';
import { ProtocolVersions } from './frames';
import type { Frame } from './frames';
import { createProof, isValidProof } from './handshake';
import type { Peer, PeerError } from './types';

const HEARTBEAT_INTERVAL_MS = 1000;
const SILENCE_TIMEOUT_MS = 3000;
const CONNECT_TIMEOUT_MS = 2000;
const RECONNECT_BACKOFF_MIN_MS = 100;
const RECONNECT_BACKOFF_MAX_MS = 2000;

/** Dependencies and credentials of a dialer. */
export interface DialerHost {
  clock: Clock;
  random: Random;
  log: Log;
  self: Identity;
  fleetKey: string;
  /** PEM certificate of the authority that signs peer certificates; enables TLS. */
  authority?: string;
  /** Local IP address of outgoing connections. */
  sourceAddress?: string;
  onConnect(identity: Identity): void;
  onDisconnect(identity: Identity): void;
}

/** Keeps one outgoing connection to a peer and sends calls over it. */
export interface Dialer {
  peer: Peer;
  /** Resolves to the reply, or to an error if there is none within `timeout`. */
  call(topic: string, body: unknown, timeout: Milliseconds): Promise<Outcome<unknown, PeerError>>;
  /** The peer's identity; `undefined` while there is no connection. */
  getIdentity(): Identity | undefined;
  bytesSent(): number;
  bytesReceived(): number;
  /** Closes the connection and stops reconnecting. */
  close(): void;
}

type ReplyCallback = (outcome: Outcome<unknown, PeerError>) => void;

/** Connects to the peer, and reconnects with back-off whenever the connection is lost. */
export function createDialer(host: DialerHost, peer: Peer): Dialer {
  const { clock, log } = host;
  const stop = new AbortController();
  const replies = new Map<number, ReplyCallback>();
  let channel: Channel | undefined;
  let identity: Identity | undefined;
  let lastReceivedAt = 0;
  let nextId = 1;
  let closedBytes = { sent: 0, received: 0 };

  async function run(): Promise<void> {
    let delay = RECONNECT_BACKOFF_MIN_MS;
    while (!stop.signal.aborted) {
      const wasConnected = await connect();
      delay = wasConnected
        ? RECONNECT_BACKOFF_MIN_MS
        : Math.min(delay * 2, RECONNECT_BACKOFF_MAX_MS);
      await sleep(clock, jitter(host.random, delay), stop.signal);
    }
  }

  async function connect(): Promise<boolean> {
    const opened = await openChannel(host, peer.address);
    if (!opened) return false;
    const timer = clock.after(CONNECT_TIMEOUT_MS, () => opened.close());
    const remote = await performHandshake(host, opened);
    timer.cancel();
    if (remote && !stop.signal.aborted) await runSession(opened, remote);
    opened.close();
    return remote !== undefined;
  }

  async function runSession(opened: Channel, remote: Identity): Promise<void> {
    channel = opened;
    identity = remote;
    lastReceivedAt = clock.elapsed();
    log(Diagnostics.peerConnected, { peer: remote.instance, dataCentre: remote.dataCentre });
    host.onConnect(remote);
    sendHeartbeats(opened);
    await receiveReplies(opened);
    channel = undefined;
    identity = undefined;
    closedBytes = {
      sent: closedBytes.sent + opened.bytesSent(),
      received: closedBytes.received + opened.bytesReceived(),
    };
    failPending();
    log(Diagnostics.peerDisconnected, { peer: remote.instance });
    host.onDisconnect(remote);
  }

  function sendHeartbeats(opened: Channel): void {
    if (channel !== opened) return;
    if (clock.elapsed() - lastReceivedAt > SILENCE_TIMEOUT_MS) {
      log(Diagnostics.peerSilent, { peer: peer.identity.instance });
      opened.close();
      return;
    }
    opened.send({ kind: 'ping' });
    clock.after(HEARTBEAT_INTERVAL_MS, () => sendHeartbeats(opened));
  }

  async function receiveReplies(opened: Channel): Promise<void> {
    let frame = await opened.receive();
    while (frame) {
      lastReceivedAt = clock.elapsed();
      handleReply(frame);
      frame = await opened.receive();
    }
  }

  function handleReply(frame: Frame): void {
    if (frame.kind === 'reply') takeReply(frame.id)?.(Ok(frame.body));
    if (frame.kind === 'failure') {
      takeReply(frame.id)?.(Err({ kind: 'failed', ran: 'unknown', message: frame.message }));
    }
  }

  function takeReply(id: number): ReplyCallback | undefined {
    const reply = replies.get(id);
    replies.delete(id);
    return reply;
  }

  function failPending(): void {
    const message = 'connection lost';
    replies.forEach((reply) => reply(Err({ kind: 'unreachable', ran: 'unknown', message })));
    replies.clear();
  }

  run();
  return {
    peer,
    call(topic, body, timeout) {
      const open = channel;
      if (!open) {
        const message = `no connection to ${peer.identity.instance}`;
        return Promise.resolve(Err({ kind: 'unreachable', ran: 'no', message }));
      }
      const id = nextId;
      nextId += 1;
      return new Promise((resolve) => {
        const timer = clock.after(timeout, () => {
          takeReply(id)?.(
            Err({ kind: 'timeout', ran: 'unknown', message: `no reply to ${topic}` }),
          );
        });
        replies.set(id, (outcome) => {
          timer.cancel();
          resolve(outcome);
        });
        open.send({ kind: 'call', id, topic, body });
      });
    },
    getIdentity: () => identity,
    bytesSent: () => closedBytes.sent + (channel?.bytesSent() ?? 0),
    bytesReceived: () => closedBytes.received + (channel?.bytesReceived() ?? 0),
    close() {
      stop.abort();
      channel?.close();
    },
  };
}

async function openChannel(host: DialerHost, address: string): Promise<Channel | undefined> {
  const scheme = host.authority ? 'wss' : 'ws';
  // Throws if the address, which any member may have announced, can't be used.
  const opened = Result.wrap<WebSocket, Error>(
    () =>
      new WebSocket(`${scheme}://${address}/peer`, {
        handshakeTimeout: CONNECT_TIMEOUT_MS,
        ca: host.authority,
        localAddress: host.sourceAddress,
      }),
  );
  if (opened.err) return undefined;
  const socket = opened.val;
  // Created before the socket opens: the listener sends the first frame, which may arrive together
  // with the response to the upgrade.
  const channel = createChannel(socket);
  return new Promise((resolve) => {
    socket.once('open', () => resolve(channel));
    socket.once('error', () => resolve(undefined));
  });
}

async function performHandshake(host: DialerHost, channel: Channel): Promise<Identity | undefined> {
  const { self, fleetKey } = host;
  const challenge = await channel.receive();
  if (challenge?.kind !== 'challenge') return undefined;
  const nonce = createId();
  const proof = createProof(fleetKey, 'dialer', challenge.nonce, nonce, self);
  channel.send({ kind: 'hello', ...ProtocolVersions, identity: self, nonce, proof });
  const answer = await channel.receive();
  if (answer?.kind === 'reject') host.log(Diagnostics.peerRejected, { reason: answer.reason });
  if (answer?.kind !== 'welcome') return undefined;
  const expected = createProof(fleetKey, 'listener', challenge.nonce, nonce, answer.identity);
  return isValidProof(answer.proof, expected) ? answer.identity : undefined;
}
