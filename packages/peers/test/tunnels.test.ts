import { randomBytes } from 'node:crypto';
import net from 'node:net';
import type { Socket } from 'node:net';
import { Duplex } from 'node:stream';
import { Err, Ok } from 'ts-results';
import { connect, createSystemClock, watchClose } from '@pomeloroad/core';
import type { Connection, Outcome } from '@pomeloroad/core';
import { createTunnelListener, openTunnel } from '../src';
import type { TunnelListener, TunnelRefusal } from '../src';

const SECRET = 'secret of the relay';
const TIMEOUT_MS = 1000;
const LARGE_BYTES = 5_000_000;
/** More than one, as a reset may be read apart from the data before it. */
const RESETS = 10;

const clock = createSystemClock();
const started: { servers: net.Server[]; listeners: TunnelListener[] } = {
  servers: [],
  listeners: [],
};

afterEach(() => {
  started.listeners.splice(0).forEach((listener) => listener.close());
  started.servers.splice(0).forEach((server) => server.close());
});

// Starts a server that stands for an endpoint; resolves to its address.
function serve(handle: (socket: Socket) => void): Promise<string> {
  const server = net.createServer(handle);
  started.servers.push(server);
  return new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => {
      const bound = server.address();
      resolve(`127.0.0.1:${typeof bound === 'object' && bound ? bound.port : 0}`);
    });
  });
}

async function startRelay(
  openConnection: () => Promise<Outcome<Connection, TunnelRefusal>>,
): Promise<{ address: string; secret: string; listener: TunnelListener }> {
  const listener = createTunnelListener({ secret: SECRET, open: openConnection });
  started.listeners.push(listener);
  return { address: await listener.listen('127.0.0.1:0'), secret: SECRET, listener };
}

// Starts a relay to a server that handles each connection.
async function startRelayTo(handle: (socket: Socket) => void) {
  const address = await serve(handle);
  const opened = (error: unknown): TunnelRefusal => (error ? 'refused' : 'no-path');
  return startRelay(async () => (await connect(clock, address, TIMEOUT_MS)).mapErr(opened));
}

async function open(relay: { address: string; secret: string }): Promise<Connection> {
  return (await openTunnel(relay, 'e/1', TIMEOUT_MS)).unwrap();
}

async function readAll(connection: Connection): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of connection) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}

test('bytes pass in both directions, and an end in order passes as one', async () => {
  const relay = await startRelayTo((socket) => socket.on('data', (data) => socket.end(data)));
  const connection = await open(relay);
  const isClosedProperly = watchClose({ socket: connection });
  connection.write('hello');
  expect((await readAll(connection)).toString()).toBe('hello');
  expect(await isClosedProperly()).toBe(true);
});

test('many bytes pass whole to a slow reader', async () => {
  const relay = await startRelayTo((socket) => socket.end(Buffer.alloc(LARGE_BYTES, 'x')));
  const connection = await open(relay);
  await new Promise((resolve) => {
    setTimeout(resolve, 200);
  });
  expect((await readAll(connection)).length).toBe(LARGE_BYTES);
});

test('many bytes in one write pass whole and in order', async () => {
  const sent = randomBytes(LARGE_BYTES);
  const received: Buffer[] = [];
  const relay = await startRelayTo((socket) =>
    socket.on('data', (data) => {
      received.push(data);
      if (received.reduce((sum, { length }) => sum + length, 0) === LARGE_BYTES) socket.end('all');
    }),
  );
  const connection = await open(relay);
  connection.write(sent);
  expect((await readAll(connection)).toString()).toBe('all');
  expect(Buffer.concat(received).equals(sent)).toBe(true);
});

test('a reset by the endpoint does not look like an end in order', async () => {
  const relay = await startRelayTo((socket) => {
    socket.write('half');
    setTimeout(() => socket.resetAndDestroy(), 50);
  });
  await expect(readAll(await open(relay))).rejects.toThrow('cut');
});

// Guards against a relay that passes on a part of an unframed answer as a whole one.
test('a reset that comes with data does not look like an end in order', async () => {
  const relay = await startRelayTo((socket) => {
    socket.once('data', () => {
      socket.write('part');
      socket.resetAndDestroy();
    });
  });
  for (let count = 0; count < RESETS; count += 1) {
    const connection = await open(relay);
    connection.write('x');
    await expect(readAll(connection)).rejects.toThrow();
  }
});

