import { createManualClock, createSilentLog } from '@pomeloroad/core';
import { drainInstance } from '../src/drain';
import type { DrainHost } from '../src/drain';

const DRAIN_TIMEOUT_MS = 60_000;

/** A drain of an idle instance that witnesses grants of lost holders; `logs` counts them. */
function startDrain(drainTimeout = DRAIN_TIMEOUT_MS) {
  const clock = createManualClock();
  const witnessed = { logs: 1 };
  let isStopped = false;
  const settings = { instance: 'a', drainTimeout, drainNotice: 0 };
  const done = async () => undefined;
  const host = {
    clock,
    log: createSilentLog(),
    settings,
    fleet: { leave: done, withdraw: done, getLocalInstances: () => ['a'] },
    callers: { close: done, open: () => 0 },
    operators: { close: done },
    runner: { running: () => 0 },
    budgets: { countPendingSettlements: () => 0 },
    keepers: {
      countOrphanedLogs: async () => witnessed.logs,
      settle: done,
      close: async () => true,
    },
    network: { close: done },
    stopLoops: () => {
      isStopped = true;
    },
  } as unknown as DrainHost;
  drainInstance(host);
  return { clock, witnessed, isStopped: () => isStopped };
}

test('a drain waits until a successor has read the log of a lost holder', async () => {
  const { clock, witnessed, isStopped } = startDrain();
  await clock.advance(10_000);
  expect(isStopped()).toBe(false);
  witnessed.logs = 0;
  await clock.advance(1000);
  expect(isStopped()).toBe(true);
});

test.each([60_000, 5000])('a drain of %d ms ends though no successor comes', async (timeout) => {
  const { clock, isStopped } = startDrain(timeout);
  await clock.advance(40_000);
  expect(isStopped()).toBe(true);
});
