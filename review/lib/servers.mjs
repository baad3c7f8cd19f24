// Stand-ins of the servers behind the system, as PROTOCOL.md describes them.
/* eslint-disable no-await-in-loop, no-restricted-syntax -- off in the house rules of TypeScript too */
/* eslint-disable import-x/extensions -- Node.js finds modules by their whole names */
import { Buffer } from 'node:buffer';
import { clearInterval, setInterval } from 'node:timers';
import { once } from 'node:events';
import { fork } from 'node:child_process';
import http from 'node:http';
import { randomBytes } from 'node:crypto';
import { fileURLToPath, URL } from 'node:url';
import { sleep } from './time.mjs';

const HEARTBEAT_MS = 1200;

/**
 * Starts a sound server on a free port of the IP address and registers it in the store. `work` answers a
 * request that runs; `record` takes what the server saw.
 */
export async function startServer({
  ip,
  store,
  service,
  zone,
  slots,
  version = 'v1',
  record,
  work,
}) {
  const id = `i-${randomBytes(5).toString('hex')}`;
  const born = Date.now();
  let active = 0;
  let sequence = 1;
  const open = new Set();
  const runs = new Map();

  async function answer(request, response) {
    const attempt = request.headers['x-attempt-id'];
    const expected = request.headers['x-expect-instance'];
    if (request.url === '/healthz') {
      response.writeHead(200, { 'X-Instance-Id': id, 'Content-Length': 0 }).end();
      return;
    }
    if (request.url === '/v1/report') {
      const report = {
        ...{
          stage: 'both',
          models: [{ name: 'm', version: 1, adapters: [] }],
          busy: false,
          seq: 1,
        },
        ...{ queued: 0, active, kv_used: 0, kv_total: 695_334, handles: 0, born },
        runs: [...runs.values()],
      };
      const text = JSON.stringify(report);
      const headers = { 'Content-Type': 'application/json', 'Content-Length': text.length };
      response.writeHead(200, headers).end(text);
      return;
    }
    if (expected !== undefined && expected !== id) {
      request.resume();
      response.writeHead(421, { 'X-Instance-Id': id, 'Content-Length': 0 }).end();
      return;
    }
    record({ what: 'reached', id: attempt, server: id, request });
    const headers = { 'X-Attempt-Id': attempt, 'X-Server-Stamp': randomBytes(8).toString('hex') };
    if (active >= slots) {
      request.resume();
      response.writeHead(503, { ...headers, 'X-Not-Executed': '1', 'Content-Length': 0 }).end();
      return;
    }
    active += 1;
    const entry = [attempt, 0, 0, 0];
    runs.set(attempt, entry);
    const noteEvent = (number) => entry.splice(2, 1, number);
    const context = { attempt, headers, id, noteEvent };
    await work(request, response, context).finally(() => {
      active -= 1;
      runs.delete(attempt);
    });
  }

  const server = http.createServer((request, response) => {
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    answer(request, response).catch(() => response.destroy());
  });
  server.keepAliveTimeout = 60_000;
  server.on('connection', (socket) => {
    open.add(socket);
    socket.on('close', () => open.delete(socket));
  });
  await new Promise((resolve) => {
    server.listen(0, ip, resolve);
  });
  const address = `${ip}:${server.address().port}`;

  let state = 'ready';

  function announce(next = state) {
    state = next;
    store.write('servers', id, {
      ...{ service, address, zone, version, slots, state, cold_left_ms: 0, stage: 'both' },
      ...{ models: [{ name: 'm', version: 1, adapters: [] }], seq: sequence, born },
    });
    sequence += 1;
  }

  announce();
  const timer = setInterval(() => announce(), HEARTBEAT_MS);
  return {
    id,
    address,
    reportDraining: () => announce('draining'),
    stop() {
      clearInterval(timer);
      open.forEach((socket) => socket.destroy());
      server.close();
    },
  };
}

/** Streams as many events as the request may have, `stride` tokens each. */
export function createStreamWork({
  stride,
  pauseMs,
  firstMs = pauseMs,
  isUnframed = false,
  record,
}) {
  return async (request, response, { attempt, headers, id, noteEvent }) => {
    request.resume();
    await once(request, 'end');
    const [input, output] = `${request.headers['x-token-usage']}`.split(',').map(Number);
    const count = Math.floor(output / stride);
    const after = Number(request.headers['last-event-id'] ?? 0);
    record({ what: 'runs', id: attempt, server: id, input, after });
    // An answer with neither a length nor chunks ends with its connection.
    if (isUnframed)
      Object.assign(response, { useChunkedEncodingByDefault: false, shouldKeepAlive: false });
    response.writeHead(200, { ...headers, 'Content-Type': 'text/event-stream' });
    for (let number = after + 1; number <= count && !response.destroyed; number += 1) {
      await sleep(number === after + 1 ? firstMs : pauseMs);
      response.write(`id: ${number}\ndata: ${attempt} ${number} of ${count}\n\n`);
      noteEvent(number);
    }
    response.end();
  };
}

/** Answers a plain request after some time, with the given number of bytes. */
export function createPlainWork({ workMs, bytes, record }) {
  return async (request, response, { attempt, headers, id }) => {
    let size = 0;
    for await (const chunk of request) size += chunk.length;
    record({ what: 'runs', id: attempt, server: id, size });
    await sleep(workMs);
    const body = Buffer.alloc(bytes, attempt);
    const framing = { 'Content-Type': 'text/plain', 'Content-Length': body.length };
    response.writeHead(200, { ...headers, ...framing }).end(body);
  };
}

/** Starts a stream server as a process of its own, whose streams have neither a length nor chunks. */
export async function startStreamServer({ store, record, ...place }) {
  const program = fileURLToPath(new URL('streamServer.mjs', import.meta.url));
  const child = fork(program, [JSON.stringify(place)], { stdio: 'inherit' });
  const id = await new Promise((resolve) => {
    child.on('message', (message) => {
      if (message.row) store.write(...message.row);
      if (message.entry) record(message.entry);
      if (message.id) resolve(message.id);
    });
  });
  return {
    id,
    reportDraining: () => child.send('drain'),
    kill: () => child.kill('SIGKILL'),
  };
}
