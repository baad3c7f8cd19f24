import { createManualClock, createSilentLog } from '@pomeloroad/core';
import { createDrain } from '../src';

const GRACE_MS = 8000;
const STEP_MS = 50;

// Drains with a request open until `endsAt`; when each thing happened.
async function drainUntil(endsAt: number) {
  const clock = createManualClock();
  const seen: Record<string, number> = {};
  const note = (name: string) => {
    seen[name] ??= clock.elapsed();
  };
  const drain = createDrain({
    clock,
    log: createSilentLog(),
    instance: {
      countOpen: () => (clock.elapsed() < endsAt ? 1 : 0),
      retire: () => note('retired'),
      stop: async () => note('stopped'),
    },
    closeFront: () => note('closed'),
  });
  drain.run(GRACE_MS).then(() => note('ended'));
  const isDrainingAtOnce = drain.isDraining();
  while (seen.ended === undefined && clock.elapsed() <= GRACE_MS) {
    if (drain.isClosing()) note('refusing');
    await clock.advance(STEP_MS);
  }
  return { seen, isDrainingAtOnce };
}

test('an idle instance stops after the notice', async () => {
  const { seen, isDrainingAtOnce } = await drainUntil(0);
  expect(isDrainingAtOnce).toBe(true);
  expect(seen.retired).toBe(0);
  expect(seen.closed).toBeGreaterThanOrEqual(2000);
  expect(seen.ended).toBeLessThan(3000);
});

test('requests that come 3 s after the signal are turned away, not cut', async () => {
  const { seen } = await drainUntil(Infinity);
  expect(seen.refusing).toBeLessThan(3000);
});

test('what is open is waited for, up to the last sixth of the grace at least', async () => {
  const early = await drainUntil(5000);
  expect(early.seen.closed).toBeGreaterThanOrEqual(5000);
  expect(early.seen.ended).toBeLessThan(5200);
  const late = await drainUntil(Infinity);
  expect(late.seen.closed).toBeGreaterThanOrEqual((GRACE_MS * 5) / 6);
  expect(late.seen.ended).toBeLessThan(GRACE_MS);
});
