import { Err, Ok } from 'ts-results';
import { createManualClock, createRandom, Diagnostics, sleep } from '@pomeloroad/core';
import type {
  Diagnostic,
  Importance,
  LogFields,
  Milliseconds,
  ResponseFraming,
} from '@pomeloroad/core';
import type { Slot } from '@pomeloroad/routing';
import { createMetrics } from '@pomeloroad/telemetry';
import { createForwardMetrics, forward } from '../src';
import type {
  Attempt,
  Caller,
  EndpointState,
  ForwardHost,
  ForwardRequest,
  StreamStep,
} from '../src';
import { createRecentEnds } from '../src/ends/recentEnds';

const DEADLINE_MS = 2500;
// Endpoints are told 250 ms more than what is left, and a stated end is held for 20 ms.

/** What one endpoint does: its events and its end, each so long after the step before it. */
interface Answer {
  framing?: ResponseFraming;
  /** Pauses before each event. */
  events?: Milliseconds[];
  /** Pause before the end. */
  pause?: Milliseconds;
  end?: 'complete' | 'closed' | 'broken' | 'whole';
  /** State of the endpoint at the end. */
  state?: EndpointState;
  /** How long after the answer the endpoint fails. */
  failsAfter?: Milliseconds;
}

// Forwards a request to endpoints e1, e2 and so on, which give the answers; returns what was logged.
async function run(answers: Answer[], more: Partial<ForwardRequest<unknown>> = {}, attempts = 2) {
  const clock = createManualClock();
  const lines: LogFields[] = [];
  const metrics = createMetrics();
  const forwardMetrics = createForwardMetrics(metrics);
  const log = (event: Diagnostic, fields?: LogFields, importance?: Importance) => {
    lines.push({ code: event.code, importance, ...fields });
  };
  const recentEnds = createRecentEnds({ clock, log, metrics: forwardMetrics });
  let turn = 0;

  function openStream(answer: Answer, { onActivity }: Attempt<unknown>) {
    const { framing = 'chunked', events = [], pause = 0, end = 'complete' } = answer;
    let sent = 0;
    async function next(): Promise<StreamStep> {
      const delay = events[sent];
      await sleep(clock, delay ?? pause);
      if (delay === undefined) {
        if (end === 'broken') return { kind: 'broken', message: 'reset' };
        const kind = end === 'closed' ? 'closed' : 'complete';
        return { kind, framing, at: clock.elapsed(), closes: sleep(clock, 20).then(() => false) };
      }
      sent += 1;
      onActivity();
      return { kind: 'events', data: Buffer.from('e'), count: 1, lastId: `${sent}` };
    }
    return { next, close: async () => {} };
  }

  async function send(attempt: Attempt<unknown>) {
    const answer = answers[Number(attempt.endpoint.id.slice(1)) - 1] ?? {};
    const { framing = 'chunked', events = [], pause = 0, end } = answer;
    await sleep(clock, 100);
    attempt.onActivity();
    const head = { status: 200, framing, headers: [] };
    if (end !== 'whole') {
      return Ok({ kind: 'stream' as const, head, stream: openStream(answer, attempt) });
    }
    await sleep(clock, events[0] ?? 0);
    attempt.onActivity();
    await sleep(clock, pause);
    const body = Buffer.from('body');
    const told = { framing, at: clock.elapsed(), closes: sleep(clock, 20).then(() => false) };
    return Ok({ kind: 'whole' as const, head, body, end: told });
  }

  async function acquire() {
    turn += 1;
    if (turn > answers.length) return Err({ kind: 'none' });
    const name = `e${turn}/1`;
    const slot: Slot = {
      endpoint: { kind: 'service', name, version: `v${turn}` } as Slot['endpoint'],
      isLeaving: () => false,
      recordActivity: () => {},
      getActivityTime: () => clock.elapsed(),
      release: () => {},
    };
    return Ok(slot);
  }

  const find = (name: string) => {
    const [id = ''] = name.split('/');
    return { id, born: 1, sequence: 1, version: `v${id.slice(1)}` };
  };
  const host = {
    clock,
    random: createRandom(1),
    log,
    admission: { acquire },
    directory: { find, getFate: () => 'listed', markReplaced: () => {}, listLapsed: () => [] },
    retryBudget: { countRequest: () => {}, take: () => true },
    protocol: { send, probe: async () => 'accepting' },
    metrics: forwardMetrics,
    endStatements: { add: () => {}, has: () => true },
    recentEnds,
    getEndpointState: (name: string) => answers[Number(name[1]) - 1]?.state ?? 'sound',
    getConfigurationVersion: () => 1,
    origins: {
      note: () => {},
      isDoubted: () => false,
      find: async () => ({ kind: 'any' }),
    },
    rateLimits: { note: () => {} },
    suspects: { admit: async () => ({ kind: 'allowed' }), judge: () => 'none' },
    findService: () => undefined,
    waitForRefresh: async () => {},
  } as unknown as ForwardHost<unknown>;
  const isWhole = answers.some(({ end }) => end === 'whole');
  const request = {
    id: 'r',
    route: {
      name: 'digest',
      kind: isWhole ? 'idempotent' : 'streaming',
      isResumable: true,
      attempts,
      objective: 4000,
      targets: [],
    },
    service: 's',
    account: '',
    priority: 1,
    deadline: DEADLINE_MS,
    startedAt: 0,
    configurationVersion: 1,
    cost: { input: 0, output: 0 },
    prefix: [],
    fingerprint: 'same',
    resumeAfter: undefined,
    payload: undefined,
    ...more,
  } as unknown as ForwardRequest<unknown>;
  const calls: string[] = [];
  const caller: Caller = {
    signal: new AbortController().signal,
    answer: () => calls.push('answer'),
    refuse: () => calls.push('refuse'),
    begin: () => calls.push('begin'),
    write: async () => {},
    end() {
      calls.push('end');
      const { failsAfter } = answers[turn - 1] ?? {};
      if (failsAfter === undefined) return;
      clock.after(failsAfter, () => recentEnds.noteFate(`e${turn}/1`, 'failed'));
    },
    cut: () => calls.push('cut'),
  };
  const done = forward(host, request, caller);
  await clock.advance(2 * DEADLINE_MS);
  await done;
  const select = (event: Diagnostic) => lines.filter(({ code }) => code === event.code);
  const [answered] = [
    ...select(Diagnostics.requestForwarded),
    ...select(Diagnostics.requestFailed),
  ];
  return {
    calls,
    answered,
    suspicious: select(Diagnostics.endSuspicious),
    lines,
    rendered: metrics.render(),
  };
}

