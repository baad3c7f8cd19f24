import net from 'node:net';
import { match } from 'ts-pattern';
import { listen } from '@pomeloroad/core';
import type { Clock } from '@pomeloroad/core';
import { createByteRelay } from './byteRelay';
import type { ByteRelay, Effect } from './byteRelay';

/** An effect on the bytes that one group sends to another; `*` matches any group. */
export interface Rule {
  from: string;
  to: string;
  effect: Effect;
}

/** A listening address of the proxy that forwards to a target in a group. */
export interface Link {
  id: string;
  group: string;
  /** Address to connect to, as `ip:port`. */
  address: string;
}

/** A TCP proxy that injects network faults between groups of processes. */
export interface FaultProxy {
  /** Starts listening on a free port for a target in the group; 127.0.0.1 if no host is named. */
  addLink(group: string, host?: string): Promise<Link>;
  /** Refuses new connections of a link until its target is set, as the kernel does without a process. */
  refuse(link: string): void;
  /** Sets the address, `ip:port`, that new connections of a link are forwarded to. */
  setTarget(link: string, target: string): void;
  /** Replaces all rules. */
  setRules(rules: Rule[]): void;
  /** Drops all further bytes on the open connections between two groups; new ones work. */
  silence(from: string, to: string): void;
  /** Stops listening and closes all connections. */
  close(): void;
}

// A proxied connection: the groups at both ends, its two sockets and a relay for each direction.
interface Connection {
  source: string;
  destination: string;
  ends: [net.Socket, net.Socket];
  relays: [ByteRelay, ByteRelay];
}

/** Creates a proxy without rules; `getGroup` returns the group of a dialer's IP address. */
export function createFaultProxy(clock: Clock, getGroup: (ip: string) => string): FaultProxy {
  const targets = new Map<string, string>();
  const links = new Map<string, { server: net.Server; address: string }>();
  const connections = new Set<Connection>();
  let rules: Rule[] = [];

  function findEffect(from: string, to: string): Effect | undefined {
    const matches = (pattern: string, group: string) => pattern === '*' || pattern === group;
    return rules.find((rule) => matches(rule.from, from) && matches(rule.to, to))?.effect;
  }

  function acceptConnection(link: string, group: string, dialer: net.Socket): void {
    const target = targets.get(link);
    const source = getGroup(dialer.remoteAddress ?? '');
    if (!target || findEffect(source, group)?.kind === 'reset') {
      dialer.destroy();
      return;
    }
    const [host = '', port = '0'] = target.split(':');
    const listener = net.connect({ host, port: Number(port), allowHalfOpen: true });
    const connection: Connection = {
      source,
      destination: group,
      ends: [dialer, listener],
      relays: [
        createByteRelay(clock, dialer, listener, () => findEffect(source, group), silence),
        createByteRelay(clock, listener, dialer, () => findEffect(group, source), silence),
      ],
    };
    connections.add(connection);
    connection.ends.forEach((socket) => socket.once('close', removeIfClosed));

    function silence(): void {
      connection.relays.forEach((relay) => relay.silence());
    }

    function removeIfClosed(): void {
      if (connection.ends.every((socket) => socket.destroyed)) connections.delete(connection);
    }
  }

  function applyToOpen({ source, destination, ends, relays }: Connection): void {
    const effects = [findEffect(source, destination), findEffect(destination, source)];
    effects.forEach((effect, index) => {
      match(effect)
        .with({ kind: 'reset' }, () => ends.forEach((socket) => socket.destroy()))
        .with({ kind: 'cut', after: 0 }, ({ cut }) => relays[index]?.cut(cut))
        .with({ kind: 'cut' }, { kind: 'blackhole' }, { kind: 'delay' }, () => undefined)
        .with({ kind: 'slow' }, { kind: 'one-way' }, undefined, () => undefined)
        .exhaustive();
    });
  }

  return {
    async addLink(group, host = '127.0.0.1') {
      const id = `link-${links.size}`;
      const server = net.createServer({ allowHalfOpen: true }, (socket) =>
        acceptConnection(id, group, socket),
      );
      const link = { server, address: '' };
      links.set(id, link);
      link.address = await listen(server, `${host}:0`);
      return { id, group, address: link.address };
    },
    refuse(id) {
      links.get(id)?.server.close();
    },
    setTarget(id, target) {
      targets.set(id, target);
      const link = links.get(id);
      if (link && !link.server.listening) listen(link.server, link.address);
    },
    setRules(next) {
      rules = next;
      connections.forEach(applyToOpen);
    },
    silence(from, to) {
      connections.forEach(({ source, destination, relays }) => {
        const isBetween =
          (source === from && destination === to) || (source === to && destination === from);
        if (isBetween) relays.forEach((relay) => relay.silence());
      });
    },
    close() {
      links.forEach(({ server }) => server.close());
      connections.forEach(({ ends }) => ends.forEach((socket) => socket.destroy()));
    },
  };
}
