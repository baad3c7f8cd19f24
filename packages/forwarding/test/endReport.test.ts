import type { Milliseconds } from '@pomeloroad/core';
import type { EndpointState } from '../src';
import { forwardTo } from './answerStand';

test('a stream’s line tells what its endpoint was told, and of its last event', async () => {
  const { answered, suspicious } = await forwardTo([{ events: [50, 250], pause: 100 }]);
  expect(answered).toMatchObject({
    code: 5006,
    version: 'v1',
    events: 2,
    told: 2750,
    toldAgo: 520,
    firstAfter: 150,
    longestPause: 250,
    lastEventAgo: 120,
    resumptions: 0,
    timeLeft: 1980,
    importance: 'ordinary',
  });
  expect(answered).toHaveProperty('eventsSinceResumption', undefined);
  expect(suspicious).toEqual([]);
});

test('after a resumption, a stream’s line tells what the second endpoint was told', async () => {
  const { answered, suspicious } = await forwardTo([
    { events: [100, 100], pause: 100, end: 'broken' },
    { events: [200], pause: 10 },
  ]);
  expect(answered).toMatchObject({
    version: 'v2',
    events: 3,
    told: 2350,
    toldAgo: 330,
    lastEventAgo: 30,
    resumptions: 1,
    eventsSinceResumption: 1,
    fromVersion: 'v1',
    importance: 'important',
  });
  expect(suspicious).toEqual([]);
});

test('a cut stream’s line tells the same', async () => {
  const { answered, calls } = await forwardTo([{ events: [100], pause: 300, end: 'broken' }]);
  expect(calls).toEqual(['begin', 'cut']);
  expect(answered).toMatchObject({
    code: 5007,
    told: 2750,
    toldAgo: 500,
    lastEventAgo: 300,
    resumptions: 0,
  });
});

test('the line of a whole answer in chunks tells when its last bytes came', async () => {
  const { answered } = await forwardTo([{ end: 'whole', events: [200], pause: 50 }]);
  expect(answered).toMatchObject({ told: 2750, toldAgo: 370, lastEventAgo: 70, resumptions: 0 });
});

test('the line of a whole answer with a length stays as short as it was', async () => {
  const { answered } = await forwardTo([{ end: 'whole', framing: 'length' }]);
  expect(answered).not.toHaveProperty('told');
});

test.each<[Milliseconds, number]>([
  [1275, 0],
  [1276, 1],
  [2300, 1],
])('an end %i ms after the only event counts as near the limit: %i', async (pause, count) => {
  const { suspicious } = await forwardTo([{ events: [100], pause }]);
  expect(suspicious.map(({ reason }) => reason)).toEqual(Array(count).fill('near limit'));
});

test('the line of a suspicious end tells the course of its answer', async () => {
  const { suspicious, answered, rendered } = await forwardTo([{ events: [100], pause: 2200 }]);
  expect(suspicious).toEqual([
    {
      code: 5012,
      importance: undefined,
      request: 'r',
      endpoint: 'e1',
      version: 'v1',
      reason: 'near limit',
      state: 'sound',
      connection: 'kept',
      end: 'complete',
      framing: 'chunked',
      events: 1,
      resumptions: 0,
      eventsSinceResumption: undefined,
      fromVersion: undefined,
      timeLeft: 100,
      told: 2750,
      toldAgo: 2400,
      firstAfter: 200,
      longestPause: 0,
      lastEventAgo: 2200,
      outcome: 'cut',
    },
  ]);
  expect(answered?.importance).toBe('important');
  expect(rendered).toContain(
    'pomeloroad_suspicious_ends_total{reason="near limit",outcome="cut"} 1',
  );
});

test('an end without an event since the resumption is suspicious', async () => {
  const { suspicious } = await forwardTo([
    { events: [100, 100], pause: 100, end: 'broken' },
    { pause: 20 },
  ]);
  expect(suspicious).toMatchObject([
    {
      endpoint: 'e2',
      version: 'v2',
      reason: 'nothing since resumption',
      events: 2,
      resumptions: 1,
      eventsSinceResumption: 0,
      fromVersion: 'v1',
      timeLeft: 1980,
      told: 2350,
      toldAgo: 120,
      lastEventAgo: 220,
    },
  ]);
});

test('the line of a stream that the caller takes up survives load', async () => {
  const { answered, suspicious } = await forwardTo([{ events: [20] }], { resumes: 'q' });
  expect(answered).toMatchObject({ resumes: 'q', importance: 'important' });
  expect(suspicious).toEqual([]);
});

