import { createManualClock, createSilentLog } from '@pomeloroad/core';
import { createEndpointDirectory } from '../src';
import type { EndpointRecord } from '../src';

// Timers fire `earlyMs` before their time, because system timers may fire up to 1 ms early.
function setUp(earlyMs = 0) {
  const manual = createManualClock();
  const clock = {
    ...manual,
    after: (delay: number, callback: () => void) => manual.after(delay - earlyMs, callback),
  };
  let changes = 0;
  const onChange = () => {
    changes += 1;
  };
  const replaced: string[] = [];
  const versions: (string | undefined)[] = [];
  const directory = createEndpointDirectory({
    clock,
    log: createSilentLog(),
    onChange,
    onLost: () => undefined,
    onVersionChanged: ({ version }) => versions.push(version),
    onReplaced: (...names) => replaced.push(names.join(' by ')),
  });
  const usable = () =>
    directory
      .list()
      .filter((endpoint) => !endpoint.leaving)
      .map((endpoint) => endpoint.name);
  return { clock, directory, usable, replaced, versions, countChanges: () => changes };
}

function record(changes: Partial<EndpointRecord> = {}): EndpointRecord {
  return {
    id: 'a',
    born: 5,
    sequence: 1,
    service: 'llm',
    address: '10.0.0.1:80',
    dataCentre: 'kent',
    isLeaving: false,
    concurrency: 4,
    ...changes,
  };
}

test('leaving is final within an incarnation', () => {
  const { directory, usable } = setUp();
  directory.upsert(record());
  directory.upsert(record({ sequence: 2, isLeaving: true }));
  directory.upsert(record({ sequence: 3 }));
  expect(usable()).toEqual([]);
});

test('a lower sequence of the same incarnation is ignored', () => {
  const { directory, usable } = setUp();
  directory.upsert(record({ sequence: 4, isLeaving: true }));
  directory.upsert(record({ sequence: 3 }));
  expect(usable()).toEqual([]);
});

test('a new incarnation under the same id replaces the earlier one', () => {
  const { directory, usable } = setUp();
  directory.upsert(record({ sequence: 9, isLeaving: true }));
  directory.upsert(record({ born: 6, sequence: 1 }));
  expect(usable()).toEqual(['a/6']);
  directory.upsert(record({ born: 5, sequence: 99 }));
  expect(usable()).toEqual(['a/6']);
});

test('a removed entry is no longer used', () => {
  const { directory, usable } = setUp();
  directory.upsert(record());
  directory.remove('a');
  expect(usable()).toEqual([]);
});

test('entries that lapsed in an outage stay usable for a limited time after it', async () => {
  const { clock, directory, usable } = setUp();
  directory.replaceAll([record(), record({ id: 'b' })]);
  directory.markStoreUnavailable();
  await clock.advance(9000);
  directory.markStoreAvailable();
  directory.replaceAll([record()]);
  expect(usable()).toEqual(['a/5', 'b/5']);
  await clock.advance(2300);
  expect(usable()).toEqual(['a/5']);
});

test('an endpoint known to be leaving stays unused during an outage', async () => {
  const { clock, directory, usable } = setUp();
  directory.replaceAll([record(), record({ id: 'b' })]);
  directory.upsert(record({ id: 'b', sequence: 2, isLeaving: true }));
  directory.markStoreUnavailable();
  await clock.advance(5000);
  expect(usable()).toEqual(['a/5']);
});

test('an endpoint whose address another one has taken is not used again in this incarnation', () => {
  const { directory, usable } = setUp();
  directory.upsert(record());
  directory.markReplaced(record(), 'other');
  directory.upsert(record({ sequence: 2 }));
  expect(usable()).toEqual([]);
  directory.upsert(record({ born: 6 }));
  expect(usable()).toEqual(['a/6']);
});

test('an incarnation has started again once a later one has answered, whose entry is not known yet', () => {
  const { directory } = setUp();
  directory.upsert(record());
  directory.markReplaced(record(), 'later');
  directory.upsert(record({ sequence: 2 }));
  expect(directory.getFate(record())).toBe('started again');
});

test('a removal reported by the feed soon after an outage takes effect within a second', async () => {
  const { clock, directory, usable, countChanges } = setUp();
  directory.replaceAll([record(), record({ id: 'b' })]);
  directory.markStoreUnavailable();
  await clock.advance(5000);
  directory.markStoreAvailable();
  directory.replaceAll([record(), record({ id: 'b' })]);
  await clock.advance(700);
  directory.remove('a');
  const before = countChanges();
  await clock.advance(1000);
  expect(usable()).toEqual(['b/5']);
  expect(countChanges()).toBeGreaterThan(before);
});

test('a removal soon after an outage takes effect at once if the entry was renewed since', async () => {
  const { clock, directory, usable } = setUp();
  directory.upsert(record());
  directory.markStoreUnavailable();
  await clock.advance(3000);
  directory.markStoreAvailable();
  directory.replaceAll([record()]);
  await clock.advance(400);
  directory.upsert(record({ sequence: 2 }));
  await clock.advance(400);
  directory.remove('a');
  expect(usable()).toEqual([]);
  expect(directory.getFate(record())).toBe('gone');
});

