import { createManualClock, Diagnostics } from '@pomeloroad/core';
import type { LogFields } from '@pomeloroad/core';
import { createMetrics } from '@pomeloroad/telemetry';
import { createForwardMetrics } from '../src';
import { createRecentEnds } from '../src/ends/recentEnds';

// Creates a memory of ends, its lines, and the metrics that it counts in.
function createStand() {
  const clock = createManualClock();
  const lines: LogFields[] = [];
  const metrics = createMetrics();
  const ends = createRecentEnds({
    clock,
    log: (event, fields) => lines.push({ code: event.code, ...fields }),
    metrics: createForwardMetrics(metrics),
  });
  const add = (request: string, id = 'e', born = 1, at = clock.elapsed()) =>
    ends.add({ name: `${id}/${born}`, id, born }, { request, at, timeLeft: 1800.4, events: 3 });
  return { clock, lines, metrics, ends, add, watched: ends.watch(() => {}) };
}

test('the ends of an endpoint that fails within a second are named', async () => {
  const { clock, lines, metrics, ends, add } = createStand();
  add('old');
  await clock.advance(600);
  add('a');
  add('of another', 'f');
  await clock.advance(300);
  add('b');
  await clock.advance(200);
  ends.noteFate('e/1', 'failed');
  expect(lines).toEqual([
    {
      code: 7007,
      endpoint: 'e',
      fate: 'failed',
      ends: 2,
      requests: 'b 200 ago 1800 left 3 events, a 500 ago 1800 left 3 events',
    },
  ]);
  expect(metrics.render()).toContain('pomeloroad_ends_before_loss_total{fate="failed"} 2');
});

test('an end is named once, and no line tells of an endpoint without one', async () => {
  const { lines, ends, add } = createStand();
  ends.noteFate('e/1', 'failed');
  add('a');
  ends.noteFate('e/1', 'unreachable');
  ends.noteFate('e/1', 'failed');
  expect(lines).toMatchObject([{ fate: 'unreachable', requests: 'a 0 ago 1800 left 3 events' }]);
});

test('an end of more than a second ago is forgotten', async () => {
  const { clock, lines, ends, add } = createStand();
  add('a');
  await clock.advance(1001);
  ends.noteFate('e/1', 'failed');
  expect(lines).toEqual([]);
});

test('the newest ends are named, the others counted', () => {
  const { lines, ends, add } = createStand();
  for (let index = 0; index < 30; index += 1) add(`r${index}`);
  ends.noteFate('e/1', 'failed');
  expect(lines[0]?.ends).toBe(30);
  const named = String(lines[0]?.requests).split(', ');
  expect([named.length, named[0], named[19]]).toMatchObject([
    20,
    expect.stringMatching(/^r29 0 ago/),
    expect.stringMatching(/^r10 0 ago/),
  ]);
});

test('an end that was read late counts from its arrival', async () => {
  const { clock, lines, ends, add } = createStand();
  await clock.advance(1500);
  add('new');
  add('late', 'e', 1, 400);
  add('late, but recent', 'e', 1, 1000);
  ends.noteFate('e/1', 'failed');
  expect(lines).toMatchObject([{ ends: 2 }]);
  expect(String(lines[0]?.requests)).toMatch(/^late, but recent 500 ago.*, new 0 ago/);
});

test('a bounded number of ends is kept', () => {
  const { lines, ends, add } = createStand();
  for (let index = 0; index < 5000; index += 1) add(`r${index}`);
  ends.noteFate('e/1', 'failed');
  expect(lines[0]?.ends).toBe(2000);
});

