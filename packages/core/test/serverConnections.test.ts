import http from 'node:http';
import { openPlainCaller, parseAnswers } from '@pomeloroad/standins';
import type { PlainCaller } from '@pomeloroad/standins';
import { createOpenRequests, listen, readRequestBody, serveInOrder } from '../src';
import type { OpenRequests } from '../src';

const WORK_MS = 400;
const SETTLED_MS = 300;
const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
/** Requests that are not sent to their end. */
const UNFINISHED: [string, string][] = [
  ['a head', 'GET / HT'],
  ['a body', 'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nab'],
  ['a chunk', 'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab'],
];

let server: http.Server;

afterEach(() => {
  server.closeAllConnections();
  server.close();
});

// Starts a server that limits the time of each request and answers after some work.
async function startServer() {
  server = http.createServer({ requireHostHeader: false, connectionsCheckingInterval: 20 });
  server.headersTimeout = 100;
  server.requestTimeout = 100;
  const served: string[] = [];
  const openRequests = createOpenRequests(server);
  const serve = async (message: http.IncomingMessage, response: http.ServerResponse) => {
    const body = await readRequestBody(message);
    if (body.err) return;
    served.push(message.method ?? '');
    setTimeout(() => response.end('done'), WORK_MS);
  };
  serveInOrder(server, (message, response) => {
    openRequests.track(response, serve(message, response));
  });
  return { address: await listen(server, '127.0.0.1:0'), served, openRequests };
}

const settle = () =>
  new Promise((resolve) => {
    setTimeout(resolve, SETTLED_MS);
  });

async function waitUntilNoneIsOpen(openRequests: OpenRequests): Promise<void> {
  while (openRequests.count() > 0) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}

test.each(UNFINISHED)(
  '%s that is not sent in time is refused after the answers',
  async (_, bytes) => {
    const { address, served, openRequests } = await startServer();
    const caller = openPlainCaller(address);
    caller.socket.write(REQUEST + REQUEST + bytes);
    expect(await caller.closed).toBe(true);
    const statuses = parseAnswers(caller.text()).map(({ status }) => status);
    expect(statuses).toEqual([200, 200, 408]);
    expect(served).toEqual(['GET', 'GET']);
    await waitUntilNoneIsOpen(openRequests);
  },
);

test.each(UNFINISHED)('the rest of %s that comes too late is not served', async (_, bytes) => {
  const { address, served } = await startServer();
  const caller = openPlainCaller(address);
  caller.socket.write(REQUEST + bytes);
  setTimeout(() => caller.socket.write(`TP/1.1\r\nHost: a\r\n\r\n${REQUEST}`), WORK_MS / 2);
  await caller.closed;
  const statuses = parseAnswers(caller.text()).map(({ status }) => status);
  expect(statuses).toEqual([200, 408]);
  expect(served).toEqual(['GET']);
});

/** Parts of a request that are sent behind the last answer of a connection, more than 2 s in all. */
const LATE_PIECES = 12;
const PIECE_PAUSE_MS = 200;
/** Longer than a connection is kept for a caller that sends for ever. */
const SENDING_MAX_MS = 15_000;

async function sendLate(caller: PlainCaller, pieces: number): Promise<void> {
  if (pieces === 0) return;
  caller.socket.write('GET');
  await new Promise((resolve) => {
    setTimeout(resolve, PIECE_PAUSE_MS);
  });
  await sendLate(caller, pieces - 1);
}

test('a caller that reads late has its last answer although it still sends', async () => {
  const { address } = await startServer();
  const caller = openPlainCaller(address);
  caller.socket.pause();
  caller.socket.write(REQUEST.replace('\r\n\r\n', '\r\nConnection: close\r\n\r\n'));
  await sendLate(caller, LATE_PIECES);
  caller.socket.resume();
  expect(await caller.closed).toBe(true);
  expect(parseAnswers(caller.text())).toEqual([{ status: 200, body: 'done', isWhole: true }]);
});

test('a connection whose caller goes on sending behind the last answer ends', async () => {
  const { address, openRequests } = await startServer();
  const caller = openPlainCaller(address);
  caller.socket.pause();
  caller.socket.write(REQUEST.replace('\r\n\r\n', '\r\nConnection: close\r\n\r\n'));
  const startedAt = performance.now();
  const sending = setInterval(() => caller.socket.write('GET'), PIECE_PAUSE_MS);
  while (openRequests.countLingering() === 0) await settle();
  while (openRequests.countLingering() > 0 && performance.now() - startedAt < SENDING_MAX_MS) {
    await settle();
  }
  clearInterval(sending);
  caller.socket.destroy();
  expect(openRequests.countLingering()).toBe(0);
});

