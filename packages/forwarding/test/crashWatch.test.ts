import { Err, Ok } from 'ts-results';
import { createManualClock, sleep } from '@pomeloroad/core';
import type { LogFields, Milliseconds, ResponseFraming } from '@pomeloroad/core';
import { createMetrics } from '@pomeloroad/telemetry';
import { createForwardMetrics } from '../src';
import type { Attempt, EndpointRecord, Reachability, StreamStep } from '../src';
import type { IncarnationFate } from '../src/store/directoryEntry';
import { watchCrashes } from '../src/suspects/crashWatch';
import type { EndpointCrash } from '../src/suspects/crashWatch';

const ENDPOINT: EndpointRecord = {
  id: 'e',
  born: 7,
  sequence: 1,
  service: 'llm',
  address: '10.0.0.1:80',
  dataCentre: 'kent',
  isLeaving: false,
  concurrency: 4,
};
const BROKEN: StreamStep = { kind: 'broken', message: 'reset' };
const REFUSED = Err({ kind: 'unreachable' as const, message: 'refused' });
const FAILED = Err({ kind: 'broken' as const, message: 'reset' });

function createAttempt(id: string, names: string[], signal = new AbortController().signal) {
  const prefix = [...names, `${id} alone`].map((name) => ({ id: name, tokens: 1 }));
  const request = { id, prefix, fingerprint: `print-${id}` };
  return { request, endpoint: ENDPOINT, signal } as unknown as Attempt<void>;
}

interface StandOptions {
  fate?: IncarnationFate;
  /** What the attempts' streams bring; left out, the attempts break off. */
  step?: StreamStep;
  isSuspicious?: boolean;
  /** Whether attempts that are not given up find no connection. */
  isRefusing?: boolean;
  /** Starts that are told one after another, before requests too; the last one again and again. Left out, none is. */
  starts?: number[];
  /** Time that this takes. */
  toldAfter?: Milliseconds;
  /** Start of the entry that is known later. */
  listed?: number;
}

// Creates a watched protocol over endpoints that give the probes' answers one after another once they were sent a request.
function createStand(
  probes: Reachability[],
  {
    fate = 'listed',
    step,
    isSuspicious = false,
    isRefusing = false,
    starts = [],
    toldAfter = 0,
    listed = ENDPOINT.born,
  }: StandOptions = {},
) {
  let isSent = false;
  const clock = createManualClock();
  const crashes: EndpointCrash[] = [];
  const gone: string[] = [];
  const lines: LogFields[] = [];
  const answers: string[] = [];
  const stream = {
    next: async () => step ?? BROKEN,
    hasRepeated: () => false,
    close: async () => undefined,
  };
  const head = { status: 200, framing: 'chunked' as const, headers: [] };
  const probe = async () => probes.shift() ?? 'accepting';
  const protocol = watchCrashes<void>({
    clock,
    log: (event, fields) => lines.push({ code: event.code, ...fields }),
    metrics: createForwardMetrics(createMetrics()),
    protocol: {
      async send({ signal }) {
        isSent = true;
        if (isRefusing && !signal.aborted) return REFUSED;
        return step ? Ok({ kind: 'stream', head, stream }) : FAILED;
      },
      probe,
      identify: async () => 'untold',
      async findStart() {
        if (toldAfter > 0) await sleep(clock, toldAfter);
        const [born] = starts;
        if (starts.length > 1) starts.shift();
        if (born !== undefined) return { kind: 'told', born };
        const reachability = isSent ? await probe() : 'accepting';
        return { kind: reachability === 'accepting' ? 'untold' : reachability };
      },
      listIdle: () => [],
      findRun: async () => ({ kind: 'silent' }),
      findRoom: async () => 'untold',
    },
    directory: { getFate: ({ born }) => (born < listed ? 'started again' : fate) },
    onCrash(crash) {
      if (crash.names.size > 0) crashes.push(crash);
      else gone.push(crash.incarnation);
    },
    onAnswer: (names, incarnation) => answers.push(`${incarnation} ${names.join(',')}`),
    isSuspicious: () => isSuspicious,
  });
  return { clock, crashes, gone, answers, lines, protocol };
}

test('an endpoint that refuses connections after it broke requests off has crashed', async () => {
  const { clock, crashes, lines, protocol } = createStand(['refused']);
  await Promise.all([
    protocol.send(createAttempt('a', ['first', 'second'])),
    protocol.send(createAttempt('b', ['first'])),
  ]);
  await clock.advance(0);
  expect(crashes).toEqual([
    {
      incarnation: 'e/7',
      names: new Map([
        ['first', 2],
        ['second', 1],
        ['request:print-a', 1],
        ['request:print-b', 1],
      ]),
    },
  ]);
  expect(lines).toEqual([
    {
      code: 7008,
      endpoint: 'e',
      born: 7,
      count: 2,
      requests: 'a first second request:print-a; b first request:print-b',
    },
  ]);
});

