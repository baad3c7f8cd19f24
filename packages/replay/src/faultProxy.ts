import net from 'node:net';
import type { Milliseconds } from '@pomeloroad/core';

/** What happens to bytes between two groups of processes. */
export type Effect =
  /** Bytes vanish, on open and on new connections; nothing is refused. */
  | { kind: 'blackhole' }
  /** Connections are reset. */
  | { kind: 'reset' }
  /** Bytes come later. */
  | { kind: 'delay'; delay: Milliseconds };

/** An effect on what one group sends to another; `*` stands for any group. */
export interface Rule {
  from: string;
  to: string;
  effect: Effect;
}

/** An address that leads to a target, and the group that the target belongs to. */
export interface Link {
  id: string;
  group: string;
  /** Address that others connect to. */
  address: string;
}

/** A TCP proxy that shows faults between groups of processes. */
export interface FaultProxy {
  addLink(group: string): Promise<Link>;
  setTarget(link: string, target: string): void;
  /** Replaces all rules. */
  setRules(rules: Rule[]): void;
  /** Makes every open connection between the groups silent for good; new ones work. */
  silence(from: string, to: string): void;
  close(): void;
}

interface Connection {
  source: string;
  destination: string;
  ends: [net.Socket, net.Socket];
  isSilent: boolean;
}

/** Creates a proxy; groups of dialers are told apart by their address. */
export function createFaultProxy(groupOf: (ip: string) => string): FaultProxy {
  const targets = new Map<string, string>();
  const servers: net.Server[] = [];
  const connections = new Set<Connection>();
  let rules: Rule[] = [];

  function findEffect(from: string, to: string): Effect | undefined {
    const matches = (pattern: string, group: string) => pattern === '*' || pattern === group;
    return rules.find((rule) => matches(rule.from, from) && matches(rule.to, to))?.effect;
  }

  function accept(link: string, group: string, dialer: net.Socket): void {
    const target = targets.get(link);
    const source = groupOf(dialer.remoteAddress ?? '');
    if (!target || findEffect(source, group)?.kind === 'reset') {
      dialer.destroy();
      return;
    }
    const [host = '', port = '0'] = target.split(':');
    const listener = net.connect({ host, port: Number(port) });
    const ends: [net.Socket, net.Socket] = [dialer, listener];
    const connection = { source, destination: group, ends, isSilent: false };
    connections.add(connection);
    pass(connection, dialer, listener, source, group);
    pass(connection, listener, dialer, group, source);
    dialer.once('close', () => end(connection, listener));
    listener.once('close', () => end(connection, dialer));
  }

  // The end of a connection is news like any other bytes: it does not cross a blackhole.
  function end(connection: Connection, other: net.Socket): void {
    if (!connection.isSilent) other.destroy();
    if (connection.ends.every((socket) => socket.destroyed)) connections.delete(connection);
  }

  function pass(
    connection: Connection,
    input: net.Socket,
    output: net.Socket,
    from: string,
    to: string,
  ): void {
    const held = connection;
    input.on('error', () => undefined);
    input.on('data', (data) => {
      const effect = findEffect(from, to);
      if (effect?.kind === 'blackhole') held.isSilent = true;
      if (held.isSilent) return;
      if (effect?.kind === 'delay') setTimeout(() => forward(input, output, data), effect.delay);
      else forward(input, output, data);
    });
  }

  return {
    addLink(group) {
      const id = `link-${servers.length}`;
      const server = net.createServer((socket) => accept(id, group, socket));
      servers.push(server);
      return new Promise((resolve) => {
        server.listen(0, '127.0.0.1', () => {
          const { port } = server.address() as net.AddressInfo;
          resolve({ id, group, address: `127.0.0.1:${port}` });
        });
      });
    },
    setTarget: (link, target) => targets.set(link, target),
    setRules(next) {
      rules = next;
      connections.forEach((connection) => {
        const { source, destination, ends } = connection;
        const effects = [findEffect(source, destination), findEffect(destination, source)];
        if (effects.some((effect) => effect?.kind === 'reset')) ends.forEach((s) => s.destroy());
      });
    },
    silence(from, to) {
      connections.forEach((connection) => {
        const open = connection;
        const { source, destination } = connection;
        const isBetween =
          (source === from && destination === to) || (source === to && destination === from);
        if (isBetween) open.isSilent = true;
      });
    },
    close() {
      servers.forEach((server) => server.close());
      connections.forEach(({ ends }) => ends.forEach((socket) => socket.destroy()));
    },
  };
}

function forward(input: net.Socket, output: net.Socket, data: Buffer): void {
  if (output.destroyed || output.write(data)) return;
  input.pause();
  output.once('drain', () => input.resume());
}
