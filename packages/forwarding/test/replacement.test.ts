import { Err, Ok } from 'ts-results';
import { createManualClock, sleep } from '@pomeloroad/core';
import type { LogFields, Outcome } from '@pomeloroad/core';
import type { RouteError, RouteRequest, Slot } from '@pomeloroad/routing';
import type { Attempt, EndpointRecord, Reachability, RunState } from '../src';
import type { SentAttempt } from '../src/attempts/sentAttempt';
import { awaitStep } from '../src/attempts/replacement';
import type { Run } from '../src/run';

const THRESHOLD_MS = 400;

interface Stand {
  /** What each search for a slot ends with; it waits if this is left out. */
  search?: 'busy' | 'slot';
  hasRetries?: boolean;
  attempts?: number;
  /** Silence after which a replacement is looked for. */
  threshold?: number;
  /** Whether no connection to the replacement opens. */
  isUnreachable?: boolean;
  /** A stream, whose replacement connects and stays silent. */
  stream?: {
    /** What a probe of the first endpoint says, and after how long. */
    probe: { says: Reachability; after: number };
    /** When the first endpoint sends on other connections, and then on this one. */
    heardAt?: number;
    activeAt?: number;
    /** What each endpoint tells of its run; none tells anything if this is left out. */
    tells?: Record<string, RunState>;
  };
}

// Awaits a step that comes after the delay; returns how the wait ended and what it did meanwhile.
async function wait(delay: number, stand: Stand) {
  const { search, hasRetries = true, attempts = 2, threshold = THRESHOLD_MS, stream } = stand;
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
    if (search === 'busy')
      return Promise.resolve(Err({ kind: 'busy', retryAfter: 1, isLimited: false }));
    return new Promise((resolve) => {
      signal?.addEventListener('abort', () => {
        steps.push('search ended');
        resolve(Err({ kind: 'abandoned' }));
      });
    });
  };
  const send = ({ signal, onConnected }: Attempt<unknown>) => {
    if (!stand.isUnreachable) onConnected();
    const kind = stand.isUnreachable ? 'unreachable' : 'broken';
    return new Promise((resolve) => {
      signal.addEventListener('abort', () => resolve(Err({ kind, message: 'ended' })));
    });
  };
  const probe = async () => {
    await sleep(clock, stream?.probe.after ?? 0);
    return stream?.probe.says ?? 'accepting';
  };
  const findRun = ({ id }: EndpointRecord): Promise<RunState> =>
    Promise.resolve(stream?.tells?.[id] ?? { kind: 'silent' });
  const isPast = (at = Infinity) => clock.elapsed() >= at;
  const run = {
    host: {
      protocol: { send, probe, findRun },
      getHeldUpTime: () => 0,
      directory: { find: () => ({ id: 'e2' }), getKnownTime: () => 0 },
      clock,
      admission: { acquire },
      retryBudget: { take: () => hasRetries },
      suspects: { judge: () => 'none' },
      checkPath: async () => undefined,
      metrics: {
        attempts: { add: () => {} },
        silences: { add: () => {} },
        repeatsDenied: { add: () => {} },
      },
      log: (_event: unknown, fields: LogFields) => lines.push(fields),
    },
    request: {
      deadline: 5000,
      prefix: [],
      fingerprint: 'same',
      route: { kind: stream ? 'streaming' : 'idempotent', isResumable: true, attempts },
    },
    stop: new AbortController(),
    excluded: new Set<string>(),
    returnable: new Set<string>(),
    question: new AbortController(),
    probedSuspects: [],
    runs: 0,
    pending: 1,
    declines: 0,
    events: 1,
    lastEventId: '1',
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
    threshold,
    silentSince: () => 0,
  });
  await clock.advance(5000);
  return { progress: await progress, steps, lines, returnable: [...run.returnable] };
}

