import { Err, Ok } from 'ts-results';
import type { Clock, Identity, Log, Outcome, Random } from '@pomeloroad/core';
import { createDialer } from './dialer';
import type { Dialer } from './dialer';
import { createListener } from './listener';
import type { PeerCertificate } from './listener';
import type { Handler, PeerError, PeerNetwork, PeerStatus } from './types';

/** Dependencies of the peer network. */
export interface NetworkHost {
  clock: Clock;
  random: Random;
  log: Log;
}

/** Settings of the network between instances. */
export interface NetworkOptions {
  self: Identity;
  /** IP address and port to listen on. */
  address: string;
  /** Secret shared by the whole fleet. */
  fleetKey: string;
  /** Enables TLS on the listener. */
  certificate?: PeerCertificate;
  /** PEM certificate of the authority that signs peer certificates; enables TLS on dialers. */
  authority?: string;
  /** Local IP address of outgoing connections. */
  sourceAddress?: string;
}

/** Creates the network of one instance, with a listener and a dialer for each peer. */
export function createPeerNetwork(host: NetworkHost, options: NetworkOptions): PeerNetwork {
  const { self, fleetKey, authority, certificate, sourceAddress } = options;
  const handlers = new Map<string, Handler<unknown, unknown>>();
  const dialers = new Map<string, Dialer>();
  const connectListeners: ((identity: Identity) => void)[] = [];
  const disconnectListeners: ((identity: Identity) => void)[] = [];
  const listener = createListener({
    ...host,
    self,
    fleetKey,
    certificate,
    getHandler: (topic) => handlers.get(topic),
  });
  const dialerHost = {
    ...host,
    self,
    fleetKey,
    authority,
    sourceAddress,
    onConnect: (identity: Identity) => connectListeners.forEach((notify) => notify(identity)),
    onDisconnect: (identity: Identity) => disconnectListeners.forEach((notify) => notify(identity)),
  };

  const network: PeerNetwork = {
    listen: () => listener.listen(options.address),
    async call(instance, topic, request, timeout) {
      if (instance === self.instance) return callSelf(topic.name, request);
      const dialer = dialers.get(instance);
      if (!dialer) return createUnreachableError(instance);
      const outcome = await dialer.call(topic.name, request, timeout);
      // The topic determines the type of its reply, and only holders of the fleet key can reply.
      return outcome.map((reply) => reply as never);
    },
    handle(topic, handler) {
      handlers.set(topic.name, handler as Handler<unknown, unknown>);
    },
    setPeers(peers) {
      const peersByInstance = new Map(peers.map((peer) => [peer.identity.instance, peer]));
      peersByInstance.delete(self.instance);
      dialers.forEach((dialer, instance) => {
        if (peersByInstance.get(instance)?.address === dialer.peer.address) return;
        dialer.close();
        dialers.delete(instance);
      });
      peersByInstance.forEach((peer, instance) => {
        if (!dialers.has(instance)) dialers.set(instance, createDialer(dialerHost, peer));
      });
    },
    isConnected: (instance) =>
      instance === self.instance || dialers.get(instance)?.getIdentity() !== undefined,
    getIdentity: (instance) =>
      instance === self.instance ? self : dialers.get(instance)?.getIdentity(),
    onConnect: (notify) => connectListeners.push(notify),
    onDisconnect: (notify) => disconnectListeners.push(notify),
    describe: () => [...dialers.values()].map(describeDialer),
    async close() {
      dialers.forEach((dialer) => dialer.close());
      await listener.close();
    },
  };

  async function callSelf<Reply>(
    topic: string,
    request: unknown,
  ): Promise<Outcome<Reply, PeerError>> {
    const handler = handlers.get(topic);
    if (!handler) return createUnreachableError(self.instance);
    return Ok((await handler(self, request)) as Reply);
  }

  return network;
}

function createUnreachableError(instance: string): Err<PeerError> {
  return Err({ kind: 'unreachable', ran: 'no', message: `no connection to ${instance}` });
}

function describeDialer(dialer: Dialer): PeerStatus {
  return {
    instance: dialer.peer.identity.instance,
    dataCentre: dialer.peer.identity.dataCentre,
    address: dialer.peer.address,
    state: dialer.getIdentity() ? 'connected' : 'connecting',
    bytesSent: dialer.bytesSent(),
    bytesReceived: dialer.bytesReceived(),
  };
}