test('a stream that breaks off at an endpoint that has died shows a crash', async () => {
  const { clock, crashes, protocol } = createStand(['accepting', 'refused'], { step: BROKEN });
  const sent = await protocol.send(createAttempt('a', ['first']));
  expect(sent.ok && sent.val.kind === 'stream' && (await sent.val.stream.next())).toBe(BROKEN);
  await clock.advance(150);
  expect(crashes).toEqual([createCrash('first', 'request:print-a')]);
});

test('an endpoint that has started again has crashed', async () => {
  const { clock, crashes, protocol } = createStand([], { fate: 'started again' });
  await protocol.send(createAttempt('a', ['first']));
  await clock.advance(150);
  expect(crashes).toHaveLength(1);
});

test('an endpoint at whose address another start is told than before the request has crashed', async () => {
  const { clock, crashes, gone, protocol } = createStand([], { starts: [8] });
  await protocol.send(createAttempt('a', ['first']));
  await clock.advance(0);
  expect(crashes).toEqual([createCrash('first', 'request:print-a')]);
  expect(gone).toEqual(['e/7']);
});

test('a process that tells the same start before and after a request shows no crash once its entry comes', async () => {
  const { clock, crashes, protocol } = createStand([], {
    isSuspicious: true,
    starts: [8],
    listed: 8,
  });
  protocol.send(createAttempt('a', ['first']));
  await clock.advance(20_000);
  expect(crashes).toEqual([]);
});

test('a request whose break is not understood yet shows no crash of another process that lives', async () => {
  const { clock, crashes, protocol } = createStand([], { starts: [8], toldAfter: 10 });
  const attempt = createAttempt('a', ['first']);
  await protocol.send(attempt);
  protocol.send({ ...attempt, endpoint: { ...ENDPOINT, id: 'f' } });
  await clock.advance(20_000);
  expect(crashes).toEqual([createCrash('first', 'request:print-a')]);
});

test('a process that has told its start behind the entry of another one crashes by its own name', async () => {
  const { clock, crashes, protocol } = createStand([], { isSuspicious: true, starts: [8, 9] });
  await protocol.send(createAttempt('a', ['first']));
  await clock.advance(0);
  expect(crashes.map(({ incarnation }) => incarnation)).toEqual(['e/8']);
});

test('a process that has told its start and has started again when a later entry comes has crashed', async () => {
  const { clock, crashes, protocol } = createStand([], {
    isSuspicious: true,
    starts: [8, 8, 8, 9],
    listed: 9,
  });
  protocol.send(createAttempt('a', ['first']));
  await clock.advance(1000);
  expect(crashes.map(({ incarnation }) => incarnation)).toEqual(['e/8']);
});

test('an endpoint that announced that it leaves shows no crash when the next one tells its start', async () => {
  const { clock, crashes, protocol } = createStand([], { fate: 'leaving', starts: [8] });
  await protocol.send(createAttempt('a', ['first']));
  await clock.advance(20_000);
  expect(crashes).toEqual([]);
});

test('a process that announced that it leaves in its own entry shows no crash', async () => {
  const { clock, crashes, protocol } = createStand([], {
    fate: 'leaving',
    isSuspicious: true,
    starts: [8, 9],
    listed: 8,
  });
  protocol.send(createAttempt('a', ['first']));
  await clock.advance(20_000);
  expect(crashes).toEqual([]);
});

test('a process that still tells its start shows no crash while a later one is believed to answer', async () => {
  const { clock, crashes, protocol } = createStand([], { fate: 'started again', starts: [7] });
  await protocol.send(createAttempt('a', ['first']));
  await clock.advance(20_000);
  expect(crashes).toEqual([]);
});

test('a connection that an endpoint closes while it lives shows no crash', async () => {
  const { clock, crashes, protocol } = createStand(['accepting', 'unknown']);
  await protocol.send(createAttempt('a', ['first']));
  await clock.advance(20_000);
  expect(crashes).toEqual([]);
});

test('a crash soon after an endpoint had only closed a connection shows at once', async () => {
  const { clock, crashes, protocol } = createStand(['accepting', 'accepting', 'refused']);
  await protocol.send(createAttempt('a', ['first']));
  await clock.advance(1000);
  await protocol.send(createAttempt('b', ['second']));
  await clock.advance(0);
  expect(crashes).toEqual([createCrash('second', 'request:print-b')]);
});

