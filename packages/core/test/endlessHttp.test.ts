import http from 'node:http';
import net from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { callHttp } from '../src';
import type { HttpAnswer, HttpFailure, Outcome } from '../src';

const TIMEOUT_MS = 200;
const MEBIBYTE = 1_048_576;
/** The largest body that a call reads, with the buffers of the connection. */
const MAX_SENT_BYTES = 64 * MEBIBYTE + 16 * MEBIBYTE;
const PART = 'x'.repeat(65_536);
const PIECE_INTERVAL_MS = 20;

const sockets = new Set<Socket>();
let server: net.Server | undefined;

jest.setTimeout(10_000);

afterEach(() => {
  sockets.forEach((socket) => socket.destroy());
  sockets.clear();
  server?.close();
});

// Calls a server that handles its connection once the request arrives.
async function call(
  handle: (socket: Socket) => void,
): Promise<{ answer: Outcome<HttpAnswer, HttpFailure>; sent: number }> {
  let sent = 0;
  const called = net.createServer((socket) => {
    sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => undefined);
    socket.once('data', () => handle(socket));
    socket.on('close', () => {
      sent = socket.bytesWritten;
    });
  });
  server = called;
  await new Promise<void>((resolve) => {
    called.listen(0, '127.0.0.1', resolve);
  });
  const { port } = called.address() as AddressInfo;
  const url = `http://127.0.0.1:${port}`;
  const answer = await callHttp({
    method: 'GET',
    url,
    timeout: TIMEOUT_MS,
    agent: new http.Agent(),
    hasJsonObject: true,
  });
  await new Promise<void>((resolve) => {
    called.close(() => resolve());
  });
  return { answer, sent };
}

// Sends the start and then the pieces, without an end.
function trickle(start: string, getPiece: () => string | undefined) {
  return (socket: Socket) => {
    socket.write(start);
    const timer = setInterval(() => {
      const piece = getPiece();
      if (piece !== undefined) socket.write(piece);
    }, PIECE_INTERVAL_MS);
    socket.on('close', () => clearInterval(timer));
  };
}

test.each([
  ['without a length', 'HTTP/1.1 200 OK\r\n\r\n', PART],
  ['in chunks', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n', `10000\r\n${PART}\r\n`],
])('a call ends though its answer never does: %s', async (_name, start, rest) => {
  const { answer, sent } = await call((socket) => {
    const send = () => {
      if (socket.writable && socket.write(rest)) setImmediate(send);
    };
    socket.on('drain', send);
    socket.write(start);
    send();
  });
  expect(answer.val).toMatchObject({ kind: 'unavailable', ran: 'unknown' });
  expect(sent).toBeLessThan(MAX_SENT_BYTES);
});

test('a call ends though its answer trickles', async () => {
  const { answer } = await call(trickle('HTTP/1.1 200 OK\r\n\r\n{', () => ' '));
  expect(answer.val).toMatchObject({ kind: 'unavailable', ran: 'unknown' });
});

test('a large answer over a slow link is read for longer than the time limit', async () => {
  const pieces = Array.from({ length: 30 }, () => 'x'.repeat(1000));
  const length = 1000 * pieces.length;
  const { answer } = await call(
    trickle(`HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: ${length}\r\n\r\n`, () =>
      pieces.shift(),
    ),
  );
  expect(answer.unwrap().body).toHaveLength(length);
});
