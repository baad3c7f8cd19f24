import { createManualClock } from '@pomeloroad/core';
import { createMemoryRowStore } from '@pomeloroad/storage';
import type { RowStore } from '@pomeloroad/storage';
import type { EndpointRecord } from '../src';
import { createVersionHistory } from '../src/origins/versionHistory';
import { startVersionRows } from '../src/origins/versionRows';

type Clock = ReturnType<typeof createManualClock>;

function createRecord(version: string): EndpointRecord {
  const place = { service: 'llm', dataCentre: 'kent', address: '10.0.0.1:80' };
  return { id: version, born: 1, sequence: 1, isLeaving: false, concurrency: 4, version, ...place };
}

// Starts an instance; it serves no version until it is told.
async function startInstance(clock: Clock, rows: RowStore) {
  const stop = new AbortController();
  const versions = createVersionHistory(clock);
  const recorded = startVersionRows({ clock, rows, signal: stop.signal, versions });
  await clock.advance(100);
  async function serve(...names: string[]): Promise<void> {
    versions.update(names.map(createRecord));
    recorded.update();
    await clock.advance(100);
  }
  return {
    serve,
    refresh: recorded.refresh,
    stop: () => stop.abort(),
    hasSeveral: () => versions.hasSeveral('llm'),
  };
}

async function countRows(rows: RowStore): Promise<number> {
  const view = await rows.list('versions', '');
  return view.unwrap().rows.length;
}

test('a version that served before all instances were killed counts for those that start', async () => {
  const clock = createManualClock();
  const rows = createMemoryRowStore();
  const first = await startInstance(clock, rows);
  await first.serve('v1');
  first.stop();
  const second = await startInstance(clock, rows);
  await second.serve('v2');
  expect(second.hasSeveral()).toBe(true);
  await clock.advance(16_000);
  expect(second.hasSeveral()).toBe(false);
});

test('the only version there ever was is the only one after a restart', async () => {
  const clock = createManualClock();
  const rows = createMemoryRowStore();
  const first = await startInstance(clock, rows);
  await first.serve('v1');
  first.stop();
  const second = await startInstance(clock, rows);
  await second.serve('v1');
  expect(second.hasSeveral()).toBe(false);
});

test('the row of a version that is gone is removed once no stream of it is left', async () => {
  const clock = createManualClock();
  const rows = createMemoryRowStore();
  const first = await startInstance(clock, rows);
  await first.serve('v1', 'v2');
  expect(await countRows(rows)).toBe(2);
  await first.serve('v2');
  await clock.advance(40_000);
  expect(await countRows(rows)).toBe(2);
  await clock.advance(40_000);
  expect(await countRows(rows)).toBe(1);
});

test('a row that the store has lost is written again', async () => {
  const clock = createManualClock();
  const rows = createMemoryRowStore();
  const comeBack = rows.copy();
  const first = await startInstance(clock, rows);
  await first.serve('v1');
  comeBack();
  expect(await countRows(rows)).toBe(0);
  await clock.advance(12_000);
  expect(await countRows(rows)).toBe(1);
});

/** Starts two instances that know one version; the first one knows another one for a while, `times` times. */
async function startUnaware(times: number) {
  const clock = createManualClock();
  const rows = createMemoryRowStore();
  const [first, second] = [await startInstance(clock, rows), await startInstance(clock, rows)];
  await first.serve('v1');
  await second.serve('v1');
  for (let time = 0; time < times; time += 1) {
    await clock.advance(20_000);
    expect(second.hasSeveral()).toBe(false);
    await first.serve('v1', 'v2');
    await first.serve('v1');
    await second.refresh();
  }
  return { clock, rows, first, second };
}

test('a version that came and went unseen counts once its row is read', async () => {
  const { clock, second } = await startUnaware(1);
  expect(second.hasSeveral()).toBe(true);
  await clock.advance(16_000);
  expect(second.hasSeveral()).toBe(false);
});

test('a version that came back and went unseen counts once its row is read', async () => {
  const { second } = await startUnaware(2);
  expect(second.hasSeveral()).toBe(true);
});

test('the row of a version that only another instance lists stays', async () => {
  const { clock, rows, first } = await startUnaware(0);
  await first.serve('v1', 'v2');
  await clock.advance(15_000);
  expect(await countRows(rows)).toBe(2);
});
