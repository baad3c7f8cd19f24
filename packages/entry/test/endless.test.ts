import net from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { createEngineClient } from '../src/engineClient';
import { createServiceClient } from '../src/serviceClient';

const MEBIBYTE = 1_048_576;
/** An event of 4 MiB at most, or a discarded answer, with the buffers of the connection. */
const MAX_SENT_BYTES = 4 * MEBIBYTE + 16 * MEBIBYTE;
const SILENCE_LIMIT_MS = 1000;

const sockets = new Set<Socket>();
let server: net.Server | undefined;

jest.setTimeout(10_000);

afterEach(() => {
  sockets.forEach((socket) => socket.destroy());
  sockets.clear();
  server?.close();
});

// Starts a server that sends bytes for as long as they are taken.
async function startEndless(start: string, rest: string) {
  const block = rest.repeat(Math.ceil(65_536 / rest.length));
  const endless = net.createServer((socket) => {
    sockets.add(socket);
    const send = () => {
      if (socket.writable && socket.write(block)) setImmediate(send);
    };
    socket.on('error', () => undefined);
    socket.on('drain', send);
    socket.once('data', () => {
      socket.write(start);
      send();
    });
  });
  server = endless;
  await new Promise<void>((resolve) => {
    endless.listen(0, '127.0.0.1', resolve);
  });

  // Resolves to the bytes sent once all connections are closed.
  async function waitUntilClosed(): Promise<number> {
    await new Promise<void>((resolve) => {
      endless.close(() => resolve());
    });
    return [...sockets].reduce((sum, socket) => sum + socket.bytesWritten, 0);
  }

  const address = `127.0.0.1:${(endless.address() as AddressInfo).port}`;
  return { address, waitUntilClosed };
}

const STREAM_HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n';

test.each([
  ['one event', 'data: ', 'x'],
  ['one event of many lines', '', 'data: x\n'],
  ['comments', '', ': x\n\n'],
])('an engine stream of endless %s fails', async (_name, start, rest) => {
  const { address, waitUntilClosed } = await startEndless(STREAM_HEAD + start, rest);
  const client = createEngineClient({ sourceAddress: '' });
  const call = {
    address,
    stream: 's',
    body: {},
    priority: 1,
    hasOwnConnection: true,
    signal: new AbortController().signal,
  };
  const result = await client.run(call, async () => undefined);
  expect(result.val).toMatchObject({ kind: 'failed', ran: 'unknown' });
  expect(await waitUntilClosed()).toBeLessThan(MAX_SENT_BYTES);
});

test('the endless body of a busy service is not read on', async () => {
  const { address, waitUntilClosed } = await startEndless(
    'HTTP/1.1 503 No\r\nX-Not-Run: true\r\n\r\n',
    'x',
  );
  const client = createServiceClient({
    firstByteTimeout: SILENCE_LIMIT_MS,
    betweenTimeout: SILENCE_LIMIT_MS,
    answerLimit: MEBIBYTE,
    sourceAddress: '',
  });
  const call = {
    service: 's',
    tokens: 0,
    method: 'GET',
    path: '/',
    headers: {},
    body: Buffer.alloc(0),
  };
  const sink = { head: () => undefined, bytes: async () => undefined };
  const result = await client.run(address, call, new AbortController().signal, sink);
  expect(result.val).toMatchObject({ kind: 'busy', ran: 'no' });
  expect(await waitUntilClosed()).toBeLessThan(MAX_SENT_BYTES);
});
