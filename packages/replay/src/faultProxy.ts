import net from 'node:net';
import type { Milliseconds } from '@pomeloroad/core';

/** What the proxy does to bytes from one group of processes to another. */
export type Effect =
  /** Bytes are dropped on open and new connections; connections are still accepted. */
  | { kind: 'blackhole' }
  /** Open connections are closed, and new ones as soon as they are accepted. */
  | { kind: 'reset' }
  /** Bytes are forwarded after a delay. */
  | { kind: 'delay'; delay: Milliseconds };

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
  /** Starts listening on a free port for a target in the group. */
  addLink(group: string): Promise<Link>;
  /** Sets the address, `ip:port`, that new connections of a link are forwarded to. */
  setTarget(link: string, target: string): void;
  /** Replaces all rules. */
  setRules(rules: Rule[]): void;
  /** Drops all further bytes on the open connections between two groups; new ones work. */
  silence(from: string, to: string): void;
  /** Stops listening and closes all connections. */
  close(): void;
}

// A proxied connection: the groups at both ends, and its two sockets.
interface Connection {
  source: string;
  destination: string;
  ends: [net.Socket, net.Socket];
  isSilent: boolean;
}

/** Creates a proxy without rules; `getGroup` returns the group of a dialer's IP address. */
export function createFaultProxy(getGroup: (ip: string) => string): FaultProxy {
  const targets = new Map<string, string>();
  const servers: net.Server[] = [];
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
    const listener = net.connect({ host, port: Number(port) });
    const ends: [net.Socket, net.Socket] = [dialer, listener];
    const connection = { source, destination: group, ends, isSilent: false };
    connections.add(connection);
    relayBytes(connection, dialer, listener, source, group);
    relayBytes(connection, listener, dialer, group, source);
    dialer.once('close', () => handleClose(connection, listener));
    listener.once('close', () => handleClose(connection, dialer));
  }

  // A close is not passed on over a silent connection, because a blackhole also drops it.
  function handleClose(connection: Connection, other: net.Socket): void {
    if (!connection.isSilent) other.destroy();
    if (connection.ends.every((socket) => socket.destroyed)) connections.delete(connection);
  }

  function relayBytes(
    connection: Connection,
    input: net.Socket,
    output: net.Socket,
    from: string,
    to: string,
  ): void {
    const relayed = connection;
    input.on('error', () => undefined);
    input.on('data', (data) => {
      const effect = findEffect(from, to);
      if (effect?.kind === 'blackhole') relayed.isSilent = true;
      if (relayed.isSilent) return;
      if (effect?.kind === 'delay')
        setTimeout(() => writeWithBackpressure(input, output, data), effect.delay);
      else writeWithBackpressure(input, output, data);
    });
  }

  return {
    addLink(group) {
      const id = `link-${servers.length}`;
      const server = net.createServer((socket) => acceptConnection(id, group, socket));
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
        const silenced = connection;
        const { source, destination } = connection;
        const isBetween =
          (source === from && destination === to) || (source === to && destination === from);
        if (isBetween) silenced.isSilent = true;
      });
    },
    close() {
      servers.forEach((server) => server.close());
      connections.forEach(({ ends }) => ends.forEach((socket) => socket.destroy()));
    },
  };
}

// Writes to the output and pauses the input until a full output buffer has drained.
function writeWithBackpressure(input: net.Socket, output: net.Socket, data: Buffer): void {
  if (output.destroyed || output.write(data)) return;
  input.pause();
  output.once('drain', () => input.resume());
}
