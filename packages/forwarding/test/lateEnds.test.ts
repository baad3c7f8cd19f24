import { createEndHistory } from '../src/ends/endHistory';
import { forwardTo } from './answerStand';
import type { StandAnswer } from './answerStand';

const APART: StandAnswer = { events: [100], sinceEvent: 60 };
const REPEATS: StandAnswer = { repeats: true, sinceEvent: 60 };
const SECOND: StandAnswer = { ...REPEATS, again: {} };
const BROKEN: StandAnswer = { events: [100], end: 'broken' };

// The history of a service of which so many ends apart from the last event were confirmed.
async function confirmEnds(count: number) {
  const history = createEndHistory();
  for (let index = 0; index < count; index += 1) await forwardTo([APART, SECOND], {}, 2, history);
  return history;
}

test('where ends are known to come late, a second one at the same event confirms the first', async () => {
  const history = await confirmEnds(3);
  const { calls, answered } = await forwardTo([APART, REPEATS], {}, 2, history);
  expect(calls).toEqual(['begin', 'end']);
  expect(answered).toMatchObject({ events: 1, resumptions: 1 });
});

test.each([
  ['fewer than three are confirmed', 2, [APART, REPEATS]],
  ['the stream broke off', 3, [BROKEN, { ...REPEATS, again: { end: 'broken' } }]],
  ['the second one leaves', 3, [APART, { ...REPEATS, state: 'leaving' }]],
  ['the second one is near its limit', 3, [APART, { ...REPEATS, pause: 1500 }]],
] satisfies [string, number, StandAnswer[]][])(
  'a second late end does not confirm the first because %s',
  async (_, count, answers) => {
    const history = await confirmEnds(count);
    expect((await forwardTo(answers, {}, 2, history)).calls).toEqual(['begin', 'cut']);
  },
);

test('an end apart is not usual at an endpoint whose latest checked end came too early', async () => {
  const history = await confirmEnds(20);
  expect((await forwardTo([APART], {}, 1, history)).calls).toEqual(['begin', 'end']);
  history.noteChecked('e1/1', true);
  expect((await forwardTo([APART], {}, 1, history)).calls).toEqual(['begin', 'cut']);
});

test('an endpoint whose latest checked end came too early does not confirm another late end', async () => {
  const history = await confirmEnds(3);
  history.noteChecked('e2/1', true);
  const { calls } = await forwardTo([APART, REPEATS], {}, 2, history);
  expect(calls).toEqual(['begin', 'cut']);
});

test('late ends are known no more once one came too early', async () => {
  const history = await confirmEnds(3);
  await forwardTo([APART, { repeats: true, events: [0] }], {}, 2, history);
  expect((await forwardTo([APART, REPEATS], {}, 2, history)).calls).toEqual(['begin', 'cut']);
});

test('the only endpoint that can be asked does not confirm its own late end by another one', async () => {
  const history = await confirmEnds(3);
  const again: StandAnswer = { ...REPEATS, again: { end: 'broken' } };
  const { calls } = await forwardTo([{ ...APART, again }], {}, 1, history);
  expect(calls).toEqual(['begin', 'cut']);
});
