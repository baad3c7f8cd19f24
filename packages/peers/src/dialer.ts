import { WebSocket } from 'ws';
import { Err, Ok } from 'ts-results';
import { createId, Diagnostics, jitter, sleep } from '@pomeloroad/core';
import type { Clock, Identity, Log, Milliseconds, Outcome, Random } from '@pomeloroad/core';
import { createChannel } from './channel';
import type { Channel } from './channel';
import { ProtocolVersions } from './frames';
import type { Frame } from './frames';
import { createProof, isProof } from './handshake';
import type { Peer, PeerError } from './types';

const HEARTBEAT_MS = 1000;
const SILENCE_MS = 3000;
const CONNECT_TIMEOUT_MS = 2000;
const FIRST_REDIAL_MS = 100;
const LAST_REDIAL_MS = 2000;

/** What a dialer needs from its surroundings. */
export interface DialerHost {
  clock: Clock;
  random: Random;
  log: Log;
  self: Identity;
  fleetKey: string;
  /** PEM certificate of the fleet's authority; with it, connections use TLS. */
  authority?: string;
  /** Local IP number of connections. */
  sourceAddress?: string;
  onConnect(identity: Identity): void;
  onDisconnect(identity: Identity): void;
}

/** Keeps one outgoing connection to a peer, and calls over it. */
export interface Dialer {
  peer: Peer;
  call(topic: string, body: unknown, timeout: Milliseconds): Promise<Outcome<unknown, PeerError>>;
  /** The peer's identity while connected. */
  getIdentity(): Identity | undefined;
  bytesSent(): number;
  bytesReceived(): number;
  close(): void;
}

type Reply = (outcome: Outcome<unknown, PeerError>) => void;

/** Starts the task that connects to the peer, again whenever the connection is lost. */
export function createDialer(host: DialerHost, peer: Peer): Dialer {
  const { clock, log } = host;
  const stop = new AbortController();
  const replies = new Map<number, Reply>();
  let channel: Channel | undefined;
  let identity: Identity | undefined;
  let lastHeard = 0;
  let nextId = 1;
  let closedBytes = { sent: 0, received: 0 };

  async function run(): Promise<void> {
    let delay = FIRST_REDIAL_MS;
    while (!stop.signal.aborted) {
      const wasConnected = await runConnection();
      delay = wasConnected ? FIRST_REDIAL_MS : Math.min(delay * 2, LAST_REDIAL_MS);
      await sleep(clock, jitter(host.random, delay), stop.signal);
    }
  }

  async function runConnection(): Promise<boolean> {
    const opened = await openChannel(host, peer.address);
    if (!opened) return false;
    const timer = clock.after(CONNECT_TIMEOUT_MS, () => opened.close());
    const welcomed = await shakeHands(host, opened);
    timer.cancel();
    if (welcomed && !stop.signal.aborted) await serveConnection(opened, welcomed);
    opened.close();
    return welcomed !== undefined;
  }

  async function serveConnection(opened: Channel, welcomed: Identity): Promise<void> {
    channel = opened;
    identity = welcomed;
    lastHeard = clock.elapsed();
    log(Diagnostics.peerConnected, { peer: welcomed.instance, dataCentre: welcomed.dataCentre });
    host.onConnect(welcomed);
    beat(opened);
    await receiveReplies(opened);
    channel = undefined;
    identity = undefined;
    closedBytes = {
      sent: closedBytes.sent + opened.bytesSent(),
      received: closedBytes.received + opened.bytesReceived(),
    };
    failPending();
    log(Diagnostics.peerDisconnected, { peer: welcomed.instance });
    host.onDisconnect(welcomed);
  }

  function beat(opened: Channel): void {
    if (channel !== opened) return;
    if (clock.elapsed() - lastHeard > SILENCE_MS) {
      log(Diagnostics.peerSilent, { peer: peer.identity.instance });
      opened.close();
      return;
    }
    opened.send({ kind: 'ping' });
    clock.after(HEARTBEAT_MS, () => beat(opened));
  }

  async function receiveReplies(opened: Channel): Promise<void> {
    let frame = await opened.receive();
    while (frame) {
      lastHeard = clock.elapsed();
      settleReply(frame);
      frame = await opened.receive();
    }
  }

  function settleReply(frame: Frame): void {
    if (frame.kind === 'reply') takeReply(frame.id)?.(Ok(frame.body));
    if (frame.kind === 'failure') {
      takeReply(frame.id)?.(Err({ kind: 'failed', ran: 'unknown', message: frame.message }));
    }
  }

  function takeReply(id: number): Reply | undefined {
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

function openChannel(host: DialerHost, address: string): Promise<Channel | undefined> {
  const scheme = host.authority ? 'wss' : 'ws';
  const socket = new WebSocket(`${scheme}://${address}/peer`, {
    handshakeTimeout: CONNECT_TIMEOUT_MS,
    ca: host.authority,
    localAddress: host.sourceAddress,
  });
  // The listener speaks first, and its frame may arrive together with the end of the upgrade.
  const channel = createChannel(socket);
  return new Promise((resolve) => {
    socket.once('open', () => resolve(channel));
    socket.once('error', () => resolve(undefined));
  });
}

async function shakeHands(host: DialerHost, channel: Channel): Promise<Identity | undefined> {
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
  return isProof(answer.proof, expected) ? answer.identity : undefined;
}
