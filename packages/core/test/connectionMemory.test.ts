import http from 'node:http';
import type { ServerResponse } from 'node:http';
import { openPlainCaller, parseAnswers } from '@pomeloroad/standins';
import type { PlainCaller } from '@pomeloroad/standins';
import {
  closeAfter,
  createConnectionTurns,
  createMemoryAccount,
  createRandom,
  createSystemClock,
  listen,
  readRequestBody,
  serveInOrder,
} from '../src';
import type { MemoryAccount } from '../src';
import { waitUntil } from './waitUntil';

const LIMIT = 2_000_000;
const SEEDS = Array.from({ length: 12 }, (_, seed) => seed);
const STATUS_UNAVAILABLE = 503;

let server: http.Server;
let memory: MemoryAccount;
let held: ServerResponse[] = [];

afterEach(() => {
  held = [];
  server.closeAllConnections();
  server.close();
});

// Answers with the size of the body; holds the answers of requests for /held.
function startServer(): Promise<string> {
  server = http.createServer();
  memory = createMemoryAccount({ clock: createSystemClock(), limit: LIMIT });
  const turns = createConnectionTurns();
  serveInOrder(
    server,
    async (message, response) => {
      turns.add(response);
      const body = await readRequestBody(message);
      if (!(await turns.wait(response))) return;
      if (body.err) {
        closeAfter(response);
        response.writeHead(STATUS_UNAVAILABLE).end(body.val);
      } else if (message.url === '/held') held.push(response);
      else response.end(`${body.val.length}`);
    },
    memory,
  );
  return listen(server, '127.0.0.1:0');
}

function begin(caller: PlainCaller, bytes: number, target = '/'): void {
  const head = `POST ${target} HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n`;
  caller.socket.write(`${head}${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`);
}

test('a large body that stops is refused, and the others are served', async () => {
  const address = await startServer();
  const first = openPlainCaller(address);
  begin(first, 900_000);
  await waitUntil(() => memory.held() > 900_000);
  const atWork = openPlainCaller(address);
  begin(atWork, 950_000, '/held');
  atWork.socket.write('0\r\n\r\n');
  await waitUntil(() => held.length > 0);
  const small = openPlainCaller(address);
  begin(small, 60_000);
  const other = openPlainCaller(address);
  begin(other, 60_000);
  const last = openPlainCaller(address);
  begin(last, 60_000);
  expect(await first.closed).toBe(true);
  expect(parseAnswers(first.text())).toMatchObject([{ status: 503, body: 'no-memory' }]);
  small.socket.write('0\r\n\r\n');
  await waitUntil(() => parseAnswers(small.text()).length > 0);
  expect(parseAnswers(small.text())).toMatchObject([{ status: 200, body: '60000' }]);
  held[0]?.end('done');
  await waitUntil(() => parseAnswers(atWork.text()).length > 0);
  expect(parseAnswers(atWork.text())).toMatchObject([{ status: 200, body: 'done' }]);
});

test('what is sent ahead of a running request is held within the limit', async () => {
  const address = await startServer();
  const callers = Array.from({ length: 8 }, () => openPlainCaller(address));
  callers.forEach((caller) => {
    caller.socket.write('GET /held HTTP/1.1\r\nHost: a\r\n\r\n');
    begin(caller, 900_000);
  });
  await waitUntil(() => memory.held() > LIMIT / 2);
  await new Promise((resolve) => {
    setTimeout(resolve, 200);
  });
  expect(memory.held()).toBeLessThanOrEqual(LIMIT);
});

// Guards against bytes that stay on the account, which would refuse everyone in the end.
test.each(SEEDS)('nothing is held once all are answered or have left: seed %d', async (seed) => {
  const random = createRandom(seed);
  const address = await startServer();
  const callers = Array.from({ length: 20 }, () => openPlainCaller(address));
  callers.forEach((caller, index) => {
    for (let count = 0; count < random.integer(1, 5); count += 1) {
      begin(caller, random.integer(1, seed % 2 === 0 ? 100_000 : 400_000));
      caller.socket.write('0\r\n\r\n');
    }
    if (index % 5 === 0) begin(caller, 1000);
    if (index % 5 === 1) caller.socket.write('GET / HTTP/1.1\r\nHost: a\r\nUpgrade: x\r\n');
    if (index % 5 === 1) caller.socket.write('Connection: Upgrade\r\n\r\n');
    if (index % 5 === 2) caller.socket.write('no request\r\n\r\n');
    if (index % 5 === 3) caller.socket.destroy();
  });
  await waitUntil(() => callers[4]?.text().includes('200 OK') ?? false);
  callers.filter((_, index) => index % 5 === 0).forEach(({ socket }) => socket.destroy());
  await waitUntil(() => memory.held() === 0);
  expect(memory.held()).toBe(0);
});