test('the refusal of a take-up to which nobody answered is an ordinary line', async () => {
  const { lines } = await forwardTo([], { resumes: 'q' });
  const [refused] = lines.filter(({ code }) => code === 5002);
  expect(refused).toMatchObject({ kind: 'no-endpoint', importance: 'ordinary' });
});

test('an end without an event of a stream that the caller takes up is suspicious', async () => {
  const { suspicious } = await forwardTo([{ pause: 20 }], { resumes: 'q', resumeAfter: '3' });
  expect(suspicious).toMatchObject([{ reason: 'nothing since take-up', events: 0 }]);
});

test.each<[EndpointState, string[]]>([
  ['sound', []],
  ['leaving', ['endpoint leaving']],
  ['failing', ['endpoint failing']],
  ['gone', ['endpoint gone']],
])('an end by an endpoint that is %s is suspicious: %j', async (state, reasons) => {
  const { suspicious } = await forwardTo([{ events: [100], state }]);
  expect(suspicious.map(({ reason }) => reason)).toEqual(reasons);
});

test('an end that is not believed is reported with what was done', async () => {
  const { suspicious, calls } = await forwardTo([{ events: [100], pause: 2299 }], {}, 1);
  expect(calls).toEqual(['begin', 'cut']);
  expect(suspicious).toMatchObject([{ reason: 'near limit', timeLeft: 1, outcome: 'cut' }]);
});

test('an end after which the rest is requested is reported before the rest', async () => {
  const { suspicious, lines } = await forwardTo([
    { framing: 'close', events: [100], end: 'closed', state: 'failing' },
    { events: [0] },
  ]);
  expect(suspicious).toMatchObject([{ endpoint: 'e1', end: 'closed', outcome: 'rest requested' }]);
  expect(lines.map(({ code }) => code)).toEqual([5012, 5003, 5006]);
});

test('a whole answer in chunks near its limit is reported as believed or not', async () => {
  const late = await forwardTo([{ end: 'whole', pause: 2300 }]);
  expect(late.suspicious).toMatchObject([
    { reason: 'near limit', timeLeft: 100, told: 2750, lastEventAgo: 2300, outcome: 'disbelieved' },
  ]);
  expect(late.calls).toEqual(['refuse']);
  const last = await forwardTo([{ end: 'whole', pause: 2399 }]);
  expect(last.suspicious).toMatchObject([{ timeLeft: 1, outcome: 'disbelieved' }]);
});

test('a whole answer in chunks by a failing endpoint is asked for elsewhere, and passed on if nobody answers', async () => {
  const { suspicious, calls } = await forwardTo([{ end: 'whole', state: 'failing' }]);
  expect(suspicious).toMatchObject([{ reason: 'endpoint failing', outcome: 'asked elsewhere' }]);
  expect(calls).toEqual(['answer']);
});

test('a whole answer that may be that of the time limit is asked for elsewhere', async () => {
  const { calls, answered } = await forwardTo([{ end: 'whole', pause: 1400 }, { end: 'whole' }]);
  expect(calls).toEqual(['answer']);
  expect(answered).toMatchObject({ endpoint: 'e2', status: 200 });
});

test('a whole answer that ends with its connection is reported as closed', async () => {
  const { suspicious } = await forwardTo([{ end: 'whole', framing: 'close', state: 'failing' }]);
  expect(suspicious).toMatchObject([
    { end: 'closed', framing: 'close', outcome: 'asked elsewhere' },
  ]);
});

test('no end that a length proves is suspicious', async () => {
  const stream = await forwardTo([
    { framing: 'length', events: [100], pause: 2200, state: 'failing' },
  ]);
  const whole = await forwardTo([{ end: 'whole', framing: 'length', pause: 2300 }]);
  expect([stream.suspicious, whole.suspicious]).toEqual([[], []]);
});

test.each<[Milliseconds, string[]]>([
  [400, ['r 420 ago 2300 left 1 events']],
  [1100, []],
])('a stream whose endpoint fails %i ms after its end is named: %j', async (failsAfter, named) => {
  const { lines } = await forwardTo([{ events: [100], failsAfter }]);
  const lost = lines.filter(({ code }) => code === 7007);
  expect(lost.map(({ requests }) => requests)).toEqual(named);
});

test('the line of a doubted end tells what became of its connection', async () => {
  const { suspicious, answered } = await forwardTo([{ end: 'whole', state: 'failing' }]);
  expect(suspicious).toMatchObject([{ connection: 'kept' }]);
  expect(answered).toMatchObject({ end: 'unconfirmed' });
});