/** Requests that a caller sends behind one that runs, by their number: far more than the system buffers. */
const MANY: [string, number, string, string][] = [
  ['bodies', 500, 'Content-Length: 90000', 'x'.repeat(90_000)],
  ['heads', 5000, `X-A: ${'x'.repeat(9000)}`, ''],
];
/** What a server may read for one caller: two megabytes, and what the system reads in one turn of the event loop. */
const HELD_MAX_BYTES = 4_000_000;
async function waitUntilSettled(count: () => number): Promise<number> {
  const before = count();
  await settle();
  return before > 0 && count() === before ? before : waitUntilSettled(count);
}

async function waitForAnswers(caller: PlainCaller, count: number): Promise<void> {
  if (parseAnswers(caller.text()).length >= count) return;
  await settle();
  await waitForAnswers(caller, count);
}

// Guards against a caller for whom a server holds any number of requests.
test.each(MANY)('the %s behind a request that runs are bounded', async (_, count, header, body) => {
  server = http.createServer();
  let endWork = () => {};
  const work = new Promise<void>((resolve) => {
    endWork = resolve;
  });
  serveInOrder(server, async (message, response) => {
    if ((await readRequestBody(message)).err) return;
    await work;
    response.end(message.url);
  });
  let parsed = 0;
  let countRead = () => 0;
  server.on('request', ({ socket }) => {
    parsed += 1;
    countRead = () => socket.bytesRead;
  });
  const caller = openPlainCaller(await listen(server, '127.0.0.1:0'));
  const targets = Array.from({ length: count }, (__, index) => `/${index}`);
  const requests = targets.map(
    (target) => `POST ${target} HTTP/1.1\r\nHost: a\r\n${header}\r\n\r\n${body}`,
  );
  requests.forEach((request) => caller.socket.write(request));
  const held = await waitUntilSettled(() => parsed);
  expect(held * requests[0]!.length).toBeLessThan(HELD_MAX_BYTES);
  expect(countRead()).toBeLessThan(HELD_MAX_BYTES);
  endWork();
  await waitForAnswers(caller, count);
  expect(parseAnswers(caller.text()).map((answer) => answer.body)).toEqual(targets);
  caller.socket.destroy();
});

/** More requests than one caller may have waiting. */
const WAITING = 100;
/** Bytes of each of their bodies, together more than may wait and less than is read in all. */
const AHEAD_BYTES = 18_000;
const LEAVING = ['end', 'resetAndDestroy'] as const;
/** Numbers of requests, and bytes of each body, of which the last ones are not parsed while one runs. */
const BEYOND = [
  [100, 0],
  [18, 100_000],
] as const;

test.each(LEAVING.flatMap((way) => BEYOND.map(([count, bytes]) => [way, count, bytes] as const)))(
  'a caller that leaves by %s is noticed behind %d requests with %d bytes each',
  async (way, count, bytes) => {
    server = http.createServer();
    let left = 0;
    serveInOrder(server, async (message, response) => {
      response.on('close', () => {
        left += 1;
      });
      await readRequestBody(message);
    });
    const caller = openPlainCaller(await listen(server, '127.0.0.1:0'));
    const head = `POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${bytes}\r\n\r\n`;
    caller.socket.write(REQUEST + `${head}${'x'.repeat(bytes)}`.repeat(count));
    await settle();
    expect(left).toBe(0);
    caller.socket[way]();
    await settle();
    expect(left).toBeGreaterThan(0);
  },
);

test('unreadable bytes behind many waiting requests are refused after their answers', async () => {
  const { address, served, openRequests } = await startServer();
  const caller = openPlainCaller(address);
  caller.socket.write(`${REQUEST.repeat(WAITING)}no request\r\n\r\n`);
  expect(await caller.closed).toBe(true);
  const statuses = parseAnswers(caller.text()).map(({ status }) => status);
  expect(statuses).toEqual([...Array.from({ length: WAITING }, () => 200), 400]);
  expect(served).toHaveLength(WAITING);
  await waitUntilNoneIsOpen(openRequests);
});

test('what a caller that leaves has sent far ahead is not served', async () => {
  const { address, served, openRequests } = await startServer();
  const caller = openPlainCaller(address);
  const head = `POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${AHEAD_BYTES}\r\n\r\n`;
  caller.socket.write(`${head}${'x'.repeat(AHEAD_BYTES)}`.repeat(WAITING));
  await settle();
  caller.socket.end();
  await waitUntilNoneIsOpen(openRequests);
  const before = served.length;
  await settle();
  expect(before).toBeLessThan(WAITING);
  expect(served).toHaveLength(before);
});
