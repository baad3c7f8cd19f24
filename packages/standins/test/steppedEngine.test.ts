import { createManualClock, createRandom } from '@pomeloroad/core';
import type { ManualClock, Milliseconds } from '@pomeloroad/core';
import { createSteppedEngine } from '../src/steppedEngine';

const STEP_MAX_MS: Milliseconds = 700;
/** Time between two steps, in which a limit may pass that the step before has kept. */
const TURN_MS: Milliseconds = 10;
const SHORTEST_STREAM_MS: Milliseconds = 4 * 20;

/** What became of a stream of four events, and when. */
interface Ending {
  deadline: Milliseconds;
  events: number;
  begunAt?: Milliseconds;
  lastAt?: Milliseconds;
  end?: 'stated' | 'stopped' | 'declined' | 'closed';
  endedAt: Milliseconds;
}

function addStream(
  clock: ManualClock,
  engine: ReturnType<typeof createSteppedEngine>,
  deadline: Milliseconds,
): Ending {
  const ending: Ending = { deadline, events: 0, endedAt: Infinity };
  const endWith = (end: Ending['end']) => () =>
    Object.assign(ending, { end, endedAt: clock.elapsed() });
  engine.add({
    deadline,
    isOpen: () => ending.end === undefined,
    begin: () => Object.assign(ending, { begunAt: clock.elapsed() }),
    sendEvent() {
      ending.events += 1;
      ending.lastAt = clock.elapsed();
      if (ending.events === 4) endWith('stated')();
    },
    stop: endWith('stopped'),
    decline: endWith('declined'),
  });
  return ending;
}

async function play(seed: number, deadlines: Milliseconds[]): Promise<Ending[]> {
  const clock = createManualClock();
  const engine = createSteppedEngine(clock, createRandom(seed));
  const endings = deadlines.map((deadline) => addStream(clock, engine, deadline));
  await clock.advance(60_000);
  expect(engine.countWaiting()).toBe(0);
  return endings;
}

const LIMITS = [1000, 1400, 1800, 2200, 2500, 1200, 1600, 2000, 2400, 2450];

async function playSeeds(): Promise<Ending[]> {
  const seeds = Array.from({ length: 40 }, (_, index) => index + 1);
  return (await Promise.all(seeds.map((seed) => play(seed, LIMITS)))).flat();
}

test('a stream is stopped at most a step before the limit, and no event comes after it', async () => {
  const endings = await playSeeds();
  const stopped = endings.filter(({ end }) => end === 'stopped');
  expect(stopped.length).toBeGreaterThan(40);
  const leftAtEnds = stopped.map(({ deadline, endedAt }) => deadline - endedAt);
  expect(Math.min(...leftAtEnds)).toBeGreaterThanOrEqual(-TURN_MS);
  expect(Math.max(...leftAtEnds)).toBeLessThan(STEP_MAX_MS);
  expect(Math.max(...leftAtEnds)).toBeGreaterThan(STEP_MAX_MS / 2);
  const late = endings.filter(({ lastAt = 0, deadline }) => lastAt > deadline);
  expect(late).toEqual([]);
});

test('streams are stopped both with their last event and apart from it, after one event at least', async () => {
  const stopped = (await playSeeds()).filter(({ end }) => end === 'stopped');
  const apart = stopped.filter(({ lastAt, endedAt }) => endedAt !== lastAt);
  expect(apart.length).toBeGreaterThan(10);
  expect(stopped.length - apart.length).toBeGreaterThan(10);
  expect(stopped.filter(({ events }) => events === 0)).toEqual([]);
});

test('a stream whose limit passes in the line is declined and never begins', async () => {
  const declined = (await playSeeds()).filter(({ end }) => end === 'declined');
  expect(declined.length).toBeGreaterThan(40);
  expect(declined.filter(({ begunAt }) => begunAt !== undefined)).toEqual([]);
});

test('a stream with time left is made whole, though its caller came to a busy engine', async () => {
  const endings = await play(1, [...Array<number>(9).fill(Infinity)]);
  expect(endings.map(({ end }) => end)).toEqual(Array(9).fill('stated'));
  expect(endings[0]?.endedAt).toBeGreaterThanOrEqual(SHORTEST_STREAM_MS);
  expect(endings[8]?.begunAt).toBeGreaterThanOrEqual(endings[5]?.endedAt ?? Infinity);
});

test('a stream that its reader has left gets no more events, and the engine goes on with the next', async () => {
  const clock = createManualClock();
  const engine = createSteppedEngine(clock, createRandom(1));
  const streams = [1, 2, 3, 4].map(() => addStream(clock, engine, Infinity));
  Object.assign(streams[0] as Ending, { end: 'closed', endedAt: clock.elapsed() });
  await clock.advance(20_000);
  expect(streams.map(({ end, events }) => `${end} ${events}`)).toEqual([
    'closed 0',
    ...Array<string>(3).fill('stated 4'),
  ]);
});
