import http from 'node:http';
import { openPlainCaller, parseAnswers } from '@pomeloroad/standins';
import type { PlainCaller } from '@pomeloroad/standins';
import { createConnectionTurns, createRandom, listen, readRequestBody, serveInOrder } from '../src';
import type { Random } from '../src';

const SEEDS = Array.from({ length: 20 }, (_, seed) => seed);
const REQUESTS = 150;
const BODY_LIMIT = 1_000_000;
/** Largest bodies by seed; some are above what a caller may have waiting, or above the limit. */
const LARGEST = [100, 5000, 70_000, 300_000, 1_200_000];
const EMPTY_RATIO = 0.3;
const LATE_RATIO = 0.1;
const PIECE_MAX_BYTES = 400_000;
const POLL_MS = 20;

let server: http.Server;

afterEach(() => {
  server.closeAllConnections();
  server.close();
});

const sleep = (delay: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, delay);
  });

// Starts a server that answers with the sizes of bodies, some late, with or without waiting for their turns.
function startServer(random: Random, hasTurns: boolean): Promise<string> {
  server = http.createServer();
  const turns = createConnectionTurns();
  serveInOrder(server, async (message, response) => {
    turns.add(response);
    const body = await readRequestBody(message, BODY_LIMIT);
    if (hasTurns) await turns.wait(response);
    if (random.fraction() < LATE_RATIO) await sleep(random.integer(0, 10));
    response.end(`${message.url} ${body.ok ? body.val.length : body.val}`);
  });
  return listen(server, '127.0.0.1:0');
}

function sendInPieces(caller: PlainCaller, random: Random, bytes: Buffer): void {
  for (let at = 0; at < bytes.length;) {
    const size = random.integer(1, PIECE_MAX_BYTES);
    caller.socket.write(bytes.subarray(at, at + size));
    at += size;
  }
}

// Guards against bodies that are never read on, because others were held when they came.
test.each(SEEDS)('requests of all sizes in one go are answered in order: seed %d', async (seed) => {
  const random = createRandom(seed);
  const caller = openPlainCaller(await startServer(random, seed % 2 === 0));
  const largest = LARGEST[seed % LARGEST.length]!;
  const sizes = Array.from({ length: REQUESTS }, () =>
    random.fraction() < EMPTY_RATIO ? 0 : random.integer(0, largest),
  );
  const requests = sizes.map((size, index) => {
    const head = `POST /${index} HTTP/1.1\r\nHost: a\r\nContent-Length: ${size}\r\n\r\n`;
    return Buffer.from(head + 'x'.repeat(size));
  });
  sendInPieces(caller, random, Buffer.concat(requests));
  while (parseAnswers(caller.text()).length < REQUESTS) await sleep(POLL_MS);
  const expected = sizes.map(
    (size, index) => `/${index} ${size > BODY_LIMIT ? 'too-large' : size}`,
  );
  expect(parseAnswers(caller.text()).map(({ body }) => body)).toEqual(expected);
  caller.socket.destroy();
});
