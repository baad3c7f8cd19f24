import http from 'node:http';
import { openPlainCaller, parseAnswers } from '@pomeloroad/standins';
import { createOpenRequests, listen, readRequestBody, serveInOrder } from '../src';
import type { OpenRequests } from '../src';

const WORK_MS = 20;
const LONG_WORK_MS = 60_000;
const LATER_MS = 100;
const WAIT_MAX_MS = 10_000;
const MANY = 500;
const BODY_BYTES = 7000;
/** Every so many requests ask for another protocol, so that more than a caller may have waiting lie between. */
const UPGRADE_INTERVAL = 150;
/** Every so many requests their bodies come apart from their heads. */
const PIECE_INTERVAL = 7;
/** Headers from which on Node drops the rest of a head. */
const HEADERS_MAX = 1000;
const UPGRADE = 'Connection: Upgrade\r\nUpgrade: websocket';
const REQUESTS: [string, string][] = [
  ['no body', render('/none', UPGRADE)],
  [
    'h2c',
    render('/h2c', 'Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: A'),
  ],
  ['a length', `${render('/length', `${UPGRADE}\r\nContent-Length: 4`)}body`],
  [
    'chunks',
    `${render('/chunks', `${UPGRADE}\r\nTransfer-Encoding: chunked`)}4\r\nbody\r\n0\r\n\r\n`,
  ],
];
const MIXED = [render('/first'), ...REQUESTS.map(([, request]) => request), render('/last')];
const MIXED_ANSWERS = ['/first ', '/none ', '/h2c ', '/length body', '/chunks body', '/last '];
const PIECES_BYTES = [1, 7, 100];
const LEAVING = ['end', 'resetAndDestroy'] as const;
/** Just more than the bodies that wait may hold, so that further ones are not read. */
const LARGE = 'x'.repeat(1024 * 1024 + 1);

let server: http.Server;

afterEach(() => {
  server.closeAllConnections();
  server.close();
});

function render(path: string, header = 'X-A: b'): string {
  return `POST ${path} HTTP/1.1\r\nHost: a\r\n${header}\r\n\r\n`;
}

// Starts a server that answers each request with its path and body after some work.
async function startServer(work = WORK_MS) {
  server = http.createServer({ requireHostHeader: false });
  const openRequests = createOpenRequests(server);
  const left: string[] = [];
  const served: string[] = [];
  const serve = async (message: http.IncomingMessage, response: http.ServerResponse) => {
    served.push(`${message.url}`);
    response.on('close', () => {
      if (!response.writableFinished) left.push(`${message.url}`);
    });
    const body = await readRequestBody(message);
    if (body.ok) setTimeout(() => response.end(`${message.url} ${body.val}`), work).unref();
  };
  serveInOrder(server, (message, response) => {
    openRequests.track(response, serve(message, response));
  });
  return { address: await listen(server, '127.0.0.1:0'), openRequests, left, served };
}

function sleep(delay: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delay);
  });
}

// Ends at its limit, because a loop that goes on would keep the test process alive.
async function waitFor(isDone: () => boolean): Promise<void> {
  const startedAt = performance.now();
  while (!isDone() && performance.now() - startedAt < WAIT_MAX_MS) await sleep(1);
}

async function countLeftOpen(openRequests: OpenRequests): Promise<number> {
  await waitFor(() => openRequests.count() === 0);
  return openRequests.count();
}

async function waitForBodies(text: () => string, count: number): Promise<string[]> {
  await waitFor(() => parseAnswers(text()).filter(({ isWhole }) => isWhole).length >= count);
  return parseAnswers(text()).map(({ body }) => body);
}

test.each(REQUESTS)('a request with an upgrade and %s keeps its connection', async (_, request) => {
  const { address } = await startServer();
  const caller = openPlainCaller(address);
  caller.socket.write(request);
  const [first] = await waitForBodies(caller.text, 1);
  caller.socket.write(render('/next'));
  expect(await waitForBodies(caller.text, 2)).toEqual([first, '/next ']);
  caller.socket.destroy();
});

test('requests with and without upgrades in one write are answered in order', async () => {
  const { address } = await startServer();
  const caller = openPlainCaller(address);
  caller.socket.write(MIXED.join(''));
  expect(await waitForBodies(caller.text, MIXED.length)).toEqual(MIXED_ANSWERS);
  caller.socket.destroy();
});

