import { Err, Ok } from 'ts-results';
import { createManualClock, createSilentLog } from '@pomeloroad/core';
import type { ManualClock } from '@pomeloroad/core';
import type { Placement, UsageRecord } from '@pomeloroad/budgets';
import type { Endpoint } from '@pomeloroad/configuration';
import { createAnswer } from '@pomeloroad/requests';
import type { RunState } from '@pomeloroad/requests';
import type { RouteRequest, SlotResult } from '@pomeloroad/routing';
import { resumeChat, runChat } from '../src/chatRun';
import type { ChatRequest } from '../src/chatRequest';
import type { EngineClient, EngineError, EngineEvent, StoppedUsage } from '../src/engineTypes';
import type { RunHost } from '../src/runHost';
import type { RunRequest } from '../src/runRequest';

const SILENT: EngineError = { kind: 'failed', ran: 'unknown', message: 'silent stream' };
const NEVER: StoppedUsage = { state: 'never', promptTokens: 0, completionTokens: 0 };
const USAGE: EngineEvent = { kind: 'usage', promptTokens: 1, completionTokens: 1, finish: 'stop' };
const CHAT: ChatRequest = {
  model: 'planner',
  isStreamed: false,
  promptBound: 4,
  outputBound: 1,
  body: {},
};
const REQUEST: RunRequest = {
  id: 'r',
  account: 'dispatch',
  budget: 'dispatch/routes',
  digest: '',
  isIdempotent: true,
  isProvisional: false,
  isContinuation: false,
  needsClaim: false,
  priority: 0,
  patience: 8000,
  work: { kind: 'chat', chat: CHAT },
};

const LOST: RunState = {
  placement: { endpoint: 'e', address: 'e:1', stream: 'lost.1' },
  budget: 'dispatch/routes',
  reservation: 'reservation',
  keeper: 'a',
  tokens: 5,
};

/** A host whose requests run on the given engine, and the records that they settled. */
function createHost(clock: ManualClock, engine: Partial<EngineClient>) {
  const settled: (UsageRecord | undefined)[] = [];
  const released: SlotResult[] = [];
  const reservation = {
    ...{ id: 'reservation', budget: 'dispatch/routes', keeper: 'a', tokens: 5 },
    placement: undefined,
    place: async () => true,
    settle: (record: UsageRecord | undefined) => settled.push(record),
  };
  const endpoint = { name: 'e', address: 'e:1' } as Endpoint;
  const slot = {
    ...{ endpoint, isLeaving: () => false },
    recordActivity: () => undefined,
    release: (result: SlotResult) => released.push(result),
  };
  const host = {
    clock,
    log: createSilentLog(),
    settings: {
      ...{ budgetPatience: 0, resumeWindow: 0 },
      ...{ stallTimeout: 300, firstByteTimeout: 1000, betweenTimeout: 1000 },
    },
    budgets: { reserve: async () => Ok(reservation), adopt: async () => reservation },
    admission: {
      acquire: async ({ excluded }: RouteRequest) =>
        excluded.has('e') ? Err({ kind: 'none' }) : Ok(slot),
    },
    guard: { waitUntilFresh: async () => undefined },
    refreshEndpoint: async () => undefined,
    engine,
  } as unknown as RunHost;
  return { host, settled, released };
}

/** Creates an engine's run that notes its stream, and completes it after this number of silent ones. */
function createRun(streams: string[], silentRuns = 0): EngineClient['run'] {
  return async (call, sink) => {
    streams.push(call.stream);
    if (streams.length <= silentRuns) return Err(SILENT);
    await sink(USAGE);
    return Ok.EMPTY;
  };
}

/** Runs a request on the engine until it has ended, or resumes it for a lost instance. */
async function run(
  engine: Partial<EngineClient>,
  lost?: RunState,
  request = REQUEST,
  { signal } = new AbortController(),
) {
  const clock = createManualClock();
  const { host, settled, released } = createHost(clock, engine);
  const answer = createAnswer();
  const starting = lost
    ? resumeChat(host, request, CHAT, answer, signal, lost)
    : runChat(host, request, CHAT, answer, signal);
  let isOver = false;
  const running = starting.finally(() => {
    isOver = true;
  });
  // Handled below; here only so that a failure during the loop is not reported as unhandled.
  running.catch(() => undefined);
  while (!isOver) await clock.advance(1000);
  const end = await running;
  return { end, answer, settled, released };
}

test('an attempt that is given up is not repeated once its answer has ended', async () => {
  const streams: string[] = [];
  const stops = [Err(SILENT), Ok(NEVER)];
  const { end, answer, settled } = await run({
    run: createRun(streams, 1),
    resume: async () => Err(SILENT),
    stop: async () => stops.shift() ?? Ok(NEVER),
  });
  expect(streams).toEqual(['r.1.reservation']);
  expect(answer.getEnd()).toMatchObject({ kind: 'refused', refusal: { ran: 'unknown' } });
  expect(end).toMatchObject({ kind: 'refused', refusal: { ran: 'no' } });
  expect(settled).toEqual([undefined]);
});

test('a request whose only engine never began it is run there again', async () => {
  const streams: string[] = [];
  const { end, settled } = await run({
    run: createRun(streams, 1),
    resume: async () => Err({ kind: 'rejected', ran: 'no', message: 'no such stream' }),
    stop: async () => Ok(NEVER),
  });
  expect(streams).toEqual(['r.1.reservation', 'r.2.reservation']);
  expect(end).toEqual({ kind: 'complete' });
  expect(settled).toMatchObject([{ tokens: 2 }]);
});

