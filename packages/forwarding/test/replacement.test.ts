import { Err, Ok } from 'ts-results';
import { createManualClock, sleep } from '@pomeloroad/core';
import type { LogFields, Outcome } from '@pomeloroad/core';
import type { RouteError, RouteRequest, Slot } from '@pomeloroad/routing';
import type { Attempt, Reachability } from '../src';
import type { SentAttempt } from '../src/attempt';
import { awaitStep } from '../src/replacement';
import type { Run } from '../src/run';

const THRESHOLD_MS = 400;

interface Stand {
  /** What each search for a slot ends with; it waits if this is left out. */
  search?: 'busy' | 'slot';
  hasRetries?: boolean;
  attempts?: number;
  /** A stream, whose replacement connects and stays silent. */
  stream?: {
    /** What a probe of the first endpoint says, and after how long. */
    probe: { says: Reachability; after: number };
    /** When the first endpoint sends on other connections, and then on this one. */
    heardAt?: number;
    activeAt?: number;
  };
}

// Awaits a step that comes after the delay; returns how the wait ended and what it did meanwhile.
async function wait(delay: number, stand: Stand) {
  const { search, hasRetries = true, attempts = 2, stream } = stand;
  const clock = createManualClock();
  const steps: string[] = [];
  const lines: LogFields[] = [];
  const slot = {
    endpoint: { name: 'e2/1' },
    isLeaving: () => false,
    release: (result: string) => steps.push(`released ${result}`),
  } as unknown as Slot;
  const acquire = ({ excluded, signal }: RouteRequest): Promise<Outcome<Slot, RouteError>> => {
    steps.push(`search without ${[...excluded].join()}`);
    if (search === 'slot') return Promise.resolve(Ok(slot));
    if (search === 'busy') return Promise.resolve(Err({ kind: 'busy', retryAfter: 1 }));
    return new Promise((resolve) => {
      signal?.addEventListener('abort', () => {
        steps.push('search ended');
        resolve(Err({ kind: 'abandoned' }));
      });
    });
  };
  const send = ({ signal, onConnected }: Attempt<unknown>) => {
    onConnected();
    return new Promise((resolve) => {
      signal.addEventListener('abort', () => resolve(Err({ kind: 'broken', message: 'ended' })));
    });
  };
  const probe = async () => {
    await sleep(clock, stream?.probe.after ?? 0);
    return stream?.probe.says ?? 'accepting';
  };
  const isPast = (at = Infinity) => clock.elapsed() >= at;
  const run = {
    host: {
      protocol: { send, probe },
      directory: { find: () => ({ id: 'e2' }) },
      clock,
      admission: { acquire },
      retryBudget: { take: () => hasRetries },
      metrics: {
        attempts: { add: () => {} },
        silences: { add: () => {} },
        repeatsDenied: { add: () => {} },
      },
      log: (_event: unknown, fields: LogFields) => lines.push(fields),
    },
    request: {
      deadline: 5000,
      route: { kind: stream ? 'streaming' : 'idempotent', isResumable: true, attempts },
    },
    stop: new AbortController(),
    excluded: new Set<string>(),
    runs: 0,
    pending: 1,
    declines: 0,
  } as unknown as Run<unknown>;
  const attempt = {
    slot: {
      endpoint: { name: 'e1/1' },
      getActivityTime: () => (isPast(stream?.heardAt) ? (stream?.heardAt ?? 0) : 0),
    },
    endpoint: { id: 'e1' },
    getActivityTime: () => (isPast(stream?.activeAt) ? (stream?.activeAt ?? 0) : 0),
  } as unknown as SentAttempt;
  const step = new Promise<string>((resolve) => {
    clock.after(delay, () => resolve('went on'));
  });
  const progress = awaitStep(run, {
    attempt,
    step,
    hasFailed: () => false,
    threshold: THRESHOLD_MS,
    silentSince: () => 0,
  });
  await clock.advance(5000);
  return { progress: await progress, steps, lines };
}

test('an attempt that is not silent for long enough gets no replacement', async () => {
  const { progress, steps, lines } = await wait(THRESHOLD_MS - 1, {});
  expect(progress).toEqual({ kind: 'step', step: 'went on' });
  expect([steps, lines]).toEqual([[], []]);
});

test('the search for a slot ends when the silent attempt goes on', async () => {
  const { progress, steps } = await wait(1000, {});
  expect(progress).toEqual({ kind: 'step', step: 'went on' });
  expect(steps).toEqual(['search without e1/1', 'search ended']);
});

test('a slot is released unused if no retry is left, and looked for again', async () => {
  const { progress, steps, lines } = await wait(900, { search: 'slot', hasRetries: false });
  expect(progress).toEqual({ kind: 'step', step: 'went on' });
  const look = ['search without e1/1', 'released unused'];
  expect(steps).toEqual([...look, ...look]);
  expect(lines).toMatchObject([{ outcome: 'went on', lack: 'retry', waited: 900 }]);
});

test('a silent attempt without a free slot elsewhere is awaited', async () => {
  const { progress, lines } = await wait(4000, { search: 'busy' });
  expect(progress).toEqual({ kind: 'step', step: 'went on' });
  expect(lines).toMatchObject([{ outcome: 'went on', lack: 'busy' }]);
});

test('nothing is looked for once the attempts of the route are used, pending ones included', async () => {
  const { steps, lines } = await wait(4000, { search: 'slot', attempts: 1 });
  expect(steps).toEqual([]);
  expect(lines).toMatchObject([{ outcome: 'went on', lack: 'attempt' }]);
});

const ACCEPTS = { says: 'accepting' as const, after: 1 };
/** The first attempt is silent from 0 to 3,000 ms, its replacement is sent at 400 ms and chosen at 640 ms. */
const DELAY_MS = 3000;

test.each<[string, Stand['stream']]>([
  ['accepts connections', { probe: ACCEPTS }],
  ['is probed by a slow process', { probe: { says: 'unknown', after: 500 } }],
  ['sends to all at that moment', { probe: ACCEPTS, heardAt: 630, activeAt: 650 }],
  ['sends to others too late to tell', { probe: ACCEPTS, heardAt: 650 }],
])('a silent stream is kept if its endpoint %s', async (_name, stream) => {
  const { progress, steps } = await wait(DELAY_MS, { search: 'slot', stream });
  expect(progress).toEqual({ kind: 'step', step: 'went on' });
  expect(steps).toEqual(['search without e1/1', 'released unused']);
});

test.each<[string, Stand['stream']]>([
  ['refuses connections', { probe: { says: 'refused', after: 1 } }],
  ['does not answer', { probe: { says: 'unknown', after: 350 } }],
  ['sends to others', { probe: ACCEPTS, heardAt: 500 }],
])('a silent stream is left for its replacement if its endpoint %s', async (_name, stream) => {
  const { progress } = await wait(DELAY_MS, { search: 'slot', stream });
  expect(progress).toMatchObject({ kind: 'replaced', failure: undefined });
});
