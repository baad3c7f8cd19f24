import { createManualClock, createSilentLog } from '@pomeloroad/core';
import { createDrain } from '../src';

const GRACE_MS = 8000;
const STEP_MS = 50;

// Drains with a request open until `endsAt` and a connection that lingers until `closesAt`; returns the time of each step.
async function drainUntil(endsAt: number, closesAt = 0) {
  const clock = createManualClock();
  const times: Record<string, number> = {};
  const record = (name: string) => {
    times[name] ??= clock.elapsed();
  };
  const drain = createDrain({
    clock,
    log: createSilentLog(),
    instance: {
      countOpen: () => (clock.elapsed() < endsAt ? 1 : 0),
      nameOpen: () => 'r1',
      retire: () => record('retired'),
      stop: async () => record('stopped'),
    },
    closeListener: () => record('closed'),
    countLingering: () => (clock.elapsed() < closesAt ? 1 : 0),
    giveUp: () => record('givenUp'),
    cutOpen: () => record('cut'),
  });
  drain.run(GRACE_MS).then(() => record('ended'));
  const isDrainingAtOnce = drain.isDraining();
  while (times.ended === undefined && clock.elapsed() <= GRACE_MS) {
    if (drain.isRejecting()) record('rejecting');
    await clock.advance(STEP_MS);
  }
  return { times, isDrainingAtOnce };
}

test('answers that are still open are cut before the process exits', async () => {
  const { times } = await drainUntil(Infinity);
  expect(times.cut).toBeGreaterThanOrEqual(times.stopped ?? Infinity);
  expect(times.cut).toBeLessThanOrEqual(times.ended ?? 0);
});

test('an idle instance stops after the notice period', async () => {
  const { times, isDrainingAtOnce } = await drainUntil(0);
  expect(isDrainingAtOnce).toBe(true);
  expect(times.retired).toBe(0);
  expect(times.closed).toBeGreaterThanOrEqual(2000);
  expect(times.ended).toBeLessThan(3000);
});

test('requests that arrive 3 s after the signal are refused, not cut off', async () => {
  const { times } = await drainUntil(Infinity);
  expect(times.rejecting).toBeLessThan(3000);
});

test('the drain waits for open requests until the last sixth of the grace period or later', async () => {
  const early = await drainUntil(5000);
  expect(early.times.closed).toBeGreaterThanOrEqual(5000);
  expect(early.times.ended).toBeLessThan(5200);
  const late = await drainUntil(Infinity);
  expect(late.times.closed).toBeGreaterThanOrEqual((GRACE_MS * 5) / 6);
  expect(late.times.ended).toBeLessThan(GRACE_MS);
});

test('the drain waits for answers until half a second before the forced end', async () => {
  const { times } = await drainUntil(7400);
  expect(times.givenUp).toBeGreaterThanOrEqual(7400);
  expect(times.ended).toBeLessThan(7600);
});

test('requests that are given up have time for an answer before they are cut', async () => {
  const { times } = await drainUntil(Infinity);
  expect((times.cut ?? 0) - (times.givenUp ?? Infinity)).toBeGreaterThanOrEqual(200);
});

test('the process does not exit while a connection lingers, but before its forced end', async () => {
  const waiting = await drainUntil(0, 5000);
  expect(waiting.times.ended).toBeGreaterThanOrEqual(5000);
  const forced = await drainUntil(0, Infinity);
  expect(forced.times.ended).toBeLessThan(GRACE_MS);
});
