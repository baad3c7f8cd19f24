import http from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  createCondition,
  createRandom,
  listen,
  readBody,
  runPeriodically,
  withTimeout,
  writeJson,
} from '@pomeloroad/core';
import type { Clock, Milliseconds } from '@pomeloroad/core';
import { createMemoryRowStore } from '@pomeloroad/storage';
import type { RowTransaction } from '@pomeloroad/storage';
import { createFaultInjector } from './faults';
import { ENDPOINT_TABLE } from './platformWire';
import { sendAnswer } from './storeAnswer';
import type { StoreFault } from './storeAnswer';
import { decodeTransaction, encodeRow } from './storeWire';
import type { WireTransaction } from './storeWire';

/** A change of the store's rows that is made before a call is served. */
export type Change = () => Promise<unknown>;

/** A call of the store and the fault that it meets. */
interface StoreCall {
  request: IncomingMessage;
  response: ServerResponse;
  url: URL;
  body: Buffer;
  fault: StoreFault | undefined;
}

/** Settings of the stand-in of the store. */
export interface StoreOptions {
  clock: Clock;
  /** Where to listen, as `ip:port`. */
  address: string;
  /** Maximum number of rows in one page of a reading. */
  pageRows: number;
  /** Time after which the entry of a silent endpoint is removed; `undefined` keeps all entries. */
  entryExpiry?: Milliseconds;
  /** Seed of the answers that are lost. */
  seed: number;
  /** The store's own clock, which its answers tell; `clock` if it is left out. */
  getNow?: () => Milliseconds;
}

const EXPIRY_CHECK_INTERVAL_MS: Milliseconds = 100;

/**
 * Starts a stand-in of the platform's store that speaks its published protocol. Each call consumes
 * the first entry of `faults`, if there is one; `PUT /standin/faults` sets faults that last,
 * `PUT /standin/copy` keeps a copy and `PUT /standin/rewind` returns to it.
 */
