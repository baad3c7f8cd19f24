import { execFileSync } from 'node:child_process';
import type { IncomingMessage, ServerResponse } from 'node:http';
import net from 'node:net';
import type { Socket } from 'node:net';
import { createSystemClock, sleep, splitAddress } from '@pomeloroad/core';
import type { Milliseconds } from '@pomeloroad/core';
import { ROOT } from '../src/paths';
import { isServed, readFootprint, USUAL_HEADERS } from './memoryHarness';
import { createRoute, endTrial, startTrial } from './plannedStopHarness';
import type { Trial } from './plannedStopHarness';

/** Memory of a machine, of which the process has all. */
const MEMORY_MB = 350;
/** The command of the deploy file gives the process this heap. */
const NODE_OPTIONS = ['--max-old-space-size=128'];
/** Time limit of the crowd's requests; longer than a test, so that none of them ends by it. */
const TIME_LIMIT_MS: Milliseconds = 120_000;
const UPLOAD_BYTES = 4_194_304;
const ANSWER_BYTES = 16_000_000;
const PIECE = Buffer.alloc(100_000, 'x');
const ENDPOINTS = 2;
/** Time for which the endpoints send before the memory is read, in each round. */
const ROUND_MS: Milliseconds = 5000;

const CONFIGURATION = {
  version: 1,
  routes: [
    createRoute('often', 'idempotent', { attempts: 2 }),
    createRoute('long', 'idempotent', { timeout_ms: TIME_LIMIT_MS }),
    createRoute('single', 'streaming', { timeout_ms: TIME_LIMIT_MS }),
  ],
  services: [{ name: 'board', engine: { stride: 1 } }],
  tenants: [{ name: 'rich', api_keys: ['rich-key'] }],
  limits: { max_body_bytes: UPLOAD_BYTES, idle_timeout_ms: 15_000 },
};

/** Requests whose endpoints do not behave. */
interface Crowd {
  callers: number;
  /** How often as many come; those of earlier rounds have had their answers or wait for them. */
  rounds: number;
  roundTime: Milliseconds;
  path: string;
  body: Buffer;
  /** Whether the callers read their answers. */
  isReading: boolean;
  answer(request: IncomingMessage, response: ServerResponse): void;
}

const USUAL = { rounds: 1, roundTime: ROUND_MS, path: '/long/x', body: Buffer.alloc(0) };
const STREAM = { ...USUAL, path: '/single/x', isReading: false };

const CROWDS: Record<string, Crowd> = {
  '150 uploads that are answered and never read': {
    callers: 25,
    rounds: 6,
    roundTime: 1000,
    path: '/long/x',
    body: Buffer.alloc(UPLOAD_BYTES, 'b'),
    isReading: true,
    answer: answerUnread,
  },
  '40 whole answers whose callers read nothing': {
    ...USUAL,
    callers: 40,
    isReading: false,
    answer: (_request, response) => sendPieces(response, PIECE, ANSWER_BYTES / PIECE.length),
  },
  '40 long answers that do not end': {
    ...USUAL,
    callers: 40,
    isReading: true,
    answer: (_request, response) => sendPieces(response, PIECE, ANSWER_BYTES / PIECE.length - 10),
  },
  '20 answers in chunks of one byte that do not end': {
    ...USUAL,
    callers: 20,
    isReading: true,
    answer: ({ socket }, response) => sendBytes(response, socket),
  },
  '60 streams whose callers read nothing': {
    ...STREAM,
    callers: 60,
    answer: (_request, response) =>
      sendPieces(response, Buffer.from(`id: 1\ndata: ${'x'.repeat(300_000)}\n\n`), 1000),
  },
  '60 streams of short events whose callers read nothing': {
    ...STREAM,
    callers: 60,
    answer: (_request, response) =>
      sendPieces(response, Buffer.from('id: 1\ndata: x\n\n'.repeat(5000)), 1000),
  },
  '100 streams with an event that does not end': {
    ...STREAM,
    callers: 100,
    answer: (_request, response) => sendPieces(response, PIECE, 40),
  },
};
const NAMES = Object.keys(CROWDS);

const clock = createSystemClock();
const sockets: Socket[] = [];

