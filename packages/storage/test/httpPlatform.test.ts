import http from 'node:http';
import type { ServerResponse } from 'node:http';
import { createSystemClock, listen } from '@pomeloroad/core';
import { createHttpPlatform } from '../src';
import type { Member, Platform } from '../src';

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

const answerWith = (status: number, text: string) => (response: ServerResponse) => {
  response.writeHead(status, { 'content-length': text.length });
  response.end(text);
};

test.each([403, 413])('an object that was refused with status %i is not stored', async (status) => {
  const { objects } = await setUp(answerWith(status, '{}'));
  expect((await objects.put('usage/a', 'text')).val).toMatchObject({ kind: 'unavailable' });
});

test('the body of an error is not an object', async () => {
  const { objects } = await setUp(answerWith(403, 'denied'));
  expect((await objects.get('usage/a')).err).toBe(true);
});

test.each([
  ['whole', 200, 'text'],
  ['missing', 404, undefined],
])('an object is known to be %s', async (_name, status, text) => {
  const { objects } = await setUp(answerWith(status, 'text'));
  expect((await objects.get('a')).unwrap()).toBe(text);
});

test.each([400, 403])(
  'a member that was refused with status %i is not announced',
  async (status) => {
    const { membership } = await setUp(answerWith(status, '{}'));
    const member: Member = {
      name: 'a',
      role: 'instance',
      dataCentre: 'kent',
      address: '127.0.0.1:1',
      incarnation: 'i',
      state: 'live',
    };
    expect((await membership.announce(member)).err).toBe(true);
  },
);
