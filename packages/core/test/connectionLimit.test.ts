import http from 'node:http';
import type { ServerResponse } from 'node:http';
import { openPlainCaller } from '@pomeloroad/standins';
import type { PlainCaller } from '@pomeloroad/standins';
import { limitConnections, listen } from '../src';
import type { BusyVictim } from '../src';
import { waitUntil } from './waitUntil';

const LIMIT = 3;
const HALF_HEAD = 'GET /';
const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';

let server: http.Server;
let address = '';
let accepted = 0;
const held: ServerResponse[] = [];

afterEach(() => {
  server.closeAllConnections();
  server.close();
});

async function startServer(victim: BusyVictim): Promise<void> {
  held.length = 0;
  accepted = 0;
  server = http.createServer((_, response) => held.push(response));
  limitConnections(server, LIMIT, victim);
  server.on('connection', () => {
    accepted += 1;
  });
  address = await listen(server, '127.0.0.1:0');
}

async function open(text: string): Promise<PlainCaller> {
  const before = accepted;
  const caller = openPlainCaller(address);
  caller.socket.write(text);
  await waitUntil(() => accepted > before);
  return caller;
}

async function ask(): Promise<PlainCaller> {
  const before = held.length;
  const caller = await open(REQUEST);
  await waitUntil(() => held.length > before);
  return caller;
}

test('one more connection closes the one that has been without a request for longest', async () => {
  await startServer('newest');
  await ask();
  const idlest = await open(HALF_HEAD);
  const other = await open(HALF_HEAD);
  const late = await ask();
  await idlest.closed;
  expect([other, late].map(({ socket }) => socket.destroyed)).toEqual([false, false]);
});

test('a connection whose request is answered may be closed for another one', async () => {
  await startServer('newest');
  const first = await ask();
  await ask();
  await ask();
  held[0]?.end();
  await waitUntil(() => first.text().includes('200 OK'));
  await ask();
  await first.closed;
  expect(held).toHaveLength(4);
});

test('while each connection has a request, a new one is closed', async () => {
  await startServer('newest');
  await ask();
  await ask();
  await ask();
  const late = await open(REQUEST);
  await late.closed;
  expect(held).toHaveLength(LIMIT);
});

test('where the oldest one is to go, a new one is served while each has a request', async () => {
  await startServer('oldest');
  const oldest = await ask();
  await ask();
  await ask();
  await ask();
  await oldest.closed;
  expect(held).toHaveLength(LIMIT + 1);
});
