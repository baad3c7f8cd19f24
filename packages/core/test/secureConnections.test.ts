import { once } from 'node:events';
import https from 'node:https';
import tls from 'node:tls';
import type { ServerResponse } from 'node:http';
import { parseAnswers } from '@pomeloroad/standins';
import { listen, serveInOrder, splitAddress } from '../src';

const WORK_MS = 200;
const LONG_WORK_MS = 600_000;
/** More requests than one caller may have waiting. */
const MANY = 500;
const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
/** A shared key, so that no certificate is needed. */
const KEY = Buffer.from('0123456789abcdef');
const CIPHERS: tls.SecureContextOptions = { ciphers: 'PSK', maxVersion: 'TLSv1.2' };
/** What can't be served, and the status of its refusal. */
const REFUSED: [string, string, number][] = [
  ['bytes that are no request', 'no request\r\n\r\n', 400],
  [
    'two lengths',
    'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab',
    400,
  ],
  ['a tunnel', 'CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\n', 400],
];

let server: https.Server;

afterEach(() => {
  server.closeAllConnections();
  server.close();
});

async function startServer(work = WORK_MS): Promise<string> {
  server = https.createServer({ ...CIPHERS, pskCallback: () => KEY, requireHostHeader: false });
  serveInOrder(server, (_, response) => {
    setTimeout(() => response.end('done'), work).unref();
  });
  return listen(server, '127.0.0.1:0');
}

function connect(address: string): tls.TLSSocket {
  return tls.connect({
    ...splitAddress(address),
    ...CIPHERS,
    pskCallback: () => ({ psk: KEY, identity: 'a' }),
    checkServerIdentity: () => undefined,
  });
}

// Sends the bytes, and resolves to what came until the connection closed, and whether it closed in order.
function send(address: string, bytes: string): Promise<{ text: string; isClosed: boolean }> {
  const socket = connect(address);
  let text = '';
  socket.on('data', (data: Buffer) => {
    text += data.toString('latin1');
  });
  socket.on('error', () => undefined);
  socket.write(bytes);
  return new Promise((resolve) => {
    socket.on('close', (hadError) => resolve({ text, isClosed: !hadError }));
  });
}

test.each(REFUSED)('over TLS, %s are refused after the answers', async (_, bytes, status) => {
  const { text, isClosed } = await send(await startServer(), REQUEST + REQUEST + bytes);
  expect(parseAnswers(text).map((answer) => answer.status)).toEqual([200, 200, status]);
  expect(isClosed).toBe(true);
});

test('over TLS, what is sent in one write with an upgrade is answered', async () => {
  const upgrade = REQUEST.replace('\r\n\r\n', '\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n');
  const last = REQUEST.replace('\r\n\r\n', '\r\nConnection: close\r\n\r\n');
  const { text, isClosed } = await send(await startServer(), REQUEST + upgrade + upgrade + last);
  expect(parseAnswers(text).map((answer) => answer.status)).toEqual([200, 200, 200, 200]);
  expect(isClosed).toBe(true);
});

test('over TLS, a caller that leaves is noticed behind many requests', async () => {
  const address = await startServer(LONG_WORK_MS);
  const left = new Promise((resolve) => {
    server.on('request', (_, response: ServerResponse) => response.on('close', resolve));
  });
  const socket = connect(address);
  socket.write(REQUEST.repeat(MANY));
  await once(server, 'request');
  socket.destroy();
  await left;
});

test('over TLS, many requests in one write are answered', async () => {
  const last = REQUEST.replace('\r\n\r\n', '\r\nConnection: close\r\n\r\n');
  const { text, isClosed } = await send(await startServer(), REQUEST.repeat(MANY) + last);
  expect(parseAnswers(text)).toHaveLength(MANY + 1);
  expect(isClosed).toBe(true);
});