test('no second stream goes on with an answer whose engine has forgotten the first', async () => {
  const delta = (text: string): EngineEvent => ({ kind: 'delta', index: 0, text });
  const streams: string[] = [];
  const { end, answer, settled } = await run({
    async run(call, sink) {
      streams.push(call.stream);
      await sink(delta(call.stream));
      if (streams.length === 1) return Err(SILENT);
      await sink(USAGE);
      return Ok.EMPTY;
    },
    resume: async () => Err({ kind: 'rejected', ran: 'no', message: 'no such stream' }),
    stop: async () => Ok(NEVER),
  });
  expect(streams).toEqual(['r.1.reservation']);
  expect(answer.getEvents()).toEqual([{ kind: 'delta', text: 'r.1.reservation' }]);
  expect(end).toMatchObject({ kind: 'refused', refusal: { ran: 'unknown' } });
  expect(settled).toMatchObject([{ tokens: 5 }]);
});

test('no second stream goes on with a resumed answer whose engine has forgotten the first', async () => {
  const streams: string[] = [];
  const replies = [Err(SILENT)];
  const engine: Partial<EngineClient> = {
    run: createRun(streams),
    async resume(_call, _after, sink) {
      await sink({ kind: 'delta', index: 0, text: 'x' });
      return replies.shift() ?? Err({ kind: 'rejected', ran: 'no', message: 'no such stream' });
    },
    stop: async () => Ok(NEVER),
  };
  const { end, settled } = await run(engine, LOST);
  expect(streams).toEqual([]);
  expect(end).toMatchObject({ kind: 'refused', refusal: { ran: 'unknown' } });
  expect(settled).toMatchObject([{ tokens: 5 }]);
});

test('the rest of a resumed answer is not taken from a run that begins for it', async () => {
  const streams: string[] = [];
  const engine: Partial<EngineClient> = {
    run: createRun(streams),
    resume: async () => Err({ kind: 'rejected', ran: 'no', message: 'no such stream' }),
    stop: async () => Ok(NEVER),
  };
  const { end, settled } = await run(engine, LOST, { ...REQUEST, isContinuation: true });
  expect(streams).toEqual([]);
  expect(end).toMatchObject({ kind: 'refused', refusal: { ran: 'unknown' } });
  expect(settled).toMatchObject([{ tokens: 5 }]);
});

test('an answer that has ended gets no usage of a stream beyond its limit', async () => {
  const delta = (index: number): EngineEvent => ({ kind: 'delta', index, text: 'x' });
  const stops = [Err(SILENT)];
  const { answer, settled } = await run({
    async run(_call, sink) {
      const sent = sink(delta(0)).then(() => sink(delta(1)));
      return sent.then(
        () => Ok.EMPTY,
        () => Err(SILENT),
      );
    },
    stop: async () =>
      stops.shift() ?? Ok({ state: 'cancelled', promptTokens: 2, completionTokens: 2 }),
  });
  expect(answer.getEnd()).toMatchObject({ kind: 'refused' });
  expect(settled).toMatchObject([{ tokens: 4 }]);
});

test('a resumed request is not run again once its answer has ended', async () => {
  const stops = [Err(SILENT)];
  const streams: string[] = [];
  const engine: Partial<EngineClient> = {
    run: createRun(streams),
    resume: async () => Err(SILENT),
    stop: async () => stops.shift() ?? Ok(NEVER),
  };
  const { end, settled } = await run(engine, LOST);
  expect(streams).toEqual([]);
  expect(end).toMatchObject({ kind: 'refused', refusal: { ran: 'no' } });
  expect(settled).toEqual([undefined]);
});

test('a caller that leaves is no failure of the engine', async () => {
  const caller = new AbortController();
  const engine: Partial<EngineClient> = {
    async run() {
      caller.abort();
      return Err(SILENT);
    },
    stop: async () => Ok({ state: 'cancelled', promptTokens: 1, completionTokens: 0 }),
  };
  const { released } = await run(engine, undefined, REQUEST, caller);
  expect(released).toEqual(['ok']);
});

test('each reservation of a request has a stream of its own', async () => {
  const clock = createManualClock();
  const streams: string[] = [];
  const { host } = createHost(clock, { run: createRun(streams) });
  // The first keeper notes the placement, but its reply is lost.
  const replies = [false, true];
  const createReservation = (id: string) => ({
    ...{ id, budget: 'dispatch/routes', keeper: id, tokens: 5, placement: undefined },
    async place({ stream }: Placement) {
      streams.push(stream);
      return replies.shift() ?? true;
    },
    settle: () => undefined,
  });
  const reservations = ['a', 'b'].map(createReservation);
  Object.assign(host.budgets, { reserve: async () => Ok(reservations.shift()) });
  const answer = createAnswer();
  await runChat(host, REQUEST, CHAT, answer, new AbortController().signal);
  const [lost, noted, begun] = streams;
  expect(begun).toBe(noted);
  expect(noted).not.toBe(lost);
});

test('a request that its only engine declines is not sent there again', async () => {
  const streams: string[] = [];
  const { end } = await run({
    async run(call) {
      streams.push(call.stream);
      return Err({ kind: 'busy', ran: 'no', message: 'status 503' });
    },
  });
  expect(streams).toEqual(['r.1.reservation']);
  expect(end).toMatchObject({ kind: 'refused', refusal: { code: 'overloaded', ran: 'no' } });
});