// Guards against a tunnel that stays open, since a connection with untaken bytes does not close after its end.
test('an end behind which the endpoint takes nothing more passes as a cut, with the bytes before it', async () => {
  const target = Object.assign(createUntaking(), { remoteAddress: '127.0.0.1' });
  const relay = await startRelay(async () => Ok(target));
  const connection = await open(relay);
  const isClosedProperly = watchClose({ socket: connection });
  connection.on('error', () => undefined);
  connection.write(Buffer.alloc(LARGE_BYTES));
  const received: Buffer[] = [];
  connection.on('data', (data) => received.push(data));
  expect(await isClosedProperly()).toBe(false);
  expect(Buffer.concat(received).length).toBe(LARGE_BYTES);
  expect(target.destroyed).toBe(true);
  expect(relay.listener.count()).toBe(0);
}, 10_000);

// A connection whose other side answers and ends without reading, until nothing more fits on it.
function createUntaking(): Duplex {
  return new Duplex({
    allowHalfOpen: false,
    read: () => undefined,
    write() {
      this.push(Buffer.alloc(LARGE_BYTES));
      this.push(null);
    },
  });
}

test('the end of the relay does not look like an end in order', async () => {
  const relay = await startRelayTo((socket) => socket.write('half'));
  const connection = await open(relay);
  setTimeout(relay.listener.close, 50);
  await expect(readAll(connection)).rejects.toThrow('cut');
});

test('a connection of the relay that the kernel ends in order does not look like one', async () => {
  const relay = await startRelayTo((socket) => socket.write('half'));
  // Ends the relay's side as the kernel does for a process that was killed.
  const between = await serve((socket) => {
    const [host = '', port = ''] = relay.address.split(':');
    const upstream = net.connect(Number(port), host);
    socket.pipe(upstream);
    upstream.on('data', (data) => socket.write(data));
    setTimeout(() => socket.end(), 100);
  });
  const connection = await open({ address: between, secret: SECRET });
  await expect(readAll(connection)).rejects.toThrow('cut');
});

test('a connection that is closed early is closed at the endpoint', async () => {
  let onClose: () => void;
  const closed = new Promise<void>((resolve) => {
    onClose = resolve;
  });
  const relay = await startRelayTo((socket) => {
    socket.on('error', () => undefined);
    socket.on('close', () => onClose());
  });
  (await open(relay)).destroy();
  await closed;
  expect(relay.listener.count()).toBe(0);
});

test.each(['no-path', 'refused', 'unknown-endpoint'] as const)(
  'a tunnel that the relay refuses as %s does not open',
  async (refusal) => {
    const relay = await startRelay(async () => Err(refusal));
    expect((await openTunnel(relay, 'e/1', TIMEOUT_MS)).val).toBe(refusal);
  },
);

test('a tunnel with a wrong secret opens no connection to an endpoint', async () => {
  let opened = 0;
  const relay = await startRelay(async () => {
    opened += 1;
    return Err('no-path');
  });
  const tunnel = await openTunnel({ ...relay, secret: 'another' }, 'e/1', TIMEOUT_MS);
  expect(tunnel.val).toBe('unauthorized');
  expect(opened).toBe(0);
});

test('a relay that drains refuses tunnels, and an open one goes on', async () => {
  const relay = await startRelayTo((socket) => socket.on('data', (data) => socket.end(data)));
  const connection = await open(relay);
  relay.listener.stopAccepting();
  expect((await openTunnel(relay, 'e/1', TIMEOUT_MS)).val).toBe('closing');
  connection.write('still');
  expect((await readAll(connection)).toString()).toBe('still');
});

test('a relay that nobody is at is unreachable', async () => {
  const address = await serve((socket) => socket.destroy());
  const tunnel = await openTunnel({ address, secret: SECRET }, 'e/1', TIMEOUT_MS);
  expect(tunnel.val).toBe('unreachable');
});

test('a relay that does not answer is unreachable after the timeout', async () => {
  const address = await serve(() => undefined);
  const startedAt = performance.now();
  const tunnel = await openTunnel({ address, secret: SECRET }, 'e/1', 200);
  expect(tunnel.val).toBe('unreachable');
  expect(performance.now() - startedAt).toBeLessThan(TIMEOUT_MS);
});

test('a tunnel whose endpoint has ended is not counted any more', async () => {
  const relay = await startRelayTo((socket) => socket.end('whole'));
  const connection = await open(relay);
  await readAll(connection);
  while (relay.listener.count() > 0) {
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
  expect(relay.listener.count()).toBe(0);
});

// Guards against a process that ends because of a row that names a relay or an endpoint.
test.each([
  ['127.0.0.1:99999', 'e1'],
  ['no address', 'e1'],
  ['127.0.0.1:9', '\ud800'],
])('a tunnel by %j to %j fails and does not throw', async (address, endpoint) => {
  const opened = await openTunnel({ address, secret: SECRET }, endpoint, TIMEOUT_MS);
  expect(opened.val).toBe('unreachable');
});