test.each(PIECES_BYTES)(
  'requests with upgrades in pieces of %s bytes are answered',
  async (size) => {
    const { address } = await startServer();
    const caller = openPlainCaller(address);
    caller.socket.setNoDelay(true);
    const bytes = MIXED.join('');
    for (let start = 0; start < bytes.length; start += size) {
      caller.socket.write(bytes.slice(start, start + size));
      await sleep(0);
    }
    expect(await waitForBodies(caller.text, MIXED.length)).toEqual(MIXED_ANSWERS);
    caller.socket.destroy();
  },
);

test('many requests with upgrades in one write are answered in order', async () => {
  const { address } = await startServer(0);
  const paths = Array.from({ length: MANY }, (_, index) => `/${index}`);
  const caller = openPlainCaller(address);
  caller.socket.write(paths.map((path) => render(path, UPGRADE)).join(''));
  const bodies = await waitForBodies(caller.text, MANY);
  expect(bodies).toEqual(paths.map((path) => `${path} `));
  caller.socket.destroy();
});

// Guards against input that is lost or overtaken where a connection that is read ahead gets a new parser.
test('upgrades among many waiting requests with bodies in pieces are answered in order', async () => {
  const { address } = await startServer(0);
  const paths = Array.from({ length: MANY }, (_, index) => `/${index}`);
  const body = 'x'.repeat(BODY_BYTES);
  const caller = openPlainCaller(address);
  for (const [index, path] of paths.entries()) {
    const header = `Content-Length: ${BODY_BYTES}`;
    const isUpgrade = index % UPGRADE_INTERVAL === UPGRADE_INTERVAL - 1;
    caller.socket.write(render(path, isUpgrade ? `${UPGRADE}\r\n${header}` : header));
    if (index % PIECE_INTERVAL === 0) await sleep(0);
    caller.socket.write(body);
  }
  const bodies = await waitForBodies(caller.text, MANY);
  expect(bodies).toEqual(paths.map((path) => `${path} ${body}`));
  caller.socket.destroy();
});

test('what follows a request with an upgrade that closes its connection is not served', async () => {
  const { address, served } = await startServer();
  const closing = render('/closing', 'Connection: Upgrade, close\r\nUpgrade: websocket');
  const caller = openPlainCaller(address);
  caller.socket.write(closing + render('/a', UPGRADE) + render('/b'));
  expect(await caller.closed).toBe(true);
  expect(parseAnswers(caller.text()).map(({ body }) => body)).toEqual(['/closing ']);
  expect(served).toEqual(['/closing']);
});

test('unreadable bytes behind a request with an upgrade are refused after its answer', async () => {
  const { address } = await startServer();
  const caller = openPlainCaller(address);
  caller.socket.write(`${render('/a', UPGRADE)}unreadable\r\n\r\n`);
  expect(await caller.closed).toBe(true);
  expect(parseAnswers(caller.text()).map(({ status }) => status)).toEqual([200, 400]);
});

test('a request with an upgrade and more headers than are read is refused', async () => {
  const { address, served } = await startServer();
  const headers = Array.from({ length: HEADERS_MAX }, () => 'a: b').join('\r\n');
  const caller = openPlainCaller(address);
  caller.socket.write(render('/a') + render('/b', `${UPGRADE}\r\n${headers}`) + render('/c'));
  expect(await caller.closed).toBe(true);
  expect(parseAnswers(caller.text()).map(({ status }) => status)).toEqual([200, 431]);
  expect(served).toEqual(['/a']);
});

test.each(LEAVING)(
  'a caller that leaves by %s behind a request with an upgrade is noticed',
  async (way) => {
    const { address, openRequests, left, served } = await startServer(LONG_WORK_MS);
    const caller = openPlainCaller(address);
    caller.socket.write(render('/a') + render('/b', UPGRADE) + render('/c'));
    await sleep(LATER_MS);
    caller.socket[way]();
    expect(await countLeftOpen(openRequests)).toBe(0);
    expect(left).toEqual(['/a']);
    expect(served).toEqual(['/a']);
  },
);

test('no request stays open whose body waits as its caller leaves behind an upgrade', async () => {
  const { address, openRequests, served } = await startServer(LONG_WORK_MS);
  const large = `${render('/large', `Content-Length: ${LARGE.length}`)}${LARGE}`;
  const caller = openPlainCaller(address);
  const small = `${render('/small', 'Content-Length: 1')}b`;
  caller.socket.write(render('/a') + large + small + render('/b', UPGRADE));
  await waitFor(() => served.includes('/small'));
  await sleep(LATER_MS);
  caller.socket.destroy();
  expect(await countLeftOpen(openRequests)).toBe(0);
});
