import { once } from 'node:events';
import net from 'node:net';
import type { Socket } from 'node:net';
import { createSystemClock, listen, sleep } from '@pomeloroad/core';
import type { Milliseconds } from '@pomeloroad/core';
import { createServiceClient } from '../src/serviceClient';
import { createEngineClient } from '../src/engineClient';
import type { EngineCall } from '../src/engineTypes';

/** More than the kernel takes of a connection that nobody reads. */
const LONG_UPLOAD = 'b'.repeat(16_777_216);
const SILENCE_MS: Milliseconds = 300;
/** Time for which a server reads nothing of an upload that it has answered. */
const UNREAD_MS: Milliseconds = 1000;
const ENDINGS = ['reset', 'close', 'half'] as const;
const DELAYS: Milliseconds[] = [0, 10, 100];
const EVENT = 'id: 0\ndata: {"choices":[{"delta":{"content":"a"}}]}\n\n';
/** Framings of a part of an answer. */
const PARTS: Record<string, string> = {
  'no framing': `\r\n${EVENT}`,
  'a larger length': `Content-Length: 800\r\n\r\n${EVENT}`,
  'no last chunk': `Transfer-Encoding: chunked\r\n\r\n${EVENT.length.toString(16)}\r\n${EVENT}\r\n`,
};
const LENGTH = `Content-Length: ${EVENT.length}\r\n\r\n${EVENT}`;
const NO_STATUSES = ['000', '001', '099', '101', '199', '600', '999', '1000', '20', '2x0', '-200'];

type Ending = (typeof ENDINGS)[number] | 'none';

let server: net.Server | undefined;
const sockets: Socket[] = [];

afterEach(() => {
  sockets.splice(0).forEach((socket) => socket.destroy());
  server?.close();
});

// Starts a server that sends the text once a request has begun, and ends its connection.
function startServer(text: string, ending: Ending, delay: Milliseconds): Promise<string> {
  server = net.createServer({ allowHalfOpen: true }, (socket) => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.once('data', async () => {
      socket.pause();
      socket.write(text);
      if (delay > 0) await sleep(createSystemClock(), delay);
      if (ending === 'reset') socket.resetAndDestroy();
      if (ending === 'close') socket.destroySoon();
      if (ending === 'half') socket.end();
    });
  });
  return listen(server, '127.0.0.1:0');
}

async function callService(address: string): Promise<boolean> {
  const client = createServiceClient({
    firstByteTimeout: SILENCE_MS,
    betweenTimeout: SILENCE_MS,
    answerLimit: LONG_UPLOAD.length,
    sourceAddress: '',
  });
  const body = Buffer.from(LONG_UPLOAD);
  const call = { service: 'boards', method: 'POST', path: '/', headers: {}, body, tokens: 0 };
  const sink = { head: () => undefined, bytes: async () => undefined };
  return (await client.run(address, call, new AbortController().signal, sink)).ok;
}

async function callEngine(address: string): Promise<boolean> {
  const ended = new AbortController();
  const timer = setTimeout(() => ended.abort(), SILENCE_MS);
  const call = { address, stream: 's1', priority: 1, body: { a: LONG_UPLOAD } };
  const all = { ...call, signal: ended.signal } as unknown as EngineCall;
  const ran = await createEngineClient({ sourceAddress: '' }).run(all, async () => undefined);
  clearTimeout(timer);
  return ran.ok;
}

const CLIENTS: [string, (address: string) => Promise<boolean>][] = [
  ['a service', callService],
  ['an engine', callEngine],
];
const PLACES = CLIENTS.flatMap(([name, call]) =>
  Object.keys(PARTS).map((framing) => [name, framing, call] as const),
);

test.each(PLACES)(
  'a part of an answer under an upload does not look complete: %s, %s',
  async (_name, framing, call) => {
    const wrong: string[] = [];
    for (const ending of ENDINGS) {
      for (const delay of DELAYS) {
        const address = await startServer(`HTTP/1.1 200 OK\r\n${PARTS[framing]}`, ending, delay);
        if (await call(address)) wrong.push(`${ending} after ${delay} ms`);
        server?.close();
      }
    }
    expect(wrong).toEqual([]);
  },
);

// Guards against a process that ends, too: nobody listened to the errors of a kept connection any more.
test.each(CLIENTS)('a status that is none is no answer: %s', async (_name, call) => {
  const wrong: string[] = [];
  for (const status of NO_STATUSES) {
    const address = await startServer(`HTTP/1.1 ${status} Go\r\n${LENGTH}`, 'close', 10);
    if (await call(address)) wrong.push(status);
    server?.close();
  }
  expect(wrong).toEqual([]);
});

test.each(CLIENTS)(
  'the rest of an upload that was answered early and is not read is dropped: %s',
  async (_name, call) => {
    const address = await startServer(`HTTP/1.1 404 No\r\n${LENGTH}`, 'none', 0);
    await call(address);
    await sleep(createSystemClock(), UNREAD_MS);
    const [socket] = sockets;
    let read = 0;
    socket?.on('data', ({ length }) => {
      read += length;
    });
    await Promise.allSettled([once(socket!.resume(), 'end')]);
    expect(read).toBeLessThan(LONG_UPLOAD.length / 2);
  },
);
