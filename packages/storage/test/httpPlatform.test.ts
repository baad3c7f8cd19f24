import http from 'node:http';
import type { ServerResponse } from 'node:http';
import { createSystemClock, listen } from '@pomeloroad/core';
import { createHttpPlatform } from '../src';
import type { Platform } from '../src';

let server: http.Server | undefined;

afterEach(() => {
  server?.closeAllConnections();
  server?.close();
});

// Creates a client of a platform that answers every call in the same way.
async function setUp(answer: (response: ServerResponse) => void): Promise<Platform> {
  server = http.createServer((request, response) => {
    request.resume().on('end', () => answer(response));
  });
  const url = `http://${await listen(server, '127.0.0.1:0')}`;
  const urls = { tableUrl: url, objectsUrl: url, membershipUrl: url };
  const host = { clock: createSystemClock(), onAvailability: () => undefined };
  return createHttpPlatform(host, { ...urls, timeout: 2000, sourceAddress: '' });
}

test('a torn object without a length is not read as a whole one', async () => {
  const { objects } = await setUp(({ req }) => req.socket.end('HTTP/1.1 200 OK\r\n\r\n{"a":1}\n'));
  expect((await objects.get('usage/a')).err).toBe(true);
});

test('a commit whose answer is not known to be whole has an unknown outcome', async () => {
  const reply = JSON.stringify({ committed: false, conflicts: ['a'] });
  const { table } = await setUp(({ req }) => req.socket.end(`HTTP/1.1 200 OK\r\n\r\n${reply}`));
  const outcome = await table.commit({ checks: [], writes: [] });
  expect(outcome.val).toMatchObject({ kind: 'unknown' });
});
