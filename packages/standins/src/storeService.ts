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
import type { RowChange, RowKey, RowTransaction } from '@pomeloroad/storage';
import { createFaultInjector } from './faults';
import { ENDPOINT_TABLE } from './platformWire';

/** Key of a row in the store's protocol. */
interface WireKey {
  table: string;
  part: string;
  key: string;
}

/** Body of a transaction in the store's protocol. */
interface WireTransaction {
  expected_rev: (WireKey & { ver: number })[];
  put: (WireKey & { value: string })[];
  delete: WireKey[];
  across?: boolean;
}

/**
 * A fault that one call meets. `lost` applies a transaction but drops its answer, `slow` sends the
 * answer in pieces over more time than the head of an answer may take, `stalled` stops halfway, `without
 * has_more` and `without rows` leave that member out of the answer.
 */
export type StoreFault =
  | 'busy'
  | 'silent'
  | 'forgotten'
  | 'lost'
  | 'slow'
  | 'stalled'
  | 'without has_more'
  | 'without rows';

/** A change of the store's rows that is made before a call is served. */
export type Change = () => Promise<unknown>;

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
const SLOW_PIECES = 16;
const SLOW_PIECE_DELAY_MS: Milliseconds = 100;

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
      await serve(request, response, body, typeof fault === 'function' ? undefined : fault);
    }
  });

  async function serve(
    request: IncomingMessage,
    response: ServerResponse,
    body: Buffer,
    fault: StoreFault | undefined,
  ): Promise<void> {
    const answerWith = (status: number, answer: object) => {
      if (fault === 'slow') writeInPieces(response, answer, SLOW_PIECES);
      else if (fault === 'stalled') writeInPieces(response, answer, SLOW_PIECES / 2);
      else writeJson(response, status, omitMember(answer, fault));
    };
    const url = new URL(request.url ?? '/', 'http://store');
    const get = (name: string) => url.searchParams.get(name) ?? '';
    if (url.pathname.startsWith('/standin/')) {
      if (url.pathname === '/standin/copy') rewind = memory.copy();
      else rewind();
      changed.notify();
      writeJson(response, 200, {});
    } else if (url.pathname === '/v1/rows-tx') {
      const answer = await transact(JSON.parse(body.toString()) as WireTransaction);
      if (fault === 'lost' || injector.shouldDropAnswer()) request.socket.destroy();
      else answerWith(answer.status, answer.body);
    } else if (url.pathname === '/v1/rows-get') {
      const view = (await memory.list(get('table'), get('part'))).unwrap();
      const sorted = view.rows
        .filter((row) => row.key >= get('from'))
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      answerWith(200, {
        rows: sorted.slice(0, pageRows).map(encode),
        has_more: sorted.length > pageRows,
        ver: view.version,
        now_ms: getNow(),
      });
    } else {
      const view = await followRows(get('table'), Number(get('after')), Number(get('wait_ms')));
      if (view.err) answerWith(410, {});
      else {
        const rows = view.val.changes.map(encode);
        answerWith(200, { rows, ver: view.val.version, now_ms: getNow() });
      }
    }
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
    const outcome = await applyTransaction({
      checks: wire.expected_rev.map((row) => ({ ...decode(row), version: row.ver })),
      puts: wire.put.map((row) => ({
        ...decode(row),
        value: Buffer.from(row.value, 'base64').toString(),
      })),
      removals: wire.delete.map(decode),
    });
    if (outcome.ok) return { status: 200, body: { ver: outcome.val.revision, now_ms: getNow() } };
    const rows = outcome.val.kind === 'conflict' ? outcome.val.rows.map(encode) : [];
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

// Sends the given number of the body's pieces, one at a time; the answer ends after the last one.
function writeInPieces(response: ServerResponse, answer: object, pieces: number): void {
  const text = Buffer.from(JSON.stringify(answer));
  const size = Math.ceil(text.length / SLOW_PIECES);
  response.writeHead(200, { 'content-type': 'application/json', 'content-length': text.length });
  let sent = 0;
  const timer = setInterval(() => {
    response.write(text.subarray(sent * size, (sent + 1) * size));
    sent += 1;
    if (sent >= pieces) clearInterval(timer);
    if (sent >= SLOW_PIECES) response.end();
  }, SLOW_PIECE_DELAY_MS);
  response.on('close', () => clearInterval(timer));
}

function omitMember(answer: object, fault: StoreFault | undefined): object {
  if (fault === 'without has_more') return { ...answer, has_more: undefined };
  return fault === 'without rows' ? { ...answer, rows: undefined } : answer;
}

function decode({ table, part, key }: WireKey): RowKey {
  return { table, partition: part, key };
}

function encode({ table, partition, key, version, value }: RowChange): object {
  const row = { table, part: partition, key, ver: version };
  if (value === undefined) return { ...row, deleted: true };
  return { ...row, value: Buffer.from(value).toString('base64') };
}
