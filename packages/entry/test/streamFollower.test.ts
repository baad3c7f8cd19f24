import { Err, Ok } from 'ts-results';
import { createManualClock, sleep } from '@pomeloroad/core';
import type { Clock, Outcome } from '@pomeloroad/core';
import type { EngineCall, EngineError, EngineEvent, EngineSink } from '../src/engineTypes';
import { followStream } from '../src/streamFollower';
import { createStreamProgress } from '../src/streamProgress';

const STALL_TIMEOUT_MS = 100;
const TIME_LIMIT_MS = 2000;
const UNKNOWN: EngineError = { kind: 'rejected', ran: 'no', message: 'status 404' };
const CUT: EngineError = { kind: 'failed', ran: 'unknown', message: 'cut' };
const USAGE: EngineEvent = { kind: 'usage', promptTokens: 1, completionTokens: 2, finish: 'stop' };

/** What a connection does: waits, then sends an event or ends. */
type Step = number | EngineEvent | EngineError;

const delta = (index: number): EngineEvent => ({ kind: 'delta', index, text: String(index) });

async function play(
  clock: Clock,
  steps: Step[],
  call: EngineCall,
  sink: EngineSink,
): Promise<Outcome<void, EngineError>> {
  for (const step of steps) {
    if (typeof step === 'number') await sleep(clock, step, call.signal);
    else if (step.kind === 'delta' || step.kind === 'usage') await sink(step);
    else return Err(step);
    if (call.signal.aborted) return Err(CUT);
  }
  return Ok.EMPTY;
}

// Follows a stream whose connections do these steps, in the order in which they are opened.
async function follow(connections: Step[][], takingTime = 0) {
  const clock = createManualClock();
  const texts: string[] = [];
  const signals: AbortSignal[] = [];
  const progress = createStreamProgress();
  const { signal } = new AbortController();
  const call = {
    address: 'e:1',
    stream: 's',
    body: {},
    priority: 0,
    hasOwnConnection: true,
    signal,
  };
  const connect = (opened: EngineCall, sink: EngineSink) => {
    signals.push(opened.signal);
    return play(clock, connections[signals.length - 1] ?? [UNKNOWN], opened, sink);
  };
  const following = followStream(
    {
      clock,
      engine: {
        run: (opened, sink) => connect(opened, sink),
        resume: (opened, _after, sink) => connect(opened, sink),
      },
      call,
      progress,
      async sink(event) {
        const text = progress.accept(event);
        if (text !== undefined) texts.push(text);
        await sleep(clock, takingTime);
      },
      stallTimeout: STALL_TIMEOUT_MS,
      getTimeLimit: () => TIME_LIMIT_MS,
      isOverBound: () => false,
      onResume: () => undefined,
    },
    'run',
  );
  let isOver = false;
  following.finally(() => {
    isOver = true;
  });
  while (!isOver) await clock.advance(10);
  const outcome = await following;
  return { outcome, text: texts.join(''), signals, time: clock.elapsed() };
}

test('a stream that falls silent and goes on is read whole though no other connection answers', async () => {
  const dead = [TIME_LIMIT_MS * 2];
  const { outcome, text } = await follow([[delta(0), 1500, delta(1), USAGE], dead, dead, dead]);
  expect(outcome.ok).toBe(true);
  expect(text).toBe('01');
});

test('a stream on a dead connection is read on over a new one, which replaces the dead one', async () => {
  const first = [delta(0), TIME_LIMIT_MS * 2];
  const { outcome, text, signals, time } = await follow([first, [delta(1), USAGE]]);
  expect(outcome.ok).toBe(true);
  expect(text).toBe('01');
  expect(signals[0]?.aborted).toBe(true);
  expect(time).toBeLessThan(STALL_TIMEOUT_MS * 2);
});

test('events that two connections bring are passed on once', async () => {
  const first = [delta(0), 150, delta(1), delta(2), USAGE];
  const { text } = await follow([first, [20, delta(1), 60, delta(2), USAGE]]);
  expect(text).toBe('012');
});

test('a reader that takes its time is no silence of the engine', async () => {
  const { outcome, signals } = await follow([[delta(0), delta(1), USAGE]], TIME_LIMIT_MS * 2);
  expect(outcome.ok).toBe(true);
  expect(signals).toHaveLength(1);
});

test('a stream that stays silent on every connection ends at its time limit', async () => {
  const dead = [TIME_LIMIT_MS * 4];
  const { outcome, signals, time } = await follow([dead, dead, dead, dead, dead, dead, dead]);
  expect(outcome.val).toMatchObject({ kind: 'failed', ran: 'unknown' });
  expect(signals.every((signal) => signal.aborted)).toBe(true);
  expect(time).toBeGreaterThanOrEqual(TIME_LIMIT_MS);
  expect(time).toBeLessThan(TIME_LIMIT_MS + STALL_TIMEOUT_MS);
});

test('a stream that its engine does not know is given up before the time limit', async () => {
  const { outcome, time } = await follow([[TIME_LIMIT_MS * 4], [UNKNOWN], [UNKNOWN]]);
  expect(outcome.val).toMatchObject({ kind: 'failed', ran: 'unknown' });
  expect(time).toBeLessThan(TIME_LIMIT_MS / 2);
});

test('a stream that the engine begins just after it was asked for it is read whole', async () => {
  const { outcome } = await follow([[STALL_TIMEOUT_MS + 50, delta(0), USAGE], [UNKNOWN]]);
  expect(outcome.ok).toBe(true);
});

test('two replies at once that a stream is unknown are one look at its engine', async () => {
  const run = [STALL_TIMEOUT_MS * 4, delta(0), USAGE];
  const { outcome } = await follow([run, [250, UNKNOWN], [50, UNKNOWN]]);
  expect(outcome.ok).toBe(true);
});