test('a stream’s line tells what its endpoint was told, and of its last event', async () => {
  const { answered, suspicious } = await run([{ events: [50, 250], pause: 100 }]);
  expect(answered).toMatchObject({
    code: 5006,
    version: 'v1',
    events: 2,
    told: 2750,
    toldAgo: 520,
    lastEventAgo: 120,
    resumptions: 0,
    timeLeft: 1980,
    importance: 'ordinary',
  });
  expect(answered).toHaveProperty('eventsSinceResumption', undefined);
  expect(suspicious).toEqual([]);
});

test('after a resumption, a stream’s line tells what the second endpoint was told', async () => {
  const { answered, suspicious } = await run([
    { events: [100, 100], pause: 100, end: 'broken' },
    { events: [200], pause: 10 },
  ]);
  expect(answered).toMatchObject({
    version: 'v2',
    events: 3,
    told: 2350,
    toldAgo: 330,
    lastEventAgo: 30,
    resumptions: 1,
    eventsSinceResumption: 1,
    fromVersion: 'v1',
    importance: 'important',
  });
  expect(suspicious).toEqual([]);
});

test('a cut stream’s line tells the same', async () => {
  const { answered, calls } = await run([{ events: [100], pause: 300, end: 'broken' }]);
  expect(calls).toEqual(['begin', 'cut']);
  expect(answered).toMatchObject({
    code: 5007,
    told: 2750,
    toldAgo: 500,
    lastEventAgo: 300,
    resumptions: 0,
  });
});

test('the line of a whole answer in chunks tells when its last bytes came', async () => {
  const { answered } = await run([{ end: 'whole', events: [200], pause: 50 }]);
  expect(answered).toMatchObject({ told: 2750, toldAgo: 370, lastEventAgo: 70, resumptions: 0 });
});

test('the line of a whole answer with a length stays as short as it was', async () => {
  const { answered } = await run([{ end: 'whole', framing: 'length' }]);
  expect(answered).not.toHaveProperty('told');
});

test.each<[Milliseconds, number]>([
  [2000, 0],
  [2001, 1],
  [2300, 1],
])('an end %i ms after the only event counts as near the limit: %i', async (pause, count) => {
  const { suspicious } = await run([{ events: [100], pause }]);
  expect(suspicious.map(({ reason }) => reason)).toEqual(Array(count).fill('near limit'));
});

