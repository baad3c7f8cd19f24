import { Err, Ok } from 'ts-results';
import { createManualClock, createRandom, createSilentLog } from '@pomeloroad/core';
import type { Milliseconds, Outcome } from '@pomeloroad/core';
import { createMemoryRowStore } from '@pomeloroad/storage';
import { startForwardInstance } from '../src';
import type {
  Attempt,
  Caller,
  EndpointRecord,
  ForwardRequest,
  Reply,
  Route,
  SendError,
} from '../src';

type Sent = Outcome<Reply, SendError>;

const ROUTE: Route = {
  name: 'chat',
  host: 'a.example',
  prefix: '/',
  kind: 'streaming',
  isResumable: true,
  attempts: 2,
  timeout: 9000,
  objective: 200,
  priority: 0,
  isPublic: true,
  targets: [{ service: 'llm', weight: 1 }],
};
const HEAD = { status: 200, framing: 'length' as const, headers: [] };
const ANSWER: Sent = Ok({
  kind: 'whole',
  head: HEAD,
  body: Buffer.from('whole'),
  end: { framing: 'length', at: 0, connection: Promise.resolve('kept') },
});
const DOUBTED: Sent = Ok({
  kind: 'whole',
  head: { ...HEAD, framing: 'chunked' },
  body: Buffer.from('whole'),
  end: { framing: 'chunked', at: 0, connection: Promise.resolve('kept') },
});
const BROKEN: Sent = Err({ kind: 'broken', message: 'read ECONNRESET' });
const BOTH = ['1', '2'];
/** When the endpoints stop, and when the first of them resets the connection that it has kept. */
const RESET_MS: Milliseconds = 1700;

// Starts an instance with two endpoints; `answer` tells what each attempt gets, and after how long.
async function start(answer: (index: number) => { after: Milliseconds; sent: Sent }) {
  const clock = createManualClock();
  const rows = createMemoryRowStore();
  const asked: string[] = [];
  const outcomes: string[] = [];

  function send({ endpoint, signal, onConnected }: Attempt<unknown>): Promise<Sent> {
    const { after, sent } = answer(asked.length);
    asked.push(endpoint.id);
    onConnected();
    return new Promise((resolve) => {
      clock.after(after, () => resolve(sent));
      signal.addEventListener('abort', () => resolve(Err({ kind: 'broken', message: 'ended' })));
    });
  }

  async function list(ids: string[], state: 'ready' | 'leaving' = 'ready'): Promise<void> {
    const puts = ids.map((key) => ({ table: 'servers', partition: '', key, value: state }));
    await rows.transact({ checks: [], puts, removals: [] });
  }

  async function unlist(ids: string[]): Promise<void> {
    const removals = ids.map((key) => ({ table: 'servers', partition: '', key }));
    await rows.transact({ checks: [], puts: [], removals });
  }

  const instance = startForwardInstance<unknown>({
    ...{ clock, random: createRandom(1), log: createSilentLog(), rows },
    connect: async () => Err({ kind: 'failed', message: 'not used' }),
    openTunnel: async () => Err('unreachable'),
    createProtocol: () => ({
      send,
      probe: async () => 'accepting',
      identify: async () => 'same',
      findStart: async () => ({ kind: 'untold' }),
      listIdle: () => [],
      findRun: async () => ({ kind: 'silent' }),
      findRoom: async () => 'untold',
    }),
    instance: 'one',
    incarnation: 'life-1',
    dataCentre: 'kent',
    tables: { configuration: 'op', endpoints: 'servers' },
    decodeConfiguration: () => undefined,
    decodeEndpoint: ({ key, version, value }): EndpointRecord => ({
      ...{ id: key, born: 1, sequence: version, service: 'llm', address: `10.0.0.${key}:80` },
      ...{ dataCentre: 'kent', isLeaving: value === 'leaving', concurrency: 4 },
    }),
    getRetryAllowance: () => ({ window: 10_000, ratio: 0.2, extra: 80 }),
    getConfigurationDelayLimit: () => 2000,
  });
  await list(BOTH);
  await clock.advance(3000);

  function forward(): void {
    const startedAt = clock.elapsed();
    const request: ForwardRequest<unknown> = {
      ...{ id: 'r1', route: ROUTE, service: 'llm', account: '', priority: 0 },
      ...{ deadline: startedAt + ROUTE.timeout, startedAt, configurationVersion: 1 },
      ...{ cost: { input: 0, output: 0 }, prefix: [], fingerprint: 'same' },
      ...{ resumeAfter: undefined, payload: undefined },
    };
    const caller: Caller = {
      signal: new AbortController().signal,
      answer: (_head, body) => outcomes.push(body.toString()),
      refuse: ({ kind }) => outcomes.push(kind),
      begin: () => outcomes.push('begun'),
      write: async () => undefined,
      end: () => outcomes.push('ended'),
      cut: () => outcomes.push('cut'),
    };
    instance.forward(request, caller);
  }

  return { clock, forward, list, unlist, asked, outcomes, stop: () => instance.stop(0) };
}

// The first attempt is reset when its endpoint goes on, the replacement has no answer until it is dropped.
function answerLate(index: number) {
  if (index === 0) return { after: RESET_MS, sent: BROKEN };
  return { after: index === 1 ? Infinity : 20, sent: ANSWER };
}

test('a request may return to an endpoint that was silent and is listed throughout', async () => {
  const { clock, forward, asked, outcomes } = await start(answerLate);
  forward();
  await clock.advance(3000);
  expect(outcomes).toEqual(['whole']);
  expect(asked[2]).toBe(asked[1]);
});

test('a request may return to an endpoint whose entry lapsed while it was silent', async () => {
  const { clock, forward, list, unlist, asked, outcomes } = await start(answerLate);
  forward();
  await clock.advance(1300);
  await unlist(BOTH);
  await clock.advance(500);
  await list(BOTH);
  await clock.advance(1500);
  expect(outcomes).toEqual(['whole']);
  expect(asked[2]).toBe(asked[1]);
});

test('a request waits for a lapsed entry for a limited time', async () => {
  const { clock, forward, unlist, asked, outcomes } = await start(answerLate);
  forward();
  await clock.advance(1300);
  await unlist(BOTH);
  await clock.advance(500);
  expect(outcomes).toEqual([]);
  await clock.advance(1500);
  expect(outcomes).toEqual(['failed']);
  expect(asked).toHaveLength(2);
});

test('a request does not wait for an endpoint that has said that it leaves', async () => {
  const { clock, forward, list, unlist, outcomes } = await start(answerLate);
  forward();
  await clock.advance(800);
  await list(BOTH, 'leaving');
  await clock.advance(500);
  await unlist(BOTH);
  await clock.advance(500);
  expect(outcomes).toEqual(['failed']);
});

test('a request that has reached no endpoint is refused at once though entries have lapsed', async () => {
  const { clock, forward, unlist, outcomes } = await start(answerLate);
  await unlist(BOTH);
  await clock.advance(500);
  forward();
  await clock.advance(1);
  expect(outcomes).toEqual(['no-endpoint']);
});

test('a doubted answer does not wait for a lapsed entry for longer than another endpoint would be asked', async () => {
  const { clock, forward, list, unlist, asked, outcomes } = await start(() => ({
    after: 300,
    sent: DOUBTED,
  }));
  forward();
  await clock.advance(100);
  await unlist(BOTH.filter((id) => id !== asked[0]));
  await list([asked[0]!], 'leaving');
  await clock.advance(300);
  expect(outcomes).toEqual([]);
  await clock.advance(600);
  expect(outcomes).toEqual(['whole']);
});
