import { createManualClock, createRandom, createSilentLog, sleep } from '@pomeloroad/core';
import { createMemoryRowStore } from '@pomeloroad/storage';
import type { RowStore } from '@pomeloroad/storage';
import { startRelayDirectory } from '../src/relays/relayDirectory';
import { getRelayKey } from '../src/relays/relayRows';
import { startSharedFeed } from '../src/store/sharedFeed';

// Instances that know each other from one store; `gone` has those that were taken for gone. The store's
// answers to writes may come late.
async function createStand() {
  const clock = createManualClock();
  const rows = createMemoryRowStore();
  const gone: string[] = [];
  const counted = new Set(['one', 'two']);
  const link = { answerDelay: 0 };
  const transact: RowStore['transact'] = async (transaction) => {
    const written = await rows.transact(transaction);
    if (link.answerDelay > 0) await sleep(clock, link.answerDelay);
    return written;
  };
  const start = (instance: string) => {
    const stop = new AbortController();
    const log = createSilentLog();
    const following = { clock, log, rows: { ...rows, transact }, signal: stop.signal };
    const self = { instance, dataCentre: 'kent', address: `${instance}:1`, secret: instance };
    const directory = startRelayDirectory({
      ...following,
      random: createRandom(1),
      feed: startSharedFeed(following),
      self,
      listInstances: () => [...counted],
      onGone: (name) => gone.push(name),
    });
    return { ...directory, stop };
  };
  const one = start('one');
  const two = start('two');
  await clock.advance(1000);
  return { clock, rows, link, counted, one, two, gone };
}

/** Two sweeps at their longest interval, and the time without a lease. */
const SWEPT_MS = 75_000;

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

test('what an older copy lost before the store answered is told again', async () => {
  const { clock, rows, link, one, two } = await createStand();
  const comeBack = rows.copy();
  link.answerDelay = 1000;
  one.setCutOff(true);
  await clock.advance(100);
  comeBack();
  await clock.advance(5000);
  expect(two.list()).toMatchObject([{ instance: 'one', isCutOff: true }]);
});

test('a row that was removed before the store answered is written again', async () => {
  const { clock, rows, link, one, two } = await createStand();
  link.answerDelay = 1000;
  one.setCutOff(true);
  await clock.advance(100);
  await rows.transact({ checks: [], puts: [], removals: [getRelayKey('one')] });
  await clock.advance(5000);
  expect(two.list()).toMatchObject([{ instance: 'one', isCutOff: true }]);
});

test('the row of an instance that is gone, which an older copy brought back, goes after some time', async () => {
  const { clock, rows, counted, one, two } = await createStand();
  const comeBack = rows.copy();
  one.withdraw();
  await clock.advance(1000);
  one.stop.abort();
  counted.delete('one');
  comeBack();
  await clock.advance(2000);
  expect(two.list()).toMatchObject([{ instance: 'one' }]);
  await clock.advance(SWEPT_MS);
  expect(two.list()).toEqual([]);
});

test('the rows of instances that renew their leases stay, and others where an instance counts nobody', async () => {
  const { clock, counted, two, gone } = await createStand();
  await clock.advance(SWEPT_MS);
  counted.clear();
  await clock.advance(SWEPT_MS);
  expect(two.list()).toMatchObject([{ instance: 'one' }]);
  expect(gone).toEqual([]);
});

test('the row of an instance that is cut off from the store for some seconds stays', async () => {
  const { clock, counted, gone } = await createStand();
  await clock.advance(SWEPT_MS);
  counted.delete('one');
  await clock.advance(SWEPT_MS / 3);
  counted.add('one');
  await clock.advance(SWEPT_MS);
  expect(gone).toEqual([]);
});

test('an instance that lives and was not counted for some time is known again', async () => {
  const { clock, counted, one, two, gone } = await createStand();
  counted.delete('one');
  await clock.advance(SWEPT_MS);
  counted.add('one');
  await clock.advance(2000);
  expect(gone).toContain('one');
  expect(two.list()).toMatchObject([{ instance: 'one' }]);
  one.stop.abort();
});
