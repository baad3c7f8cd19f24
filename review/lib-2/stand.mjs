// Shared parts of the cases of the second review: a small platform around the deployed program. The store is
// the project's stand-in; endpoints, clients and the operator are small ones that follow the users' pages.
import { Buffer } from 'node:buffer';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import fs from 'node:fs';
import http from 'node:http';
import os from 'node:os';
import path from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { clearInterval, setInterval, setTimeout } from 'node:timers';
import { fileURLToPath, URL } from 'node:url';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const HOST = 'fleet.example';
const EXIT = { held: 0, broken: 1, notRun: 2 };
/** Bounds as on the users' sheets. */
const BOUNDS = {
  drain_ms: 2000,
  grace_s: 8,
  contact_ms: 3000,
  config_apply_ms: 2000,
  retry_ratio: 0.2,
  retry_window_s: 10,
  retry_extra: 56,
  settle_ms: 1500,
};
const HEARTBEAT_MS = 400;
const READY_TIMEOUT_MS = 20_000;

const children = new Set();
const closers = [];
const startedAt = performance.now();

/** Milliseconds since the start of the script. */
const now = () => Math.round(performance.now() - startedAt);
const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Repeats a step until it is over. */
function repeat(isOver, step) {
  return new Promise((resolve, reject) => {
    const next = () => {
      if (isOver()) resolve();
      else step().then(next, reject);
    };
    next();
  });
}

/** Lines of the record, in the order of their events. */
const record = [];
function note(event, fields = {}) {
  record.push(JSON.stringify({ at: now(), event, ...fields }));
}

function launch(command, args, options) {
  const child = spawn(command, args, { cwd: ROOT, ...options });
  children.add(child);
  child.once('exit', (code, signal) => {
    children.delete(child);
    child.ended = { code, signal };
  });
  return child;
}

// Each run has loopback addresses of its own.
const subnet = 64 + Math.floor(Math.random() * 128);
const third = Math.floor(Math.random() * 200);
let hosts = 10;
function newHost() {
  hosts += 1;
  return `127.${subnet}.${third}.${hosts}`;
}

/** Starts the project's stand-in of the store; resolves to its address. */
async function startStore() {
  const script = path.join('packages', 'standins', 'dist', 'main.js');
  const child = launch(process.execPath, [script, 'store'], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  return new Promise((resolve, reject) => {
    child.stdout.on('data', (data) => resolve(JSON.parse(String(data).split('\n')[0]).address));
    child.once('exit', () => reject(new Error('the store did not start')));
  });
}

/** Calls a URL; resolves to the status and the text, status 0 if there was no whole answer. */
function call(url, { method = 'GET', body, headers = {}, timeout = 3000, agent } = {}) {
  return new Promise((resolve) => {
    const request = http.request(url, { method, headers, agent, timeout }, (response) => {
      const parts = [];
      response.on('data', (part) => parts.push(part));
      response.on('end', () =>
        resolve({
          status: response.statusCode,
          headers: response.headers,
          text: Buffer.concat(parts).toString(),
        }),
      );
      response.on('error', (error) => resolve({ status: 0, begun: true, error: error.message }));
    });
    request.on('timeout', () => request.destroy(new Error('timeout')));
    request.on('error', (error) => resolve({ status: 0, error: error.message }));
    request.end(body);
  });
}

/** Writes a row of the store. */
async function putRow(store, table, key, value) {
  const text = Buffer.from(JSON.stringify(value)).toString('base64');
  const put = [{ table, part: '', key, value: text }];
  const body = JSON.stringify({ expected_rev: [], put, delete: [] });
  const { status } = await call(`http://${store}/v1/rows-tx`, { method: 'POST', body });
  return status === 200;
}

/** Writes the configuration as the operator does. */
function applyConfiguration(store, { version, routes, services, tenants = [], limits = {} }) {
  return putRow(store, 'op', 'config', {
    version,
    routes: routes.map((route) => ({ host: HOST, priority: 1, ...route })),
    services,
    tenants,
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15_000,
      ...limits,
    },
  });
}

function readRunCommand() {
  const text = fs.readFileSync(path.join(ROOT, 'deploy', 'system.toml'), 'utf8');
  const [program, ...args] = /^run = "(.*)"$/m.exec(text)[1].split(' ');
  return [program === 'node' ? process.execPath : program, ...args];
}

/**
 * Starts an instance by the run command of the deploy file. It keeps its addresses and settings when it is
 * started again.
 */