test('a reading after an outage, newer than what was known, is no renewal', async () => {
  const { clock, directory, usable } = setUp();
  directory.upsert(record());
  directory.markStoreUnavailable();
  await clock.advance(3000);
  directory.markStoreAvailable();
  await clock.advance(1);
  directory.replaceAll([record({ sequence: 2 })]);
  await clock.advance(400);
  directory.remove('a');
  expect(usable()).toEqual(['a/5']);
});

test('a change is reported when a lapsed entry expires', async () => {
  const { clock, directory, countChanges } = setUp();
  directory.replaceAll([record()]);
  directory.markStoreUnavailable();
  await clock.advance(5000);
  directory.markStoreAvailable();
  await clock.advance(2000);
  directory.replaceAll([]);
  const before = countChanges();
  await clock.advance(250);
  expect(countChanges()).toBeGreaterThan(before);
});

test('a lapsed entry expires even if the timer fires early', async () => {
  const { clock, directory, usable } = setUp(0.5);
  directory.replaceAll([record()]);
  directory.markStoreUnavailable();
  await clock.advance(5000);
  directory.markStoreAvailable();
  directory.replaceAll([]);
  await clock.advance(2199.6);
  expect(usable()).toEqual([]);
});

// An endpoint whose entry was removed, and then brought back by an older copy of the store.
function setUpRevived() {
  const fixture = setUp();
  fixture.directory.replaceAll([record(), record({ id: 'b' })]);
  fixture.directory.remove('a');
  fixture.directory.markStoreUnavailable();
  fixture.directory.markStoreAvailable();
  fixture.directory.replaceByCopy([record(), record({ id: 'b' })]);
  return fixture;
}

test('an entry that was removed is not used though an older copy brings it back', async () => {
  const { clock, directory, usable } = setUpRevived();
  expect(usable()).toEqual(['b/5']);
  directory.replaceAll([record(), record({ id: 'b' })]);
  expect(usable()).toEqual(['b/5']);
  await clock.advance(3600);
  expect(usable()).toEqual(['b/5']);
  directory.remove('a');
  await clock.advance(10_000);
  expect(usable()).toEqual(['b/5']);
});

test('an entry that an older copy brings back is used once its endpoint renews it', () => {
  const { directory, usable } = setUpRevived();
  directory.upsert(record());
  expect(usable()).toEqual(['a/5', 'b/5']);
});

test('an entry that an older copy brings back is used if it does not lapse again', async () => {
  const { clock, usable, countChanges } = setUpRevived();
  const before = countChanges();
  await clock.advance(5000);
  expect(usable()).toEqual(['a/5', 'b/5']);
  expect(countChanges()).toBe(before + 1);
});

test('another incarnation that an older copy brings back is used at once', () => {
  const { directory, usable } = setUp();
  directory.replaceAll([record()]);
  directory.remove('a');
  directory.replaceByCopy([record({ born: 6 })]);
  expect(usable()).toEqual(['a/6']);
});

test('an entry that lapsed in the outage before stays usable when the copy brings it back', () => {
  const { directory, usable } = setUp();
  directory.replaceAll([record()]);
  directory.markStoreUnavailable();
  directory.markStoreAvailable();
  directory.remove('a');
  directory.replaceByCopy([record()]);
  expect(usable()).toEqual(['a/5']);
});

test('a later incarnation at the same address has replaced the one before', () => {
  const { directory, replaced } = setUp();
  directory.upsert(record());
  directory.upsert(record({ sequence: 2 }));
  directory.upsert(record({ born: 6 }));
  directory.upsert(record({ born: 7, address: '10.0.0.2:80' }));
  expect(replaced).toEqual(['a/5 by a/6']);
});

test('one in the place of an endpoint that said it leaves is used once its entry is written again', () => {
  const { directory, usable } = setUp();
  directory.upsert(record());
  directory.markLeaving(record());
  directory.upsert(record({ born: 6 }));
  expect(usable()).toEqual([]);
  directory.replaceAll([record({ born: 6 })]);
  expect(usable()).toEqual([]);
  directory.upsert(record({ born: 6, sequence: 2 }));
  expect(usable()).toEqual(['a/6']);
});

test.each([
  ['its entry said so too', () => record({ sequence: 2, isLeaving: true })],
  ['its entry was taken back', () => undefined],
])('one in the place of an endpoint that left is used at once if %s', (_, getLast) => {
  const { directory, usable } = setUp();
  directory.upsert(record());
  directory.markLeaving(record());
  const last = getLast();
  if (last) directory.upsert(last);
  else directory.remove('a');
  directory.upsert(record({ born: 6 }));
  expect(usable()).toEqual(['a/6']);
});

test('an entry of an earlier start and another version is told once, and so is the end of that', () => {
  const { directory, usable, versions } = setUp();
  directory.upsert(record({ version: 'v1' }));
  const earlier = record({ born: 4, version: 'v2' });
  [earlier, { ...earlier, sequence: 2 }].forEach(directory.upsert);
  expect(versions).toEqual(['v2']);
  [2, 3].forEach((sequence) => directory.upsert(record({ version: 'v1', sequence })));
  expect(versions).toEqual(['v2', 'v1']);
  directory.upsert(record({ born: 4, version: 'v1' }));
  expect(versions).toEqual(['v2', 'v1']);
  expect(usable()).toEqual(['a/5/v1']);
});
