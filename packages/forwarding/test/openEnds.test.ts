import { forwardTo } from './answerStand';
import type { StandAnswer } from './answerStand';

const DEADLINE_MS = 2500;
const LEAVING: StandAnswer = { events: [100], state: 'leaving' };
const APART: StandAnswer = { events: [100], sinceEvent: 60 };
const UNABLE: StandAnswer = {};
const MORE: StandAnswer = { repeats: true, events: [0, 0] };
// Sends the last event again and ends some time after it.
const REPEATS: StandAnswer = { repeats: true, sinceEvent: 60 };
const BROKEN: StandAnswer = { events: [100], end: 'broken' };
const LONG = { deadline: 4000 };
const SINGLE = {
  route: { kind: 'streaming', isResumable: false, attempts: 2, objective: 4000, targets: [] },
} as never;

test.each([
  ['a doubted end', LEAVING],
  ['an end apart from the last event', APART],
  ['a break', BROKEN],
])(
  'a whole stream is not cut because the endpoint that confirms it after %s ends apart too',
  async (_, first) => {
    const { calls, answered } = await forwardTo([first, { ...REPEATS, again: UNABLE }]);
    expect(calls).toEqual(['begin', 'end']);
    expect(answered).toMatchObject({ code: 5006, events: 1, resumptions: 2 });
  },
);

test('a stream goes on if the endpoint that ended apart has more when it is asked once more', async () => {
  const again: StandAnswer = { events: [0, 0] };
  const { calls, answered } = await forwardTo([APART, { ...REPEATS, again }]);
  expect(calls).toEqual(['begin', 'end']);
  expect(answered).toMatchObject({ code: 5006, events: 3 });
});

test.each([
  ['breaks off', { end: 'broken' }],
  ['leaves', { state: 'leaving' }],
  ['fails', { state: 'failing' }],
  ['only closes', { framing: 'close', end: 'closed' }],
  ['answers late', { pause: 2000 }],
] satisfies [string, StandAnswer][])(
  'an endpoint that ended apart and %s when it is asked once more confirms nothing',
  async (_, again) => {
    const { calls, endedAt } = await forwardTo([APART, { ...REPEATS, again }]);
    expect({ calls, endedAt }).toEqual({ calls: ['begin', 'cut'], endedAt: DEADLINE_MS });
  },
);

test.each([
  ['nobody else can be asked', [LEAVING]],
  ['the other one can not go on', [LEAVING, UNABLE]],
  ['the other one breaks off', [LEAVING, { end: 'broken' }]],
  ['the other one is near its limit as well', [APART, { repeats: true, pause: 1500 }]],
] satisfies [string, StandAnswer[]][])(
  'a whole stream is not cut before its time limit because %s',
  async (_, answers) => {
    const { calls, endedAt } = await forwardTo(answers);
    expect({ calls, endedAt }).toEqual({ calls: ['begin', 'cut'], endedAt: DEADLINE_MS });
  },
);

test('a whole stream ends once the endpoint that could not go on is asked again and confirms it', async () => {
  const late: StandAnswer = { again: { repeats: true } };
  const { calls, endedAt } = await forwardTo([LEAVING, late]);
  expect(calls).toEqual(['begin', 'end']);
  expect(endedAt).toBeLessThan(DEADLINE_MS / 2);
});

test('a stream goes on at the endpoint that ended it, once that has more', async () => {
  const early: StandAnswer = { ...LEAVING, again: MORE };
  const { calls, answered } = await forwardTo([early, { end: 'broken' }]);
  expect(calls).toEqual(['begin', 'end']);
  expect(answered).toMatchObject({ events: 3 });
});

test('the only endpoint of a stream does not confirm its own end, but what follows it', async () => {
  const again: StandAnswer = { repeats: true, again: UNABLE };
  const { calls, answered } = await forwardTo([{ ...APART, again }], {}, 1);
  expect(calls).toEqual(['begin', 'end']);
  expect(answered).toMatchObject({ events: 1, resumptions: 2 });
});

test('the only endpoint of a stream, which closes each time, confirms nothing', async () => {
  const closes: StandAnswer = { framing: 'close', end: 'closed' };
  const again: StandAnswer = { ...closes, repeats: true, again: closes };
  const { calls, endedAt } = await forwardTo([{ ...closes, events: [100], again }], {}, 1);
  expect({ calls, endedAt }).toEqual({ calls: ['begin', 'cut'], endedAt: DEADLINE_MS });
});

test('a whole stream of the only endpoint that can be asked is asked about again after a silent one', async () => {
  const again: StandAnswer = { repeats: true, again: UNABLE };
  const { calls, answered } = await forwardTo([{ ...APART, again }, { pause: 9000 }], LONG);
  expect(calls).toEqual(['begin', 'end']);
  expect(answered).toMatchObject({ events: 1, resumptions: 3 });
});

test('a stream that may not be resumed and ends near its limit stays open until then', async () => {
  const { calls, endedAt } = await forwardTo([{ events: [100], pause: 1800 }, MORE], SINGLE);
  expect({ calls, endedAt }).toEqual({ calls: ['begin', 'cut'], endedAt: DEADLINE_MS });
});

test('an endpoint that answers with an error when it is asked once more is not asked again at once', async () => {
  const again: StandAnswer = { end: 'whole', status: 500 };
  const { answered } = await forwardTo([APART, { ...REPEATS, again }]);
  expect(answered?.runs).toBeLessThan(9);
});

test('an endpoint that answers 404 when it is asked once more does not count as failing', async () => {
  const again: StandAnswer = { end: 'whole', status: 404 };
  const { releases } = await forwardTo([APART, { ...REPEATS, again }]);
  expect(releases).not.toContain('failed');
});

test('a whole stream ends though the endpoint that confirms it is free only after 1.5 s', async () => {
  const { calls, answered } = await forwardTo([APART, { repeats: true, slotAfter: 1500 }], LONG);
  expect(calls).toEqual(['begin', 'end']);
  expect(answered).toMatchObject({ runs: 2, resumptions: 1 });
});

test('a whole stream is confirmed by a third endpoint if the one that ended apart has no room any more', async () => {
  const again: StandAnswer = { end: 'declined', again: { end: 'declined' } };
  const second: StandAnswer = { ...REPEATS, refusals: 1, again };
  const { calls } = await forwardTo([APART, second, { repeats: true }], LONG, 3);
  expect(calls).toEqual(['begin', 'end']);
});

test('a stream that has broken off is cut at once if nobody can go on with it', async () => {
  const { calls, endedAt } = await forwardTo([BROKEN, UNABLE]);
  expect(calls).toEqual(['begin', 'cut']);
  expect(endedAt).toBeLessThan(DEADLINE_MS / 2);
});

test('the line of an answer tells for how long it stayed open', async () => {
  const { answered } = await forwardTo([LEAVING]);
  expect(answered).toMatchObject({ code: 5007, end: 'doubtful', openFor: expect.any(Number) });
  expect(answered?.openFor).toBeGreaterThan(DEADLINE_MS / 2);
});