export async function startStore(options: StoreOptions) {
  const { clock, address, pageRows, entryExpiry, seed } = options;
  const getNow = options.getNow ?? (() => Math.floor(clock.elapsed()));
  const memory = createMemoryRowStore(getNow);
  const changed = createCondition();
  const injector = createFaultInjector(createRandom(seed));
  const entriesSeenAt = new Map<string, Milliseconds>();
  let rewind = memory.copy();
  const faults: (StoreFault | Change)[] = [];
  const calls: string[] = [];
  const server = http.createServer(async (request, response) => {
    response.setHeader('Store-Era', memory.getEra());
    if (!(await injector.shouldServe(request, response))) return;
    const body = await readBody(request).catch(() => undefined);
    if (!body) return;
    calls.push(`${request.method} ${request.url}`);
    const fault = faults.shift();
    if (typeof fault === 'function') await fault();
    if (fault === 'busy') writeJson(response, 503, {});
    else if (fault === 'forgotten') writeJson(response, 410, {});
    else if (fault !== 'silent') {
      const url = new URL(request.url ?? '/', 'http://store');
      const met = typeof fault === 'function' ? undefined : fault;
      await serve({ request, response, url, body, fault: met });
    }
  });

  async function serve(call: StoreCall): Promise<void> {
    const { pathname } = call.url;
    if (pathname.startsWith('/standin/')) serveCopy(call);
    else if (pathname === '/v1/rows-tx') await serveTransaction(call);
    else if (pathname === '/v1/rows-get') await serveList(call);
    else await serveChanges(call);
  }

  function serveCopy({ url, response }: StoreCall): void {
    if (url.pathname === '/standin/copy') rewind = memory.copy();
    else rewind();
    changed.notify();
    writeJson(response, 200, {});
  }

  async function serveTransaction({ request, response, body, fault }: StoreCall): Promise<void> {
    const answer = await transact(JSON.parse(body.toString()) as WireTransaction);
    if (fault === 'lost' || injector.shouldDropAnswer()) request.socket.destroy();
    else sendAnswer(response, answer.status, answer.body, fault);
  }

  async function serveList({ url, response, fault }: StoreCall): Promise<void> {
    const from = getParameter(url, 'from');
    const view = await memory.list(getParameter(url, 'table'), getParameter(url, 'part'));
    const { rows, version } = view.unwrap();
    const sorted = rows.filter((row) => row.key >= from).sort((a, b) => (a.key < b.key ? -1 : 1));
    const page = sorted.slice(0, pageRows).map(encodeRow);
    const hasMore = sorted.length > pageRows;
    const answer = { rows: page, has_more: hasMore, ver: version, now_ms: getNow() };
    sendAnswer(response, 200, answer, fault);
  }

  async function serveChanges({ url, response, fault }: StoreCall): Promise<void> {
    const after = Number(getParameter(url, 'after'));
    const wait = Number(getParameter(url, 'wait_ms'));
    const view = await followRows(getParameter(url, 'table'), after, wait);
    if (view.err) {
      sendAnswer(response, 410, {}, fault);
      return;
    }
    const rows = view.val.changes.map(encodeRow);
    sendAnswer(response, 200, { rows, ver: view.val.version, now_ms: getNow() }, fault);
  }

  // Waits for the first change after the version, at most for the given time.
  async function followRows(table: string, after: number, wait: Milliseconds) {
    const endsAt = clock.elapsed() + wait;
    for (;;) {
      const view = await memory.follow(table, after, 0);
      const timeLeft = endsAt - clock.elapsed();
      const isStalled = injector.isFeedStalled();
      if (view.err || (view.val.changes.length > 0 && !isStalled) || timeLeft <= 0) {
        return isStalled ? view.map((found) => ({ ...found, changes: [], version: after })) : view;
      }
      await withTimeout(clock, timeLeft, changed.wait(), undefined);
    }
  }

  async function applyTransaction(transaction: RowTransaction) {
    const outcome = await memory.transact(transaction);
    transaction.puts
      .filter((put) => put.table === ENDPOINT_TABLE)
      .forEach((put) => entriesSeenAt.set(put.key, clock.elapsed()));
    changed.notify();
    return outcome;
  }

  // Entries lapse also while the store does not answer.
  async function removeSilentEntries(expiry: Milliseconds): Promise<void> {
    const oldest = clock.elapsed() - expiry;
    const silent = [...entriesSeenAt].filter(([, seenAt]) => seenAt < oldest);
    if (silent.length === 0) return;
    silent.forEach(([key]) => entriesSeenAt.delete(key));
    const removals = silent.map(([key]) => ({ table: ENDPOINT_TABLE, partition: '', key }));
    await applyTransaction({ checks: [], puts: [], removals });
  }

  async function transact(wire: WireTransaction) {
    const parts = new Set(
      [...wire.expected_rev, ...wire.put, ...wire.delete].map((row) => row.part),
    );
    if (parts.size > 1 && wire.across !== true) return { status: 400, body: {} };
    const outcome = await applyTransaction(decodeTransaction(wire));
    if (outcome.ok) return { status: 200, body: { ver: outcome.val.revision, now_ms: getNow() } };
    const rows = outcome.val.kind === 'conflict' ? outcome.val.rows.map(encodeRow) : [];
    return { status: 412, body: { rows } };
  }

  const boundAddress = await listen(server, address);
  const stopped = new AbortController();
  if (entryExpiry !== undefined) {
    const removeSilent = () => removeSilentEntries(entryExpiry);
    runPeriodically(clock, () => EXPIRY_CHECK_INTERVAL_MS, stopped.signal, removeSilent);
  }
  const stop = () => {
    stopped.abort();
    server.closeAllConnections();
    server.close();
  };
  return {
    address: boundAddress,
    faults,
    calls,
    copy: memory.copy,
    transact: applyTransaction,
    stop,
  };
}

function getParameter(url: URL, name: string): string {
  return url.searchParams.get(name) ?? '';
}
