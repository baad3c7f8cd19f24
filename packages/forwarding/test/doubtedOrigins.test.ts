import { createManualClock } from '@pomeloroad/core';
import { createMemoryRowStore } from '@pomeloroad/storage';
import { LLM_V1, REMEMBERED_MS, startInstance } from './originsStand';

test('the first event of a stream in doubt waits no longer than its run', async () => {
  const clock = createManualClock();
  const one = startInstance(clock, createMemoryRowStore(), 'one', ['v1']);
  await clock.advance(REMEMBERED_MS);
  one.loseStore();
  const stop = new AbortController();
  let isNoted = false;
  const noted = one.note('a', LLM_V1, { kind: 'unproved' }, stop.signal).then(() => {
    isNoted = true;
  });
  await clock.advance(100);
  expect(isNoted).toBe(false);
  stop.abort();
  await clock.advance(0);
  expect(isNoted).toBe(true);
  await noted;
});
