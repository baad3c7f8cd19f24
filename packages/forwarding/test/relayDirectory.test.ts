import { createManualClock, createSilentLog } from '@pomeloroad/core';
import { createMemoryRowStore } from '@pomeloroad/storage';
import { startRelayDirectory } from '../src/relays/relayDirectory';
import { startSharedFeed } from '../src/store/sharedFeed';

// Instances that know each other from one store; `gone` has those that were taken for gone.
async function createStand() {
  const clock = createManualClock();
  const rows = createMemoryRowStore();
  const { signal } = new AbortController();
  const gone: string[] = [];
  const start = (instance: string) => {
    const following = { clock, log: createSilentLog(), rows, signal };
    const self = { instance, dataCentre: 'kent', address: `${instance}:1`, secret: instance };
    const feed = startSharedFeed(following);
    return startRelayDirectory({ ...following, feed, self, onGone: (name) => gone.push(name) });
  };
  const one = start('one');
  const two = start('two');
  await clock.advance(1000);
  return { clock, one, two, gone };
}

test('an instance knows of the others that they are cut off, and that they no longer are', async () => {
  const { clock, one, two, gone } = await createStand();
  expect(two.list()).toMatchObject([{ instance: 'one', isCutOff: false }]);
  one.setCutOff(true);
  await clock.advance(1000);
  expect(two.list()).toMatchObject([{ instance: 'one', isCutOff: true }]);
  expect(one.list()).toMatchObject([{ instance: 'two', isCutOff: false }]);
  one.setCutOff(false);
  await clock.advance(1000);
  expect(two.list()).toMatchObject([{ instance: 'one', isCutOff: false }]);
  expect(gone).toEqual([]);
});

test('an instance that is cut off and withdraws is taken out', async () => {
  const { clock, one, two, gone } = await createStand();
  one.setCutOff(true);
  one.withdraw();
  await clock.advance(1000);
  expect(two.list()).toEqual([]);
  expect(gone).toContain('one');
});
