import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { createSystemClock, listen, sleep, splitAddress } from '@pomeloroad/core';
import type { Milliseconds } from '@pomeloroad/core';
import { renderSettings, startStore, WireHeader } from '@pomeloroad/standins';
import { createFaultProxy } from '../src/faultProxy';
import type { FaultProxy } from '../src/faultProxy';
import { BUNDLED_PROGRAM } from '../src/paths';
import { createLauncher } from '../src/programs';
import type { Launcher, Program } from '../src/programs';

const CALLERS_PORT = 8227;
const READINESS_PORT = 8220;
const FIRST_SUBNET = 192;
const SUBNETS = 32;
const STORE_PAGE_ROWS = 500;
const POLL_INTERVAL_MS: Milliseconds = 10;
/** Time within which an instance knows of an endpoint that was announced. */
const ANNOUNCEMENT_MS: Milliseconds = 500;
const REPORT_PATH = '/v1/report';
const TIME_LEFT_MS: Milliseconds = 6000;
/** Program of the instances; the variable names one of another build, to compare with. */
const TRIAL_PROGRAM = process.env.TRIAL_PROGRAM ?? BUNDLED_PROGRAM;

/** The configuration of a trial, unless another one is given. */
export const CONFIGURATION = {
  version: 1,
  routes: [
    createRoute('once', 'non_idempotent'),
    createRoute('brief', 'non_idempotent', { timeout_ms: 400 }),
    createRoute('often', 'idempotent', { attempts: 2 }),
    createRoute('single', 'streaming'),
    createRoute('stream', 'streaming', { resumable: true, attempts: 2 }),
  ],
  services: [{ name: 'board', engine: { stride: 1 } }],
  tenants: [{ name: 'rich', api_keys: ['rich-key'], prepaid: 1_000_000 }],
  limits: { max_body_bytes: 100_000, idle_timeout_ms: 15_000 },
};

/** Returns a route of the configuration under the name's prefix. */
export function createRoute(name: string, kind: string, more: object = {}): object {
  const host = 'a.example';
  const times = { timeout_ms: 6000, slo_ms: 500, priority: 1 };
  const route = { name, host, prefix: `/${name}/`, route_kind: kind, service: 'board' };
  return { ...route, ...times, attempts: 1, ...more };
}

/** An instance as a process, with the store and its endpoints in the test's own. */
export interface Trial {
  instance: Program;
  /** `ip:port` for callers. */
  address: string;
  readinessAddress: string;
  settingsPath: string;
  /** Lines of the instance's log. */
  log: Record<string, unknown>[];
  /** Paths of the requests that the endpoints have received. */
  received: string[];
  proxy: FaultProxy;
  put(table: string, key: string, value: unknown): Promise<void>;
  addEndpoint(id: string, handler: http.RequestListener): Promise<void>;
  hasLogged(text: string): boolean;
}

const clock = createSystemClock();
let closers: (() => void)[] = [];
let launcher: Launcher | undefined;
let directory = '';

