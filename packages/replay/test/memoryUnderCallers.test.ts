import { execFileSync } from 'node:child_process';
import { ROOT } from '../src/paths';
import {
  isReady,
  isServed,
  LARGE_PATH,
  readFootprint,
  sendCrowd,
  startDeployed,
  USUAL_HEADERS,
} from './memoryHarness';
import type { Crowd } from './memoryHarness';
import { endTrial } from './plannedStopHarness';

/** Memory and descriptors of a machine, of which the process has all. */
const MEMORY_MB = 350;
const DESCRIPTORS = 4100;
const PIECE_BYTES = 65_536;

const CHUNKED_HEAD = `POST /long/x HTTP/1.1\r\n${USUAL_HEADERS}\r\nTransfer-Encoding: chunked\r\n\r\n`;
const LARGE_CHUNK = Buffer.from(`10000\r\n${'x'.repeat(PIECE_BYTES)}\r\n`);

const CROWDS: Record<string, Crowd> = {
  '120 bodies in large chunks that stop short of their end': {
    callers: 120,
    port: 'callers',
    head: CHUNKED_HEAD,
    piece: LARGE_CHUNK,
    pieces: 62,
  },
  '20 bodies in chunks of one byte that stop short of their end': {
    callers: 20,
    port: 'callers',
    head: CHUNKED_HEAD,
    piece: Buffer.from('1\r\nx\r\n'.repeat(10_000)),
    pieces: 40,
  },
  '40 callers that send requests without the usual headers ahead': {
    callers: 40,
    port: 'callers',
    head: '',
    piece: repeat('GET /nothing HTTP/1.0\r\nConnection: keep-alive\r\n\r\n'),
    pieces: Infinity,
  },
  '40 callers that send requests with the usual headers ahead': {
    callers: 40,
    port: 'callers',
    head: '',
    piece: repeat(`GET /long/x HTTP/1.1\r\n${USUAL_HEADERS}\r\n\r\n`),
    pieces: Infinity,
  },
  '40 callers that ask for metrics ahead': createStatusCrowd(40, '/metrics'),
  '40 callers that ask for readiness ahead': createStatusCrowd(40, '/v1/readyz'),
  '300 callers that ask for readiness ahead': createStatusCrowd(300, '/v1/readyz'),
  '4,200 connections of callers that bring half a head': createIdleCrowd('callers'),
  '4,200 connections that bring half a head at the address of readiness':
    createIdleCrowd('readiness'),
  '2,500 heads of 60 KB that stop short of their end': {
    callers: 2500,
    group: 200,
    port: 'callers',
    head: 'GET /long/x HTTP/1.1\r\n',
    piece: Buffer.from(`X-A: ${'x'.repeat(600)}\r\n`.repeat(10)),
    pieces: 10,
  },
  '60 callers that do not read an answer of 14 MB': {
    callers: 60,
    port: 'callers',
    head: '',
    piece: Buffer.from(`GET ${LARGE_PATH} HTTP/1.1\r\n${USUAL_HEADERS}\r\n\r\n`),
    pieces: 1,
  },
  '120 bodies in large chunks that come back': {
    callers: 120,
    port: 'callers',
    head: CHUNKED_HEAD,
    piece: LARGE_CHUNK,
    pieces: Infinity,
    comesBackAfter: 100,
  },
};
const NAMES = Object.keys(CROWDS);

function repeat(request: string): Buffer {
  return Buffer.from(request.repeat(Math.ceil(PIECE_BYTES / request.length)));
}

function createStatusCrowd(callers: number, path: string): Crowd {
  const piece = repeat(`GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`);
  return { callers, port: 'readiness', head: '', piece, pieces: Infinity };
}

function createIdleCrowd(port: Crowd['port']): Crowd {
  const head = { head: 'GET /', piece: Buffer.from('long/'), pieces: 1 };
  return { callers: 4200, group: 200, port, ...head };
}

beforeAll(() => {
  if (!process.env.TRIAL_PROGRAM) execFileSync('npm', ['run', '--silent', 'bundle'], { cwd: ROOT });
});
afterEach(endTrial);

test.each(NAMES)('a process stays within its memory and serves afterwards: %s', async (name) => {
  const trial = await startDeployed();
  const crowd = sendCrowd(trial, CROWDS[name] as Crowd);
  try {
    await crowd.arrived;
    expect(trial.instance.isRunning()).toBe(true);
    expect(readFootprint(trial).descriptors).toBeLessThan(DESCRIPTORS);
  } finally {
    crowd.leave();
  }
  expect(await isServed(trial)).toBe(true);
  expect(readFootprint(trial).peakMb).toBeLessThan(MEMORY_MB);
});

test.each(NAMES)('ordinary callers are answered beside them: %s', async (name) => {
  const trial = await startDeployed();
  const crowd = sendCrowd(trial, CROWDS[name] as Crowd);
  try {
    await crowd.arrived;
    expect(await isServed(trial)).toBe(true);
  } finally {
    crowd.leave();
  }
});

test.each(NAMES)('the platform is told that a process is ready beside them: %s', async (name) => {
  const trial = await startDeployed();
  const crowd = sendCrowd(trial, CROWDS[name] as Crowd);
  try {
    await crowd.arrived;
    expect(await isReady(trial)).toBe(true);
  } finally {
    crowd.leave();
  }
});
