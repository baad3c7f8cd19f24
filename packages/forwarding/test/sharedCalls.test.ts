import { createManualClock, sleep } from '@pomeloroad/core';
import { shareCalls } from '../src/store/sharedCalls';

const CALL_MS = 100;

// Asks at the times; returns when each question was answered and when the calls began.
async function askAt(times: number[]) {
  const clock = createManualClock();
  const begun: number[] = [];
  const answered: number[] = [];
  const ask = shareCalls(async () => {
    begun.push(clock.elapsed());
    await sleep(clock, CALL_MS);
  });
  times.forEach((time) =>
    clock.after(time, async () => {
      await ask();
      answered.push(clock.elapsed());
    }),
  );
  await clock.advance(1000);
  return { begun, answered };
}

test('many questions at one time cost two calls', async () => {
  expect(await askAt([10, 10, 10, 10])).toEqual({
    begun: [10, 110],
    answered: [110, 210, 210, 210],
  });
});

test('a question that comes while a call runs is answered by the next one', async () => {
  const { begun, answered } = await askAt([10, 50, 60, 300]);
  expect(begun).toEqual([10, 110, 300]);
  expect(answered).toEqual([110, 210, 210, 400]);
});