test.each([
  [Diagnostics.endpointFailed, { endpoint: 'e/1' }, 'avoided'],
  [Diagnostics.endpointLeaving, { endpoint: 'e/1' }, 'leaving'],
  [Diagnostics.endpointLeaving, { endpoint: 'e', born: 1 }, 'leaving'],
  [Diagnostics.endpointUnlisted, { endpoint: 'e', born: 1 }, 'gone'],
  [Diagnostics.endpointUnlisted, { endpoint: 'e', born: 1, isReplaced: true }, 'gone'],
  [Diagnostics.endpointListed, { endpoint: 'e', born: 2 }, 'started again'],
  [Diagnostics.endpointListed, { endpoint: 'e', born: 1, version: '2' }, 'started again'],
  [Diagnostics.endpointListed, { endpoint: 'e', born: 1 }, undefined],
  [Diagnostics.endpointLeaving, { endpoint: 'e', born: 2 }, undefined],
  [Diagnostics.endpointRecovered, { endpoint: 'e/1' }, undefined],
  [Diagnostics.attemptFailed, { endpoint: 'e', outcome: 'broken' }, undefined],
])('%j %j tells that the endpoint is %s', (event, fields, fate) => {
  const { lines, watched, add } = createStand();
  add('a');
  watched(event, fields);
  expect(lines.map((line) => line.fate)).toEqual(fate === undefined ? [] : [fate]);
});

test('a watched log passes its lines on', () => {
  const { ends } = createStand();
  const passed: unknown[] = [];
  ends.watch((...line) => passed.push(line))(Diagnostics.endpointFailed, { a: 1 }, 'ordinary');
  expect(passed).toEqual([[Diagnostics.endpointFailed, { a: 1 }, 'ordinary']]);
});

test.each([
  ['three streams at different events', [0, 5, 20], [1, 2, 3], true],
  ['two streams', [0, 5], [1, 2], false],
  ['three streams at the same event', [0, 5, 20], [3, 3, 3], false],
  ['three streams one after another', [0, 15, 30], [1, 2, 3], false],
  ['three answers without events', [0, 5, 20], [0, 0, 0], false],
  ['three of six', [0, 5, 20, 100, 200, 300], [1, 2, 3, 4, 5, 6], false],
  ['four of seven', [0, 5, 20, 20, 100, 200, 300], [1, 2, 3, 1, 4, 5, 6], true],
] satisfies [string, number[], number[], boolean][])(
  'an endpoint that ends %s has ended them at once: %#',
  (_, times, events, isAtOnce) => {
    const { ends } = createStand();
    const endpoint = { name: 'e/1', id: 'e', born: 1 };
    times.forEach((at, index) => {
      ends.add(endpoint, { request: 'r', at, timeLeft: 1800, events: events[index]! });
    });
    expect(ends.endedAtOnce('e/1')).toBe(isAtOnce);
    expect(ends.endedAtOnce('f/1')).toBe(false);
  },
);

test.each([
  ['in one turn', [0, 30, 60], [0, 0, 0], true],
  ['hardly waiting between them', [0, 30, 60], [0, 8, 20], true],
  ['waiting between them', [0, 30, 60], [0, 8, 21], false],
  ['working for longer than it may', [0, 60, 121], [0, 0, 0], false],
] satisfies [string, number[], number[], boolean][])(
  'ends that a process has read %s are judged by the time for which it waited: %#',
  (_, times, idleTimes, isAtOnce) => {
    const { ends } = createStand();
    const endpoint = { name: 'e/1', id: 'e', born: 1 };
    times.forEach((at, index) => {
      const idleAt = idleTimes[index]!;
      ends.add(endpoint, { request: 'r', at, idleAt, timeLeft: 1800, events: 1 + index });
    });
    expect(ends.endedAtOnce('e/1')).toBe(isAtOnce);
  },
);

test('what an endpoint has ended at once is forgotten after a second', async () => {
  const { clock, ends } = createStand();
  const endpoint = { name: 'e/1', id: 'e', born: 1 };
  [1, 2, 3].forEach((events) => {
    ends.add(endpoint, { request: 'r', at: 0, timeLeft: 1800, events });
  });
  await clock.advance(1000);
  expect(ends.endedAtOnce('e/1')).toBe(true);
  await clock.advance(1);
  expect(ends.endedAtOnce('e/1')).toBe(false);
});
