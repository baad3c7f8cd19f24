import { createEndHistory } from '../src/ends/endHistory';
import { forwardTo } from './answerStand';
import type { StandAnswer } from './answerStand';

const BROKEN: StandAnswer = { events: [100], end: 'broken' };
const LEAVING: StandAnswer = { events: [100], state: 'leaving' };
const CLOSED: StandAnswer = { events: [100], framing: 'close', end: 'closed' };
const MORE: StandAnswer = { repeats: true, events: [0, 0] };
const NO_MORE: StandAnswer = { repeats: true };
const DEADLINE = { deadline: 1600 };
/** Leaves more time than the longest pause. */
const LONG = { deadline: 4000 };
// An end after the caller's last event against which something speaks.
const DOUBTED: [string, StandAnswer][] = [
  ['leaves', { repeats: true, state: 'leaving' }],
  ['is gone', { repeats: true, state: 'gone' }],
  ['fails', { repeats: true, state: 'failing' }],
  ['is near its time limit', { repeats: true, pause: 800 }],
];
const CLOSES: StandAnswer = { repeats: true, framing: 'close', end: 'closed' };

test.each([...DOUBTED, ['only closes', CLOSES] as [string, StandAnswer]])(
  'an endpoint that %s does not confirm the end of a stream that broke off',
  async (_, second) => {
    const { answered } = await forwardTo([BROKEN, second, MORE], DEADLINE, 3);
    expect(answered).toMatchObject({ code: 5006, events: 3 });
  },
);

test.each(DOUBTED)('an endpoint that %s does not confirm a doubted end', async (_, second) => {
  const { answered } = await forwardTo([LEAVING, second, MORE], DEADLINE, 3);
  expect(answered).toMatchObject({ code: 5006, events: 3 });
});

test.each(DOUBTED)(
  'an end by an endpoint that %s is cut if nobody else can be asked',
  async (_, second) => {
    expect((await forwardTo([BROKEN, second], DEADLINE)).calls).toEqual(['begin', 'cut']);
    expect((await forwardTo([LEAVING, second], DEADLINE)).calls).toEqual(['begin', 'cut']);
  },
);

test('two closes near the time limit do not confirm each other', async () => {
  const late: StandAnswer = { ...CLOSED, events: [50, 560] };
  const { calls } = await forwardTo([late, CLOSES], { deadline: 900 });
  expect(calls).toEqual(['begin', 'cut']);
});

test.each([
  ['broke off', BROKEN],
  ['a leaving endpoint ended', LEAVING],
])('a close after a stream that %s does not make closes usual', async (_, first) => {
  const history = createEndHistory();
  await forwardTo([first, CLOSES], {}, 2, history);
  const { answered } = await forwardTo([CLOSED, MORE], {}, 2, history);
  expect(answered).toMatchObject({ events: 3, resumptions: 1 });
});

test('a break after the last event does not clear an endpoint that ends streams early', async () => {
  const history = createEndHistory();
  await forwardTo([LEAVING, MORE], {}, 2, history);
  await forwardTo([BROKEN, NO_MORE], {}, 2, history);
  const { answered } = await forwardTo([{ events: [100] }, MORE], {}, 2, history);
  expect(answered).toMatchObject({ events: 3, resumptions: 1 });
});

test.each(DOUBTED.slice(0, 3))(
  'a silent stream goes on although its replacement %s and ends',
  async (_, second) => {
    const { answered } = await forwardTo([{ events: [100, 1500, 0] }, second], LONG);
    expect(answered).toMatchObject({ code: 5006, events: 3 });
  },
);