async function startInstance(store, name, zone, storeAddress = store) {
  const ip = newHost();
  const directory = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
  closers.push(() => fs.rmSync(directory, { recursive: true, force: true }));
  const settings = path.join(directory, 'boot.toml');
  const bounds = Object.entries(BOUNDS).map(([key, value]) => `${key} = ${value}`);
  fs.writeFileSync(
    settings,
    [
      `node_name = "${name}"`,
      'role = "entry"',
      'machine_class = "edge"',
      `ip = "${ip}"`,
      `zone = "${zone}"`,
      'port_range = [7340,7355]',
      '[listen]',
      `front = "${ip}:8227"`,
      `readiness = "${ip}:8220"`,
      '[limits]',
      'memory_mb = 350',
      'max_fds = 4100',
      '[bounds]',
      ...bounds,
      '[platform]',
      `address = "${storeAddress}"`,
      '',
    ].join('\n'),
  );
  const instance = { name, zone, ip, front: `http://${ip}:8227`, log: [], starts: 0 };
  instance.start = () => {
    const [command, ...args] = readRunCommand();
    const env = { PATH: process.env.PATH, HOME: process.env.HOME, POMELOROAD_SETTINGS: settings };
    const child = launch(command, args, { env, stdio: ['ignore', 'pipe', 'pipe'] });
    instance.child = child;
    instance.starts += 1;
    let rest = '';
    child.stdout.on('data', (data) => {
      const lines = (rest + data).split('\n');
      rest = lines.pop();
      instance.log.push(...lines.map((line) => `${now()} ${line}`));
    });
    child.stderr.on('data', (data) => instance.log.push(`${now()} ${data}`));
    note('instance started', { name });
    return child;
  };
  instance.isReady = async () => {
    const { status } = await call(`http://${ip}:8220/v1/readyz`, { timeout: 1000 });
    return status === 200;
  };
  instance.waitReady = async (timeout = READY_TIMEOUT_MS) => {
    const until = now() + timeout;
    let isReady = false;
    await repeat(
      () => isReady,
      async () => {
        if (now() > until) throw new Error(`${name} is not ready`);
        isReady = await instance.isReady();
        if (!isReady) await sleep(50);
      },
    );
  };
  instance.signal = (signal) => {
    note('signal', { name, signal });
    instance.child.kill(signal);
  };
  instance.waitExit = () =>
    new Promise((resolve) => {
      if (instance.child.ended) resolve(instance.child.ended);
      else instance.child.once('exit', (code, signal) => resolve({ code, signal }));
    });
  instance.memory = () => {
    try {
      const text = fs.readFileSync(`/proc/${instance.child.pid}/status`, 'utf8');
      return Number(/VmRSS:\s+(\d+) kB/.exec(text)?.[1] ?? 0) * 1024;
    } catch {
      return 0;
    }
  };
  instance.start();
  return instance;
}

/** Starts an endpoint in this process: an HTTP server that announces itself in the store. */
async function startEndpoint(store, { id, service, zone, slots, version = 'v1', serve, bound }) {
  const sockets = new Set();
  const server = http.createServer({ keepAliveTimeout: 30_000 }, serve);
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.once('close', () => sockets.delete(socket));
  });
  // One that starts again has its address already.
  const [host, port] = (bound ?? `${newHost()}:0`).split(':');
  await new Promise((resolve) => {
    server.listen(Number(port), host, resolve);
  });
  const address = `${host}:${server.address().port}`;
  const endpoint = { id, service, address, state: 'ready', born: Date.now(), isSilent: false };
  let seq = 0;
  endpoint.write = () => {
    seq += 1;
    const { state, born } = endpoint;
    const row = { service, address, zone, slots, version, state, cold_left_ms: 0, seq, born };
    return putRow(store, 'servers', id, row);
  };
  const timer = setInterval(() => {
    if (!endpoint.isSilent) endpoint.write();
  }, HEARTBEAT_MS);
  closers.push(() => {
    clearInterval(timer);
    server.close();
    sockets.forEach((socket) => socket.destroy());
  });
  await endpoint.write();
  return endpoint;
}

/** Head of an endpoint's own answer to the request. */
function signed(request, id, extra = {}) {
  return {
    'X-Attempt-Id': request.headers['x-attempt-id'] ?? '',
    'X-Server-Stamp': `${id}.${request.headers['x-attempt-id']}`,
    ...extra,
  };
}

/** Head with which an endpoint turns a request away. */
function unrun(request, extra = {}) {
  return {
    'X-Attempt-Id': request.headers['x-attempt-id'] ?? '',
    'X-Not-Executed': '1',
    'Content-Length': '0',
    ...extra,
  };
}

/** Ends all processes that were started here, writes the record and exits. */
async function finish(directory, code, verdict) {
  record.push(JSON.stringify({ at: now(), event: 'verdict', code, verdict }));
  fs.writeFileSync(path.join(directory, 'record.txt'), `${record.join('\n')}\n`);
  process.stdout.write(`${verdict}\n`);
  closers.forEach((close) => close());
  children.forEach((child) => child.kill('SIGKILL'));
  await Promise.all([...children].map((child) => once(child, 'exit')));
  process.exit(code);
}

/** Runs a case; what goes wrong in the script itself counts as not run. */
function runCase(directory, play) {
  const limit = setTimeout(() => finish(directory, EXIT.notRun, 'not run: out of time'), 115_000);
  limit.unref();
  play().then(
    ({ code, verdict }) => finish(directory, code, verdict),
    (error) => finish(directory, EXIT.notRun, `not run: ${error.stack}`),
  );
}

export {
  BOUNDS,
  EXIT,
  HOST,
  ROOT,
  applyConfiguration,
  call,
  finish,
  launch,
  newHost,
  note,
  now,
  putRow,
  record,
  repeat,
  runCase,
  signed,
  sleep,
  startEndpoint,
  startInstance,
  startStore,
  unrun,
};