test('an attempt that is not silent for long enough gets no replacement', async () => {
  const { progress, steps, lines } = await wait(THRESHOLD_MS - 1, {});
  expect(progress).toEqual({ kind: 'step', step: 'went on' });
  expect([steps, lines]).toEqual([[], []]);
});

test.each([
  [false, ['e2/1']],
  [true, []],
])(
  'a returnable replacement that was unreachable: %s is one to return to: %j',
  async (isUnreachable, names) => {
    const { returnable } = await wait(1000, { search: 'slot', isUnreachable });
    expect(returnable).toEqual(names);
  },
);

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
  ['sent to others last at the start of the silence', { probe: ACCEPTS, heardAt: 1 }],
  ['sent to others last just before its silence was long', { probe: ACCEPTS, heardAt: 399 }],
  [
    'sent to others last at the start of the silence and does not list runs',
    { probe: ACCEPTS, heardAt: 1, tells: { e1: { kind: 'untold' } } },
  ],
])('a silent stream is kept if its endpoint %s', async (_name, stream) => {
  const { progress, steps } = await wait(DELAY_MS, { search: 'slot', stream });
  expect(progress).toEqual({ kind: 'step', step: 'went on' });
  expect(steps).toEqual(['search without e1/1', 'released unused']);
});

const LISTED: RunState = { kind: 'listed', events: 1 };
const SENDS_TO_OTHERS = { probe: ACCEPTS, heardAt: 500 };
const MISSES_IT: Stand['stream'] = { probe: ACCEPTS, tells: { e1: { kind: 'missing' } } };
const DOES_NOT_ANSWER = { probe: { says: 'unknown' as const, after: 350 } };

test.each<[string, Stand['stream']]>([
  ['lists its run, though it sends to others', { ...SENDS_TO_OTHERS, tells: { e1: LISTED } }],
  ['lists its run, though a probe is lost', { ...DOES_NOT_ANSWER, tells: { e1: LISTED } }],
  [
    'answers without a list, though a probe is lost',
    { ...DOES_NOT_ANSWER, tells: { e1: { kind: 'untold' } } },
  ],
  ['reports from before the run began', MISSES_IT],
  ['answers, as its replacement does', { probe: ACCEPTS, tells: { e1: LISTED, e2: LISTED } }],
])('a silent stream is kept if its endpoint %s', async (_name, stream) => {
  const { progress } = await wait(DELAY_MS, { search: 'slot', stream });
  expect(progress).toEqual({ kind: 'step', step: 'went on' });
});

test.each<[string, Stand['stream']]>([
  [
    'has made events that did not arrive',
    { probe: ACCEPTS, tells: { e1: { kind: 'listed', events: 2 } } },
  ],
  ['tells nothing, and that of the replacement does', { probe: ACCEPTS, tells: { e2: LISTED } }],
  [
    'sends to others and does not list runs',
    { ...SENDS_TO_OTHERS, tells: { e1: { kind: 'untold' } } },
  ],
])('a silent stream is left for its replacement if its endpoint %s', async (_name, stream) => {
  const { progress } = await wait(DELAY_MS, { search: 'slot', stream });
  expect(progress).toMatchObject({ kind: 'replaced', failure: undefined });
});

test('a silent stream is left for its replacement if its endpoint has lost its run', async () => {
  const { progress } = await wait(DELAY_MS, { search: 'slot', threshold: 1000, stream: MISSES_IT });
  expect(progress).toMatchObject({ kind: 'replaced', failure: undefined });
});

test.each<[string, Stand['stream']]>([
  ['refuses connections', { probe: { says: 'refused', after: 1 } }],
  ['does not answer', { probe: { says: 'unknown', after: 350 } }],
  ['sends to others', { probe: ACCEPTS, heardAt: 500 }],
])('a silent stream is left for its replacement if its endpoint %s', async (_name, stream) => {
  const { progress } = await wait(DELAY_MS, { search: 'slot', stream });
  expect(progress).toMatchObject({ kind: 'replaced', failure: undefined });
});