// Node's own end of a response would read the rest of the request.
function answerUnread({ socket }: IncomingMessage, response: ServerResponse): void {
  const headers = Object.entries(response.getHeaders()).map(([name, value]) => `${name}: ${value}`);
  socket.write(`HTTP/1.1 200 OK\r\n${headers.join('\r\n')}\r\nContent-Length: 2\r\n\r\nok`);
}

// Sends the pieces as they are taken, without an end.
function sendPieces(response: ServerResponse, piece: Buffer, count: number): void {
  let left = count;
  const isWhole = count * piece.length === ANSWER_BYTES;
  response.writeHead(200, isWhole ? { 'content-length': ANSWER_BYTES } : {});
  const sendNext = () => {
    if (left === 0 || response.destroyed) return;
    left -= 1;
    if (response.write(piece)) setImmediate(sendNext);
    else response.once('drain', sendNext);
  };
  sendNext();
}

function sendBytes(response: ServerResponse, socket: Socket): void {
  const chunks = Buffer.from('1\r\nx\r\n'.repeat(10_000));
  let left = 40;
  response.writeHead(200, { 'transfer-encoding': 'chunked' });
  response.flushHeaders();
  const sendNext = () => {
    left -= 1;
    if (left >= 0 && !socket.destroyed) socket.write(chunks, sendNext);
  };
  sendNext();
}

async function startDeployed(crowd: Crowd): Promise<Trial> {
  const trial = await startTrial(CONFIGURATION, '', NODE_OPTIONS);
  for (let count = 0; count < ENDPOINTS; count += 1) {
    await trial.addEndpoint(`e${count}`, (request, response) => {
      if (request.url === crowd.path) crowd.answer(request, response);
      else response.writeHead(request.url === '/often/x' ? 200 : 404).end('answer');
    });
  }
  return trial;
}

async function sendCrowd(trial: Trial, crowd: Crowd): Promise<void> {
  for (let round = 0; round < crowd.rounds; round += 1) {
    for (let count = 0; count < crowd.callers; count += 1) send(trial.address, crowd);
    await sleep(clock, crowd.roundTime);
  }
}

function send(address: string, { path, body, isReading }: Crowd): void {
  const socket = net.connect(splitAddress(address));
  sockets.push(socket);
  socket.on('error', () => undefined);
  if (isReading) socket.resume();
  else socket.pause();
  const length = body.length > 0 ? `Content-Length: ${body.length}\r\n` : '';
  const method = body.length > 0 ? 'POST' : 'GET';
  socket.write(
    `${method} ${path} HTTP/1.1\r\n${USUAL_HEADERS}\r\nConnection: close\r\n${length}\r\n`,
  );
  socket.write(body);
}

beforeAll(() => {
  if (!process.env.TRIAL_PROGRAM) execFileSync('npm', ['run', '--silent', 'bundle'], { cwd: ROOT });
});
afterEach(async () => {
  sockets.splice(0).forEach((socket) => socket.destroy());
  await endTrial();
});

test.each(NAMES)('a process stays within its memory and serves meanwhile: %s', async (name) => {
  const crowd = CROWDS[name] as Crowd;
  const trial = await startDeployed(crowd);
  await sendCrowd(trial, crowd);
  expect(trial.instance.isRunning()).toBe(true);
  expect(await isServed(trial)).toBe(true);
  expect(readFootprint(trial).peakMb).toBeLessThan(MEMORY_MB);
  sockets.splice(0).forEach((socket) => socket.destroy());
  expect(await isServed(trial)).toBe(true);
});

// Guards against a process that ends by the error of a connection that nobody listens to.
test('a process lives on though endpoints answer uploads early and close', async () => {
  const trial = await startTrial(CONFIGURATION, '', NODE_OPTIONS);
  await trial.addEndpoint('e1', (request, response) => {
    answerUnread(request, response);
    setTimeout(() => request.socket.destroySoon(), 100);
  });
  const body = Buffer.alloc(UPLOAD_BYTES, 'b');
  for (let count = 0; count < 4; count += 1) {
    send(trial.address, { ...STREAM, path: '/long/x', body, isReading: true } as Crowd);
  }
  await sleep(clock, 1000);
  expect(trial.instance.isRunning()).toBe(true);
  expect(await isServed(trial)).toBe(true);
});
