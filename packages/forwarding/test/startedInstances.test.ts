import { createManualClock } from '@pomeloroad/core';
import { createMemoryRowStore } from '@pomeloroad/storage';
import type { RowStore } from '@pomeloroad/storage';
import { startStreamOrigins } from '../src/origins/streamOrigins';
import type { TakeUp } from '../src/origins/streamOrigins';
import { createTargetHistory } from '../src/origins/targetHistory';
import { createVersionHistory } from '../src/origins/versionHistory';
import { startVersionRows } from '../src/origins/versionRows';
import type { Route } from '../src';

const LLM_V1 = { service: 'llm', version: 'v1' };
const LLM_V2 = { service: 'llm', version: 'v2' };
const ROUTE = { host: 'a', prefix: '/', targets: [{ service: 'llm', weight: 1 }] };

type Clock = ReturnType<typeof createManualClock>;

// Starts an instance that records versions and streams in the store; it serves no version until it is told.
async function startInstance(clock: Clock, rows: RowStore, instance: string) {
  const ending = new AbortController();
  const versions = createVersionHistory(clock);
  const versionRows = startVersionRows({ clock, rows, signal: ending.signal, versions });
  const origins = startStreamOrigins({
    clock,
    rows,
    signal: ending.signal,
    instance,
    versions,
    targets: createTargetHistory(clock),
    countInstances: () => 8,
    getEra: () => 1,
    refreshEndpoints: async () => true,
    refreshVersions: versionRows.refresh,
    areVersionsLoaded: versionRows.isLoaded,
    areSeveralRecorded: versionRows.hasSeveral,
  });
  async function serve(...names: string[]): Promise<void> {
    versions.update(names.map((version) => ({ service: 'llm', version })));
    versionRows.update();
    await clock.advance(500);
  }
  async function find(stream: string): Promise<TakeUp> {
    const found = origins.find(stream, ['llm'], ROUTE as Route);
    await clock.advance(2000);
    return found;
  }
  return { serve, find, note: origins.note, stop: () => ending.abort() };
}

test.each([10_000, 30_000, 60_000, 75_000, 90_000])(
  '%d ms after a roll-out an instance that has just started takes up the streams of others',
  async (time) => {
    const clock = createManualClock();
    const store = createMemoryRowStore();
    const one = await startInstance(clock, store, 'one');
    await one.serve('v1', 'v2');
    await one.serve('v2');
    await clock.advance(time);
    const started = await startInstance(clock, store, 'started');
    await started.serve('v2');
    one.note('a', LLM_V2);
    await clock.advance(200);
    expect((await started.find('a')).kind).not.toBe('unknown');
  },
);

test('streams are recorded no more some time after a roll-out', async () => {
  const clock = createManualClock();
  const store = createMemoryRowStore();
  const one = await startInstance(clock, store, 'one');
  await one.serve('v1', 'v2');
  one.note('a', LLM_V1);
  await one.serve('v2');
  await clock.advance(120_000);
  one.note('b', LLM_V2);
  await clock.advance(1000);
  const partitions = await Promise.all(
    ['0', '1', '2', '3'].map((part) => store.list('origins', part)),
  );
  const values = partitions.flatMap((view) => view.unwrap().rows).map(({ value }) => value);
  expect(values).toEqual(['[]']);
});

test('a version that an instance recorded which is gone for good does not count for ever', async () => {
  const clock = createManualClock();
  const store = createMemoryRowStore(clock.elapsed);
  const gone = await startInstance(clock, store, 'gone');
  const one = await startInstance(clock, store, 'one');
  await gone.serve('v1', 'v2');
  gone.note('a', LLM_V1);
  await clock.advance(1000);
  gone.stop();
  await one.serve('v2');
  await clock.advance(600_000);
  const started = await startInstance(clock, store, 'started');
  await started.serve('v2');
  one.note('b', LLM_V2);
  expect(await started.find('b')).toEqual({ kind: 'any' });
});
