import { Err, Ok } from 'ts-results';
import { sleep } from '@pomeloroad/core';
import type { Clock, ManualClock, Milliseconds, Tokens } from '@pomeloroad/core';
import { GRANT_TABLE } from '@pomeloroad/budgets';
import type { MemoryRowStore, RowStore, RowTransaction } from '@pomeloroad/storage';
import type {
  Attempt,
  EndpointProtocol,
  EndpointRecord,
  EventStream,
  ForwardConfiguration,
  ForwardRequest,
  ForwardService,
  Reply,
} from '../src';

/** The client account whose budget is watched. */
export const ACCOUNT = 'haldane';
/** Tokens of the input of each request. */
export const INPUT: Tokens = 10;
/** Most tokens of the output of each request. */
export const OUTPUT: Tokens = 60;
const EVENT_INTERVAL_MS: Milliseconds = 40;
/** Time limit of each request. */
export const REQUEST_TIMEOUT_MS: Milliseconds = 4000;

/** How the next transaction on grants ends; as in the tests of the escrow. */
export type TransactionFate = 'refused' | 'lost' | 'late';

/** What a request is answered with: a stream of so many events, the first source of which may break off. */
export interface Work {
  events: number;
  /** Events after which the first endpoint breaks off; none if that is beyond the end. */
  breaksAfter: number;
  /** Tokens in each of its events, as the service was configured when the request came. */
  stride?: Tokens;
}

/** Creates a configuration with one route, to the first of the services. */
export function createConfiguration(
  version: number,
  services: ForwardService[],
  prepaid: Tokens,
): ForwardConfiguration {
  return {
    version,
    routes: [
      {
        name: 'stream',
        host: 'a.example',
        prefix: '/',
        kind: 'streaming',
        isResumable: true,
        attempts: 3,
        timeout: REQUEST_TIMEOUT_MS,
        objective: 300,
        priority: 1,
        isPublic: false,
        targets: services.slice(0, 1).map(({ name }) => ({ service: name, weight: 1 })),
      },
    ],
    services,
    accounts: [{ name: ACCOUNT, keys: ['key'], priority: undefined, prepaid }],
    limits: { bodyBytes: 1000, headerTimeout: 3000, idleTimeout: 15_000 },
  };
}

/** Creates the entry of an endpoint. */
export function createEndpoint(service: string, index: number): EndpointRecord {
  return {
    id: `${service}-${index}`,
    born: 1,
    sequence: 1,
    service,
    address: `10.0.0.${index}:1`,
    dataCentre: 'kent',
    isLeaving: false,
    concurrency: 64,
  };
}

/** Creates a request that arrives now. */
export function createRequest(
  clock: Clock,
  fields: Pick<ForwardRequest<Work>, 'id' | 'route' | 'service' | 'payload'>,
): ForwardRequest<Work> {
  return {
    ...fields,
    account: ACCOUNT,
    priority: 1,
    deadline: clock.elapsed() + REQUEST_TIMEOUT_MS,
    startedAt: clock.elapsed(),
    configurationVersion: 1,
    cost: { input: INPUT, output: OUTPUT },
    prefix: [],
    fingerprint: fields.id,
    resumeAfter: undefined,
  };
}

/** Creates the clock of one process, which stands still once the process is killed. */
export function createProcessClock(clock: ManualClock, isAlive: () => boolean): Clock {
  const startedAt = clock.elapsed();
  return {
    now: clock.now,
    elapsed: () => clock.elapsed() - startedAt,
    idle: clock.idle,
    after: (delay, callback) => clock.after(delay, () => isAlive() && callback()),
  };
}

/** Creates endpoints that send the events of a request's work one by one; a resumed stream goes on to the end. */
export function createProtocol(
  clock: Clock,
  getStride: (attempt: Attempt<Work>) => Tokens,
): EndpointProtocol<Work> {
  return {
    async send(attempt) {
      const head = { status: 200, framing: 'chunked' as const, headers: [] };
      const reply: Reply = {
        kind: 'stream',
        head,
        stream: openStream(clock, attempt, getStride(attempt)),
      };
      return Ok(reply);
    },
    probe: async () => 'accepting',
    identify: async () => 'same',
    listIdle: () => [],
    findRun: async () => ({ kind: 'untold' }),
    findRoom: async () => 'untold',
  };
}

function openStream(
  clock: Clock,
  { request, resumePoint: { after, repeated }, signal }: Attempt<Work>,
  stride: Tokens,
): EventStream {
  const { events, breaksAfter } = request.payload;
  const isFirst = repeated === undefined;
  let sent = Number(repeated ?? after ?? 0);
  return {
    async next() {
      await sleep(clock, EVENT_INTERVAL_MS, signal);
      if (signal.aborted) return { kind: 'broken', message: 'closed' };
      if (isFirst && sent >= breaksAfter) return { kind: 'broken', message: 'crashed' };
      if (sent >= events) {
        const connection = Promise.resolve('kept' as const);
        return { kind: 'complete', framing: 'chunked', at: clock.elapsed(), connection };
      }
      sent += 1;
      return { kind: 'events', data: Buffer.from(`${stride}\n`), count: 1, lastId: `${sent}` };
    },
    hasRepeated: () => sent >= events,
    close: async () => undefined,
  };
}

/** Creates a store that loses, refuses or delays transactions on grants, and paths to it that are cut. */
export function createFaultyRows(clock: Clock, memory: MemoryRowStore) {
  const fates: TransactionFate[] = [];
  const cut = new Set<string>();
  let late: RowTransaction[] = [];
  const never = new Promise<never>(() => {});

  function createRows(name: string, isAlive: () => boolean): RowStore {
    const isReached = () => !cut.has(name);
    return {
      async transact(transaction) {
        if (!isAlive()) return never;
        const isGrant = transaction.puts.some(({ table }) => table === GRANT_TABLE);
        const fate = isReached() ? isGrant && fates.shift() : 'late';
        if (fate === 'refused') return Err({ kind: 'unavailable', message: 'refused' });
        if (!fate) return memory.transact(transaction);
        if (fate === 'lost') await memory.transact(transaction);
        else if (isGrant) late.push(transaction);
        await sleep(clock, 1000);
        return isAlive() ? Err({ kind: 'unknown', message: 'no answer' }) : never;
      },
      async list(table, partition) {
        if (!isAlive()) return never;
        if (!isReached()) return Err({ kind: 'unavailable', message: 'cut off' });
        return memory.list(table, partition);
      },
      async follow(table, after, wait) {
        if (!isAlive()) return never;
        if (!isReached()) return Err({ kind: 'unavailable', message: 'cut off' });
        return memory.follow(table, after, wait);
      },
    };
  }

  return {
    createRows,
    plan: (fate: TransactionFate) => fates.push(fate),
    setCut: (name: string, isCut: boolean) => (isCut ? cut.add(name) : cut.delete(name)),
    async deliverLate(): Promise<void> {
      const delivered = late;
      late = [];
      for (const transaction of delivered) await memory.transact(transaction);
    },
    /** Ends all faults. */
    repair(): void {
      cut.clear();
      fates.splice(0);
    },
  };
}
