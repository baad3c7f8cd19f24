import { readdirSync, readFileSync } from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import { createSystemClock, sleep, splitAddress } from '@pomeloroad/core';
import type { Milliseconds } from '@pomeloroad/core';
import { WireHeader } from '@pomeloroad/standins';
import { createRoute, startTrial } from './plannedStopHarness';
import type { Trial } from './plannedStopHarness';

/** The command of the deploy file gives the process this heap. */
const NODE_OPTIONS = ['--max-old-space-size=128'];
const KB = 1024;
/** Time limit of the crowd's requests; longer than a test, so that none of them ends by it. */
const CROWD_TIME_LIMIT_MS: Milliseconds = 120_000;
/** A crowd is there once nothing of it has been taken for this long, or after the longest time. */
const QUIET_MS: Milliseconds = 1000;
const ARRIVAL_MAX_MS: Milliseconds = 6000;
const POLL_INTERVAL_MS: Milliseconds = 50;
const STATUS_OK = 200;

const CONFIGURATION = {
  version: 1,
  routes: [
    createRoute('often', 'idempotent', { attempts: 2 }),
    createRoute('long', 'idempotent', { timeout_ms: CROWD_TIME_LIMIT_MS }),
  ],
  services: [{ name: 'board', engine: { stride: 1 } }],
  tenants: [{ name: 'rich', api_keys: ['rich-key'], prepaid: 1_000_000 }],
  limits: { max_body_bytes: 4_194_304, idle_timeout_ms: 15_000 },
};

/** Headers that callers send with each request. */
export const USUAL_HEADERS = [
  'Host: a.example',
  'Authorization: Token rich-key',
  `${WireHeader.requestId}: c1`,
  `${WireHeader.timeLeft}: ${CROWD_TIME_LIMIT_MS}`,
].join('\r\n');

/** Callers that do not behave: each sends its head, then the piece again and again, and reads nothing. */
export interface Crowd {
  callers: number;
  /** Which address of the process they connect to. */
  port: 'callers' | 'readiness';
  head: string;
  piece: Buffer;
  /** How often each sends the piece. */
  pieces: number;
}

/** A crowd that has connected. */
export interface SentCrowd {
  /** Resolves once the process takes nothing more of it, or has been given time to. */
  arrived: Promise<void>;
  leave(): void;
}

const clock = createSystemClock();

/** Starts an instance as it is deployed, with one endpoint. */
export async function startDeployed(): Promise<Trial> {
  const trial = await startTrial(CONFIGURATION, '', NODE_OPTIONS);
  await trial.addEndpoint('e1', (request, response) => {
    request.resume();
    response.end('answer');
  });
  return trial;
}

/** Connects the callers of the crowd, who begin to send. */
export function sendCrowd(trial: Trial, crowd: Crowd): SentCrowd {
  const address = crowd.port === 'callers' ? trial.address : trial.readinessAddress;
  let movedAt = clock.elapsed();
  const noteMove = () => {
    movedAt = clock.elapsed();
  };
  const sockets = Array.from({ length: crowd.callers }, () => send(address, crowd, noteMove));
  return {
    arrived: waitUntilQuiet(() => movedAt),
    leave: () => sockets.forEach((socket) => socket.destroy()),
  };
}

function send(address: string, crowd: Crowd, noteMove: () => void): net.Socket {
  const socket = net.connect(splitAddress(address));
  let left = crowd.pieces;
  const sendNext = () => {
    if (left === 0 || socket.destroyed) return;
    left -= 1;
    socket.write(crowd.piece, (error) => {
      if (error) return;
      noteMove();
      sendNext();
    });
  };
  socket.pause();
  socket.on('error', () => undefined);
  socket.write(crowd.head);
  sendNext();
  return socket;
}

async function waitUntilQuiet(getMovedAt: () => Milliseconds): Promise<void> {
  const latest = clock.elapsed() + ARRIVAL_MAX_MS;
  while (clock.elapsed() < latest && clock.elapsed() < getMovedAt() + QUIET_MS) {
    await sleep(clock, POLL_INTERVAL_MS);
  }
}

/** Resolves once an ordinary caller, who comes back when refused, is answered; to `false` if the process ends first. */
export function isServed({ instance, address }: Trial): Promise<boolean> {
  return repeatUntilOk(instance.isRunning, () => get(address, '/often/x'));
}

/** Resolves once the platform's question whether the process is ready is answered with yes; to `false` if it ends first. */
export function isReady({ instance, readinessAddress }: Trial): Promise<boolean> {
  return repeatUntilOk(instance.isRunning, () => get(readinessAddress, '/v1/readyz'));
}

async function repeatUntilOk(
  isRunning: () => boolean,
  ask: () => Promise<number | undefined>,
): Promise<boolean> {
  while (isRunning()) {
    if ((await ask()) === STATUS_OK) return true;
    await sleep(clock, POLL_INTERVAL_MS);
  }
  return false;
}

function get(address: string, target: string): Promise<number | undefined> {
  const headers = {
    Host: 'a.example',
    Authorization: 'Token rich-key',
    [WireHeader.requestId]: 'o1',
    [WireHeader.timeLeft]: '6000',
  };
  return new Promise((resolve) => {
    http
      .get(`http://${address}${target}`, { agent: false, headers }, (response) => {
        response.resume();
        response.on('end', () => resolve(response.statusCode));
        response.on('close', () => resolve(undefined));
      })
      .on('error', () => resolve(undefined));
  });
}

/** Memory and descriptors of a process that runs. */
export interface Footprint {
  /** The most that it has had resident. */
  peakMb: number;
  descriptors: number;
}

/** Returns the footprint of the trial's process, which must be running. */
export function readFootprint({ instance }: Trial): Footprint {
  const directory = `/proc/${instance.child.pid}`;
  const status = readFileSync(`${directory}/status`, 'utf8');
  const peakKb = Number(/VmHWM:\s+(\d+) kB/.exec(status)?.[1]);
  return { peakMb: peakKb / KB, descriptors: readdirSync(`${directory}/fd`).length };
}