test('an endpoint that leaves shows no crash', async () => {
  const { clock, crashes, protocol } = createStand(['accepting', 'accepting'], { fate: 'leaving' });
  await protocol.send(createAttempt('a', ['first']));
  await clock.advance(20_000);
  expect(crashes).toEqual([]);
});

test('an attempt that the instance ends itself shows no crash', async () => {
  const { clock, crashes, protocol } = createStand(['refused']);
  await protocol.send(createAttempt('a', ['first'], AbortSignal.abort()));
  await clock.advance(20_000);
  expect(crashes).toEqual([]);
});

test('a stream that ends with its connection at an endpoint that has died shows a crash', async () => {
  const step = createEnd('close');
  const { clock, crashes, protocol } = createStand(['refused'], { step });
  const sent = await protocol.send(createAttempt('a', ['first']));
  if (sent.ok && sent.val.kind === 'stream') await sent.val.stream.next();
  await clock.advance(0);
  expect(crashes).toHaveLength(1);
});

test('the end of a stream tells that the parts of its prompt were answered', async () => {
  const { answers, crashes, protocol } = createStand(['refused'], { step: createEnd('chunked') });
  const sent = await protocol.send(createAttempt('a', ['first', 'second']));
  if (sent.ok && sent.val.kind === 'stream') await sent.val.stream.next();
  expect(answers).toEqual(['e/7 first,second,request:print-a']);
  expect(crashes).toEqual([]);
});

test('an attempt with a suspicious part fails only once it is known whether its endpoint died', async () => {
  const { crashes, protocol } = createStand(['refused'], { isSuspicious: true });
  await protocol.send(createAttempt('a', ['first']));
  expect(crashes).toHaveLength(1);
});

test('a request that was given up before its endpoint died is part of the crash', async () => {
  const { clock, crashes, protocol } = createStand(['refused']);
  await protocol.send(createAttempt('left', [], AbortSignal.abort()));
  await clock.advance(1500);
  await protocol.send(createAttempt('a', []));
  await clock.advance(0);
  expect(crashes).toEqual([createCrash('request:print-a', 'request:print-left')]);
});

test('an endpoint that refuses a connection after a request was given up there has crashed', async () => {
  const { clock, crashes, protocol } = createStand(['refused'], { isRefusing: true });
  await protocol.send(createAttempt('a', []));
  expect(crashes).toEqual([]);
  await protocol.send(createAttempt('left', [], AbortSignal.abort()));
  await protocol.send(createAttempt('b', []));
  await clock.advance(0);
  expect(crashes).toEqual([createCrash('request:print-left')]);
});

test('an answer of a plain service that ends with its connection costs no probe', async () => {
  const { clock, crashes, protocol } = createStand(['refused'], { step: createEnd('close') });
  const sent = await protocol.send(createAttempt('a', []));
  if (sent.ok && sent.val.kind === 'stream') await sent.val.stream.next();
  await clock.advance(0);
  expect(crashes).toEqual([]);
});

test('a process that answers behind the entry of one that has died crashes by itself', async () => {
  const { clock, crashes, protocol } = createStand([
    'refused',
    'accepting',
    'accepting',
    'refused',
  ]);
  const early = protocol.send(createAttempt('a', []));
  await clock.advance(0);
  await early;
  await protocol.send(createAttempt('b', []));
  await clock.advance(1000);
  await protocol.send(createAttempt('c', []));
  await clock.advance(0);
  expect(crashes.map(({ incarnation }) => incarnation)).toEqual(['e/7', 'e/7+1']);
});

test('what was sent to a process before its death was known crashes with it', async () => {
  const { clock, crashes, protocol } = createStand(['refused', 'refused'], { step: BROKEN });
  const late = await protocol.send(createAttempt('a', []));
  const first = await protocol.send(createAttempt('b', []));
  if (first.ok && first.val.kind === 'stream') await first.val.stream.next();
  await clock.advance(0);
  if (late.ok && late.val.kind === 'stream') await late.val.stream.next();
  await clock.advance(0);
  expect(crashes.map(({ incarnation }) => incarnation)).toEqual(['e/7', 'e/7']);
});

function createCrash(...names: string[]): EndpointCrash {
  return { incarnation: 'e/7', names: new Map(names.map((name) => [name, 1])) };
}

function createEnd(framing: ResponseFraming): StreamStep {
  const connection = Promise.resolve('kept' as const);
  return { kind: framing === 'close' ? 'closed' : 'complete', framing, at: 0, connection };
}
