import { createConfirmers } from '../src/ends/confirmers';
import { createEndHistory } from '../src/ends/endHistory';
import { forwardTo } from './answerStand';
import type { StandAnswer } from './answerStand';

const LEAVING: StandAnswer = { events: [100], state: 'leaving' };
const APART: StandAnswer = { events: [100], sinceEvent: 60 };
const NO_MORE: StandAnswer = { repeats: true };
const MORE: StandAnswer = { repeats: true, events: [0, 0] };
// Sends the last event again, ends some time after it, and sends nothing when it is asked what follows.
const SECOND_APART: StandAnswer = { repeats: true, sinceEvent: 60, again: {} };

// The history of a service one of whose endpoints has ended a stream early.
function createTrouble(endpoint = 'other/1') {
  const history = createEndHistory();
  history.confirmers.noteEarly('s', endpoint);
  return history;
}

test.each([
  ['a doubted end', [LEAVING, NO_MORE]],
  ['an end that comes late', [APART, SECOND_APART]],
  ['a break', [{ events: [100], end: 'broken' }, NO_MORE]],
] satisfies [string, StandAnswer[]][])(
  'after an early end of its service, an endpoint without a record does not confirm %s',
  async (_, answers) => {
    const { calls } = await forwardTo(answers, {}, 2, createTrouble());
    expect(calls).toEqual(['begin', 'cut']);
  },
);

test.each([
  ['has gone on with a stream', 'noteAble'],
  ['has a confirmed end', 'noteConfirmed'],
] as const)('after an early end, an endpoint that %s since confirms others', async (_, note) => {
  const history = createTrouble();
  history.confirmers[note]('s', 'e2/1');
  expect((await forwardTo([LEAVING, NO_MORE], {}, 2, history)).calls).toEqual(['begin', 'end']);
});

test('an endpoint that brings the rest of one stream may confirm the next one', async () => {
  const history = createEndHistory();
  const first = await forwardTo([LEAVING, MORE], {}, 2, history);
  expect(first.answered).toMatchObject({ events: 3 });
  expect(history.confirmers.hasTrouble('s')).toBe(true);
  const more = await forwardTo([LEAVING, NO_MORE], {}, 2, history);
  expect(more.calls).toEqual(['begin', 'end']);
});

test('an endpoint whose latest checked end came too early confirms nothing', async () => {
  const history = createEndHistory();
  history.noteChecked('e2/1', true);
  expect((await forwardTo([LEAVING, NO_MORE], {}, 2, history)).calls).toEqual(['begin', 'cut']);
});

test.each([
  ['has no room', { end: 'declined' }, 'cut'],
  ['breaks off', { end: 'broken' }, 'cut'],
  ['has nothing more', {}, 'end'],
] satisfies [string, StandAnswer, string][])(
  'a full endpoint that %s for what follows the repeated event: %s',
  async (_, again, end) => {
    const full: StandAnswer = { repeats: true, room: 'short', again };
    expect((await forwardTo([LEAVING, full])).calls).toEqual(['begin', end]);
  },
);

test('a full endpoint brings the event that follows the repeated one', async () => {
  const full: StandAnswer = { repeats: true, room: 'short', again: { events: [0, 0] } };
  expect((await forwardTo([LEAVING, full])).answered).toMatchObject({ code: 5006, events: 3 });
});

test('an endpoint with room confirms an end without a further question', async () => {
  const { answered } = await forwardTo([LEAVING, { ...NO_MORE, room: 'free' }]);
  expect(answered).toMatchObject({ code: 5006, resumptions: 1 });
});

test('early ends count until three ends are confirmed or twenty have come', () => {
  const confirmers = createConfirmers();
  const troubled = () => confirmers.hasTrouble('s');
  confirmers.noteEarly('s', 'a');
  for (let count = 1; count < 20; count += 1) confirmers.noteEnd('s');
  expect([troubled(), confirmers.hasTrouble('other')]).toEqual([true, false]);
  confirmers.noteEnd('s');
  expect(troubled()).toBe(false);
  confirmers.noteEarly('s', 'a');
  confirmers.noteConfirmed('s', 'b');
  confirmers.noteConfirmed('s', 'b');
  expect(troubled()).toBe(true);
  confirmers.noteConfirmed('s', 'c');
  expect([troubled(), [...confirmers.listAble('s')]]).toEqual([false, ['b', 'c']]);
});

test('an endpoint that ends early is able no more, and others are until the trouble has passed', () => {
  const confirmers = createConfirmers();
  confirmers.noteEarly('s', 'a');
  confirmers.noteAble('s', 'b');
  confirmers.noteAble('s', 'c');
  confirmers.noteEarly('s', 'b');
  expect([...confirmers.listAble('s')]).toEqual(['c']);
  for (let count = 0; count < 20; count += 1) confirmers.noteEnd('s');
  confirmers.noteEarly('s', 'a');
  expect([...confirmers.listAble('s')]).toEqual([]);
});
