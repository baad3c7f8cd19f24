import http from 'node:http';
import type { Socket } from 'node:net';
import { listen } from '@pomeloroad/core';
import { createEngineClient } from '../src/engineClient';

const REPLY = { state: 'live', running: 0, queued: 0, prompt_tokens: 1, completion_tokens: 2 };

let server: http.Server | undefined;

afterEach(() => {
  server?.close();
  server?.closeAllConnections();
});

test('a stream is stopped though the kept connections to its engine have died', async () => {
  const dead = new Set<Socket>();
  server = http.createServer((request, response) => {
    if (dead.has(request.socket)) return;
    const state = request.method === 'DELETE' ? 'cancelled' : 'live';
    response.end(JSON.stringify({ ...REPLY, state }));
    dead.add(request.socket);
  });
  const address = await listen(server, '127.0.0.1:0');
  const client = createEngineClient({ sourceAddress: '' });
  expect((await client.getLoad(address)).ok).toBe(true);
  const stopped = await client.stop(address, 's');
  expect(stopped.val).toMatchObject({ state: 'cancelled', promptTokens: 1, completionTokens: 2 });
});

// Guards against requests without an end.
test('a stream that is answered 101 fails', async () => {
  server = http.createServer((request) => {
    request.socket.write('HTTP/1.1 101 Go\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n');
  });
  const address = await listen(server, '127.0.0.1:0');
  const { signal } = new AbortController();
  const call = { address, stream: 's', body: {}, priority: 0, hasOwnConnection: true, signal };
  const outcome = await createEngineClient({ sourceAddress: '' }).run(call, async () => undefined);
  expect(outcome.val).toMatchObject({ kind: 'failed', ran: 'unknown' });
});

// Guards against a process that ends because of an address that a member announces.
test('an engine whose address can not be used fails and does not throw', async () => {
  const { signal } = new AbortController();
  const place = { address: '127.0.0.1:99999', stream: 's', hasOwnConnection: true };
  const call = { ...place, body: {}, priority: 0, signal };
  const outcome = await createEngineClient({ sourceAddress: '' }).run(call, async () => undefined);
  expect(outcome.val).toMatchObject({ kind: 'failed', ran: 'no' });
});
