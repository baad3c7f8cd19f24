import {
  createManualClock,
  createRandom,
  createSystemClock,
  getOwner,
  rankNodes,
  sleep,
  withTimeout,
} from '../src';

test('manual clock runs timers in order of their due times', async () => {
  const clock = createManualClock();
  const calls: string[] = [];
  clock.after(20, () => calls.push('late'));
  clock.after(10, () => calls.push('early'));
  clock.after(15, () => calls.push('cancelled')).cancel();
  await clock.advance(30);
  expect(calls).toEqual(['early', 'late']);
});

test('sleep ends early on abort and leaves no listener', async () => {
  const clock = createManualClock();
  const stop = new AbortController();
  const slept = sleep(clock, 1000, stop.signal);
  stop.abort();
  await expect(slept).resolves.toBeUndefined();
});

test('withTimeout resolves to the fallback after the delay', async () => {
  const clock = createManualClock();
  const never = new Promise<string>(() => {});
  const result = withTimeout(clock, 5, never, 'fallback');
  await clock.advance(5);
  await expect(result).resolves.toBe('fallback');
});

test('the same seed gives the same random numbers', () => {
  const draw = (seed: number) => {
    const random = createRandom(seed);
    return [random.integer(0, 1000), random.integer(0, 1000), random.integer(0, 1000)];
  };
  expect(draw(3)).toEqual(draw(3));
  expect(draw(3)).not.toEqual(draw(4));
});

test('rendezvous hashing moves only the keys of a removed node', () => {
  const nodes = ['a', 'b', 'c', 'd'];
  const keys = Array.from({ length: 200 }, (_, index) => `key-${index}`);
  const rest = nodes.filter((node) => node !== 'c');
  keys.forEach((key) => {
    const owner = getOwner(key, nodes);
    expect(rankNodes(key, nodes)[0]).toBe(owner);
    if (owner !== 'c') expect(getOwner(key, rest)).toBe(owner);
  });
});

// Guards against time limits that pass at once because they are longer than a timer takes.
test('a timer longer than Node.js takes does not fire at once', async () => {
  const clock = createSystemClock();
  const calls: string[] = [];
  const timer = clock.after(2 ** 40, () => calls.push('fired'));
  await sleep(clock, 30);
  timer.cancel();
  expect(calls).toEqual([]);
});