test('the line of a suspicious end tells the course of its answer', async () => {
  const { suspicious, answered, rendered } = await run([{ events: [100], pause: 2200 }]);
  expect(suspicious).toEqual([
    {
      code: 5012,
      importance: undefined,
      request: 'r',
      endpoint: 'e1',
      version: 'v1',
      reason: 'near limit',
      state: 'sound',
      end: 'complete',
      framing: 'chunked',
      events: 1,
      resumptions: 0,
      eventsSinceResumption: undefined,
      fromVersion: undefined,
      timeLeft: 100,
      told: 2750,
      toldAgo: 2400,
      lastEventAgo: 2200,
      outcome: 'passed on',
    },
  ]);
  expect(answered?.importance).toBe('important');
  expect(rendered).toContain(
    'pomeloroad_suspicious_ends_total{reason="near limit",outcome="passed on"} 1',
  );
});

test('an end without an event since the resumption is suspicious', async () => {
  const { suspicious } = await run([
    { events: [100, 100], pause: 100, end: 'broken' },
    { pause: 20 },
  ]);
  expect(suspicious).toMatchObject([
    {
      endpoint: 'e2',
      version: 'v2',
      reason: 'nothing since resumption',
      events: 2,
      resumptions: 1,
      eventsSinceResumption: 0,
      fromVersion: 'v1',
      timeLeft: 1980,
      told: 2350,
      toldAgo: 120,
      lastEventAgo: 220,
    },
  ]);
});

test('the line of a stream that the caller takes up survives load', async () => {
  const { answered, suspicious } = await run([{ events: [20] }], { resumes: 'q' });
  expect(answered).toMatchObject({ resumes: 'q', importance: 'important' });
  expect(suspicious).toEqual([]);
});

test('the refusal of a take-up to which nobody answered is an ordinary line', async () => {
  const { lines } = await run([], { resumes: 'q' });
  const [refused] = lines.filter(({ code }) => code === 5002);
  expect(refused).toMatchObject({ kind: 'no-endpoint', importance: 'ordinary' });
});

test('an end without an event of a stream that the caller takes up is suspicious', async () => {
  const { suspicious } = await run([{ pause: 20 }], { resumes: 'q', resumeAfter: '3' });
  expect(suspicious).toMatchObject([{ reason: 'nothing since take-up', events: 0 }]);
});

test.each<[EndpointState, string[]]>([
  ['sound', []],
  ['leaving', ['endpoint leaving']],
  ['failing', ['endpoint failing']],
  ['gone', ['endpoint gone']],
])('an end by an endpoint that is %s is suspicious: %j', async (state, reasons) => {
  const { suspicious } = await run([{ events: [100], state }]);
  expect(suspicious.map(({ reason }) => reason)).toEqual(reasons);
});

test('an end that is not believed is reported with what was done', async () => {
  const { suspicious, calls } = await run([{ events: [100], pause: 2299 }], {}, 1);
  expect(calls).toEqual(['begin', 'cut']);
  expect(suspicious).toMatchObject([{ reason: 'near limit', timeLeft: 1, outcome: 'cut' }]);
});

test('an end after which the rest is requested is reported before the rest', async () => {
  const { suspicious, lines } = await run([
    { framing: 'close', events: [100], end: 'closed', state: 'failing' },
    { events: [0] },
  ]);
  expect(suspicious).toMatchObject([{ endpoint: 'e1', end: 'closed', outcome: 'rest requested' }]);
  expect(lines.map(({ code }) => code)).toEqual([5012, 5003, 5006]);
});

test('a whole answer in chunks near its limit is reported as believed or not', async () => {
  const believed = await run([{ end: 'whole', pause: 2300 }]);
  expect(believed.suspicious).toMatchObject([
    { reason: 'near limit', timeLeft: 100, told: 2750, lastEventAgo: 2300, outcome: 'believed' },
  ]);
  const disbelieved = await run([{ end: 'whole', pause: 2399 }]);
  expect(disbelieved.suspicious).toMatchObject([{ timeLeft: 1, outcome: 'disbelieved' }]);
});

test('a whole answer that ends with its connection is reported as closed', async () => {
  const { suspicious } = await run([{ end: 'whole', framing: 'close', pause: 2200 }]);
  expect(suspicious).toMatchObject([{ end: 'closed', framing: 'close', outcome: 'believed' }]);
});

test('no end that a length proves is suspicious', async () => {
  const stream = await run([{ framing: 'length', events: [100], pause: 2200, state: 'failing' }]);
  const whole = await run([{ end: 'whole', framing: 'length', pause: 2300 }]);
  expect([stream.suspicious, whole.suspicious]).toEqual([[], []]);
});

test.each<[Milliseconds, string[]]>([
  [400, ['r 420 ago 2300 left 1 events']],
  [1100, []],
])('a stream whose endpoint fails %i ms after its end is named: %j', async (failsAfter, named) => {
  const { lines } = await run([{ events: [100], failsAfter }]);
  const lost = lines.filter(({ code }) => code === 7007);
  expect(lost.map(({ requests }) => requests)).toEqual(named);
});
