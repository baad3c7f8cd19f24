import { createPauseGuard } from '../src';
import type { Clock, Milliseconds } from '../src';

/** A clock whose timers run only when the test says so, as those of a process that is held up. */
function createLateClock() {
  let elapsed: Milliseconds = 0;
  let tick = () => {};
  const clock: Clock = {
    now: () => new Date(elapsed),
    elapsed: () => elapsed,
    idle: () => 0,
    after(_, callback) {
      tick = callback;
      return { cancel: () => {} };
    },
  };
  return {
    clock,
    pass(time: Milliseconds) {
      elapsed += time;
    },
    tick: () => tick(),
  };
}

test('the time for which a process was held up counts before its timers run again', () => {
  const { clock, pass, tick } = createLateClock();
  const guard = createPauseGuard(clock, async () => {});
  pass(200);
  tick();
  pass(1700);
  // Connections are read before timers run.
  expect(guard.getHeldUpTime()).toBe(1500);
  tick();
  expect(guard.getHeldUpTime()).toBe(1500);
  pass(200);
  expect(guard.getHeldUpTime()).toBe(1500);
});

test('a check between two timers does not hide that the second one is late', async () => {
  const { clock, pass, tick } = createLateClock();
  const guard = createPauseGuard(clock, async () => {});
  pass(190);
  await guard.waitUntilFresh();
  pass(310);
  tick();
  expect(guard.getHeldUpTime()).toBe(300);
});
