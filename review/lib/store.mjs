// Stand-in of the platform's metadata store, as PROTOCOL.md describes it. It runs in the process of the
// script that uses it. `copy` keeps the present rows, and `rewind` comes back with them in a new era.
/* eslint-disable no-await-in-loop, no-restricted-syntax -- off in the house rules of TypeScript too */
/* eslint-disable import-x/prefer-default-export -- off in the house rules of TypeScript too */
import { Buffer } from 'node:buffer';
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';
import { URL } from 'node:url';
import http from 'node:http';

const ANSWER_DELAY_MS = 4;
const PAGE_ROWS = 500;

const encodeKey = ({ table, part, key }) => JSON.stringify([table, part, key]);
const byKey = (a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key));

/** Starts the store on a free port of the IP address. */
export async function startStore(ip) {
  let rows = new Map();
  let tombstones = new Map();
  let version = 0;
  let era = 1;
  let isAway = false;
  const startedAt = performance.now();
  const waiters = new Set();
  const sockets = new Set();
  const servers = [];

  const now = () => Math.floor(performance.now() - startedAt);

  function wake() {
    [...waiters].forEach((resolve) => resolve());
    waiters.clear();
  }

  function transact({ expected_rev: checks = [], put = [], delete: removals = [] }) {
    const isMet = checks.every((check) => (rows.get(encodeKey(check))?.ver ?? 0) === check.ver);
    if (!isMet) {
      const found = checks.map((check) => rows.get(encodeKey(check))).filter(Boolean);
      return { status: 412, body: { rows: found, ver: version, now_ms: now() } };
    }
    version += 1;
    put.forEach(({ table, part, key, value }) => {
      rows.set(encodeKey({ table, part, key }), { table, part, key, value, ver: version });
      tombstones.delete(encodeKey({ table, part, key }));
    });
    removals.forEach(({ table, part, key }) => {
      if (!rows.delete(encodeKey({ table, part, key }))) return;
      const tombstone = { table, part, key, deleted: true, ver: version };
      tombstones.set(encodeKey(tombstone), tombstone);
    });
    wake();
    return { status: 200, body: { ver: version, now_ms: now() } };
  }

  function list(query) {
    const table = query.get('table');
    const part = query.get('part') ?? '';
    const from = query.get('from') ?? '';
    const to = query.get('to') ?? '';
    const limit = Math.min(PAGE_ROWS, Number(query.get('limit') ?? PAGE_ROWS));
    const isWanted = (row) =>
      row.table === table && row.part === part && row.key >= from && (to === '' || row.key < to);
    const found = [...rows.values()].filter(isWanted).sort(byKey);
    const page = found.slice(0, limit);
    const body = { rows: page, has_more: found.length > page.length, ver: version, now_ms: now() };
    return { status: 200, body };
  }

  function findChanges(table, after) {
    const all = [...rows.values(), ...tombstones.values()];
    return all
      .filter((row) => row.table === table && row.ver > after)
      .sort((a, b) => a.ver - b.ver);
  }

  async function follow(query) {
    const table = query.get('table');
    const after = Number(query.get('after') ?? 0);
    const until = performance.now() + Math.min(30_000, Number(query.get('wait_ms') ?? 0));
    for (;;) {
      if (after > version) return { status: 410, body: {} };
      const changes = findChanges(table, after);
      const left = until - performance.now();
      if (changes.length > 0 || left <= 0) {
        return { status: 200, body: { rows: changes, ver: version, now_ms: now() } };
      }
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, left);
        waiters.add(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
  }

  async function handle(request, body) {
    const url = new URL(request.url, 'http://store');
    if (url.pathname === '/v1/rows-tx') {
      const call = JSON.parse(body);
      const entries = [...(call.expected_rev ?? []), ...(call.put ?? []), ...(call.delete ?? [])];
      const parts = new Set(entries.map((entry) => entry.part));
      if (parts.size > 1 && call.across !== true) return { status: 400, body: {} };
      // The system may not write to the operator's and the servers' tables.
      const isForbidden = entries.some(({ table }) => table === 'op' || table === 'servers');
      return isForbidden ? { status: 403, body: {} } : transact(call);
    }
    if (url.pathname === '/v1/rows-get') return list(url.searchParams);
    if (url.pathname === '/v1/rows-feed') return follow(url.searchParams);
    return { status: 404, body: {} };
  }

  async function listen() {
    const server = http.createServer(async (request, response) => {
      const chunks = [];
      request.on('error', () => undefined);
      response.on('error', () => undefined);
      for await (const chunk of request) chunks.push(chunk);
      if (isAway) {
        request.socket.destroy();
        return;
      }
      const eraBefore = era;
      const answer = await handle(request, Buffer.concat(chunks).toString());
      await new Promise((resolve) => {
        setTimeout(resolve, ANSWER_DELAY_MS);
      });
      // A connection whose answer is lost delivers nothing further.
      if (isAway || era !== eraBefore) {
        request.socket.destroy();
        return;
      }
      const text = JSON.stringify(answer.body);
      response.writeHead(answer.status, {
        'Content-Type': 'application/json',
        'Content-Length': Buffer.byteLength(text),
        'Store-Era': `${era}`,
      });
      response.end(text);
    });
    server.keepAliveTimeout = 60_000;
    server.on('connection', (socket) => {
      sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => sockets.delete(socket));
    });
    await new Promise((resolve) => {
      server.listen(0, ip, resolve);
    });
    servers.push(server);
    return `${ip}:${server.address().port}`;
  }

  function goAway() {
    isAway = true;
    sockets.forEach((socket) => socket.destroy());
    wake();
  }

  return {
    address: await listen(),
    /** Writes rows of the operator or of servers. */
    write(table, key, value) {
      if (isAway) return;
      const encoded = Buffer.from(JSON.stringify(value)).toString('base64');
      transact({ put: [{ table, part: '', key, value: encoded }] });
    },
    remove(table, key) {
      if (!isAway) transact({ delete: [{ table, part: '', key }] });
    },
    /** Returns the rows of a table with decoded values. */
    read(table) {
      return [...rows.values()]
        .filter((row) => row.table === table)
        .map(({ part, key, value, ver }) => ({
          part,
          key,
          ver,
          value: JSON.parse(Buffer.from(value, 'base64').toString()),
        }));
    },
    /** Keeps a copy of the present rows; returns a function that comes back with it in a new era. */
    copy() {
      const saved = { rows: new Map(rows), tombstones: new Map(tombstones), version };
      return () => {
        rows = new Map(saved.rows);
        tombstones = new Map(saved.tombstones);
        version = saved.version;
        era += 1;
        isAway = false;
        wake();
      };
    },
    goAway,
    stop() {
      goAway();
      servers.forEach((server) => server.close());
    },
  };
}
