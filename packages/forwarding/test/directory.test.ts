import { createManualClock, createSilentLog } from '@pomeloroad/core';
import { createEndpointDirectory } from '../src';
import type { EndpointRecord } from '../src';

// `early`: timers of the system may fire up to a millisecond before their time.
function setUp(early = 0) {
  const manual = createManualClock();
  const clock = {
    ...manual,
    after: (delay: number, callback: () => void) => manual.after(delay - early, callback),
  };
  let changes = 0;
  const onChange = () => {
    changes += 1;
  };
  const directory = createEndpointDirectory({ clock, log: createSilentLog(), onChange });
  const usable = () =>
    directory
      .list()
      .filter((endpoint) => !endpoint.leaving)
      .map((endpoint) => endpoint.name);
  return { clock, directory, usable, told: () => changes };
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

test('leaving is final within a life', () => {
  const { directory, usable } = setUp();
  directory.take(record());
  directory.take(record({ sequence: 2, isLeaving: true }));
  directory.take(record({ sequence: 3 }));
  expect(usable()).toEqual([]);
});

test('a lower sequence of the same life never counts', () => {
  const { directory, usable } = setUp();
  directory.take(record({ sequence: 4, isLeaving: true }));
  directory.take(record({ sequence: 3 }));
  expect(usable()).toEqual([]);
});

test('a new life under the same id begins anew', () => {
  const { directory, usable } = setUp();
  directory.take(record({ sequence: 9, isLeaving: true }));
  directory.take(record({ born: 6, sequence: 1 }));
  expect(usable()).toEqual(['a/6']);
  directory.take(record({ born: 5, sequence: 99 }));
  expect(usable()).toEqual(['a/6']);
});

test('a removed entry is not used any more', () => {
  const { directory, usable } = setUp();
  directory.take(record());
  directory.remove('a');
  expect(usable()).toEqual([]);
});

test('entries that lapsed in an outage stay in use for a while after it', async () => {
  const { clock, directory, usable } = setUp();
  directory.replaceAll([record(), record({ id: 'b' })]);
  directory.noteOutage();
  await clock.advance(9000);
  directory.noteReturn();
  directory.replaceAll([record()]);
  expect(usable()).toEqual(['a/5', 'b/5']);
  await clock.advance(2300);
  expect(usable()).toEqual(['a/5']);
});

test('known drains hold during an outage', async () => {
  const { clock, directory, usable } = setUp();
  directory.replaceAll([record(), record({ id: 'b' })]);
  directory.take(record({ id: 'b', sequence: 2, isLeaving: true }));
  directory.noteOutage();
  await clock.advance(5000);
  expect(usable()).toEqual(['a/5']);
});

test('an endpoint whose address another one has is not used again in this life', () => {
  const { directory, usable } = setUp();
  directory.take(record());
  directory.noteReplaced(record());
  directory.take(record({ sequence: 2 }));
  expect(usable()).toEqual([]);
  directory.take(record({ born: 6 }));
  expect(usable()).toEqual(['a/6']);
});

test('a removal that the feed tells soon after an outage counts within a second', async () => {
  const { clock, directory, usable, told } = setUp();
  directory.replaceAll([record(), record({ id: 'b' })]);
  directory.noteOutage();
  await clock.advance(5000);
  directory.noteReturn();
  directory.replaceAll([record(), record({ id: 'b' })]);
  await clock.advance(700);
  directory.remove('a');
  const before = told();
  await clock.advance(1000);
  expect(usable()).toEqual(['b/5']);
  expect(told()).toBeGreaterThan(before);
});

test('placement hears when an entry that lapsed is given up', async () => {
  const { clock, directory, told } = setUp();
  directory.replaceAll([record()]);
  directory.noteOutage();
  await clock.advance(5000);
  directory.noteReturn();
  await clock.advance(2000);
  directory.replaceAll([]);
  const before = told();
  await clock.advance(250);
  expect(told()).toBeGreaterThan(before);
});

test('an entry that lapsed is given up though the timer fires early', async () => {
  const { clock, directory, usable } = setUp(0.5);
  directory.replaceAll([record()]);
  directory.noteOutage();
  await clock.advance(5000);
  directory.noteReturn();
  directory.replaceAll([]);
  await clock.advance(2199.6);
  expect(usable()).toEqual([]);
});