/** Starts an instance; resolves once it is ready or has ended. Its process runs the prelude first. */
export async function startTrial(
  configuration: object = CONFIGURATION,
  prelude = '',
  nodeOptions: string[] = [],
): Promise<Trial> {
  directory = mkdtempSync(path.join(tmpdir(), 'pomeloroad-stops-'));
  const store = await startStore({
    clock,
    address: '127.0.0.1:0',
    pageRows: STORE_PAGE_ROWS,
    seed: 1,
  });
  const proxy = createFaultProxy(clock, () => 'outside');
  const link = await proxy.addLink('store');
  proxy.setTarget(link.id, store.address);
  const settingsPath = path.join(directory, 'instance.toml');
  const ip = `127.${FIRST_SUBNET + (process.pid % SUBNETS)}.1.1`;
  const address = `${ip}:${CALLERS_PORT}`;
  const readinessAddress = `${ip}:${READINESS_PORT}`;
  const own = { instance: 'one', dataCentre: 'kent', ip, callersAddress: address };
  writeFileSync(
    settingsPath,
    renderSettings({ ...own, readinessAddress, storeAddress: link.address }),
  );
  const log: Record<string, unknown>[] = [];
  const received: string[] = [];
  const put = async (table: string, key: string, value: unknown) => {
    const row = { table, partition: '', key, value: JSON.stringify(value) };
    await store.transact({ checks: [], puts: [row], removals: [] });
  };
  await put('op', 'config', configuration);
  launcher = createLauncher((_name, line) => log.push(parse(line)));
  closers.push(store.stop, proxy.close);
  const program = path.join(directory, 'program.js');
  writeFileSync(program, `${prelude}\nrequire(${JSON.stringify(TRIAL_PROGRAM)});`);
  const args = ['--settings', settingsPath];
  const instance = await launcher.start('one', program, args, nodeOptions);
  await waitUntil(async () => !instance.isRunning() || (await getReady(readinessAddress)) === 200);

  async function addEndpoint(id: string, handler: http.RequestListener): Promise<void> {
    const server = http.createServer((request, response) => {
      if (request.url !== REPORT_PATH) received.push(request.url ?? '');
      response.setHeader(WireHeader.requestId, `${request.headers[WireHeader.requestId]}`);
      response.setHeader(WireHeader.signature, 'p');
      handler(request, response);
    });
    const endpointAddress = await listen(server, '127.0.0.1:0');
    closers.push(() => {
      server.close();
      server.closeAllConnections();
    });
    const row = { service: 'board', address: endpointAddress, zone: 'kent', state: 'ready' };
    await put('servers', id, { ...row, slots: 64, seq: 1, version: 'v1' });
    await sleep(clock, ANNOUNCEMENT_MS);
  }
  const hasLogged = (text: string) => log.some((line) => line.text === text);
  return {
    ...{ instance, address, readinessAddress, settingsPath, log, received, proxy },
    ...{ put, addEndpoint, hasLogged },
  };
}

/** Ends the trial's processes and removes its files. */
export async function endTrial(): Promise<void> {
  await launcher?.close();
  closers.forEach((close) => close());
  closers = [];
  rmSync(directory, { recursive: true, force: true });
}

/** Resolves once the condition holds. */
export async function waitUntil(holds: () => boolean | Promise<boolean>): Promise<void> {
  while (!(await holds())) await sleep(clock, POLL_INTERVAL_MS);
}

function parse(line: string): Record<string, unknown> {
  try {
    return JSON.parse(line) as Record<string, unknown>;
  } catch {
    return { text: line };
  }
}

function getReady(address: string): Promise<number | undefined> {
  return new Promise((resolve) => {
    http
      .get(`http://${address}/v1/readyz`, { agent: false }, (response) => {
        response.resume();
        resolve(response.statusCode);
      })
      .on('error', () => resolve(undefined));
  });
}

/** What a raw connection has brought, and how it ended. */
export interface RawConnection {
  socket: net.Socket;
  getText(): string;
  /** How the connection ended; `open` until then. */
  getEnd(): 'open' | 'closed' | 'reset';
  closed: Promise<void>;
}

/** Opens a connection that sends the text as it is. */
export function openRaw(address: string, text: string): RawConnection {
  const socket = net.connect({ ...splitAddress(address), allowHalfOpen: true });
  let end: 'open' | 'closed' | 'reset' = 'open';
  const parts: Buffer[] = [];
  socket.on('data', (data: Buffer) => parts.push(data));
  socket.on('end', () => {
    end = 'closed';
    socket.end();
  });
  socket.on('error', () => {
    end = 'reset';
  });
  const closed = new Promise<void>((resolve) => {
    socket.on('close', () => resolve());
  });
  socket.write(text);
  return {
    socket,
    getText: () => Buffer.concat(parts).toString('latin1'),
    getEnd: () => end,
    closed,
  };
}

/** Returns a request without a body, on a connection that is kept. */
export function renderRequest(
  target: string,
  id = 'r1',
  headers: string[] = [],
  timeLeft: Milliseconds = TIME_LEFT_MS,
): string {
  const head = [
    `GET ${target} HTTP/1.1`,
    'Host: a.example',
    'Authorization: Token rich-key',
    `${WireHeader.requestId}: ${id}`,
    `${WireHeader.timeLeft}: ${timeLeft}`,
    ...headers,
  ];
  return `${head.join('\r\n')}\r\n\r\n`;
}
