import { createManualClock } from '@pomeloroad/core';
import { createAnswerPauses } from '../src/ends/answerPauses';
import { createPauseHistory } from '../src/ends/pauseHistory';

test('an endpoint without pauses of its own has those of its service', () => {
  const history = createPauseHistory(createManualClock());
  expect(history.getLongest('e1', 's')).toBe(0);
  history.note('e2', 's', 300);
  history.note('e3', 'other', 900);
  expect(history.getLongest('e1', 's')).toBe(300);
  history.note('e1', 's', 40);
  expect(history.getLongest('e1', 's')).toBe(40);
});

test.each([
  [4999, 300],
  [9999, 300],
  [10_000, 20],
])('after %i ms the longest pause is %i', async (time, longest) => {
  const clock = createManualClock();
  const history = createPauseHistory(clock);
  history.note('e', 's', 300);
  await clock.advance(4999);
  history.note('e', 's', 20);
  await clock.advance(time - 4999);
  if (time >= 5000) history.note('e', 's', 20);
  expect(history.getLongest('e', 's')).toBe(longest);
});

test('many endpoints do not make the history grow for ever', () => {
  const history = createPauseHistory(createManualClock());
  history.note('first', 'none', 300);
  for (let index = 0; index < 1000; index += 1) history.note(`e${index}`, `s${index}`, 1);
  expect(history.getLongest('first', 'none')).toBe(0);
});

test('the pauses of an answer begin with its second part', async () => {
  const clock = createManualClock();
  const pauses = createAnswerPauses({ clock, getHeldUpTime: () => 0 });
  expect(pauses.getFirst()).toBeUndefined();
  await clock.advance(700);
  expect(pauses.note()).toBeUndefined();
  await clock.advance(200);
  expect(pauses.note()).toBe(200);
  await clock.advance(50);
  expect(pauses.note()).toBe(50);
  expect([pauses.getFirst(), pauses.getLongest()]).toEqual([700, 200]);
});

test('events of one step show no pause', async () => {
  const clock = createManualClock();
  const pauses = createAnswerPauses({ clock, getHeldUpTime: () => 0 });
  await clock.advance(800);
  pauses.note();
  await clock.advance(1);
  expect(pauses.note()).toBeUndefined();
  expect([pauses.getFirst(), pauses.getLongest()]).toEqual([800, 0]);
});

test('time for which the process was held up counts for no pause', async () => {
  const clock = createManualClock();
  let heldUp = 0;
  const pauses = createAnswerPauses({ clock, getHeldUpTime: () => heldUp });
  pauses.note();
  await clock.advance(1600);
  heldUp = 1500;
  expect(pauses.note()).toBe(100);
  await clock.advance(50);
  expect(pauses.note()).toBe(50);
});

test('time for which an answer was not read counts for no pause', async () => {
  const clock = createManualClock();
  const pauses = createAnswerPauses({ clock, getHeldUpTime: () => 0 });
  pauses.note();
  await clock.advance(3000);
  pauses.restart();
  await clock.advance(50);
  expect(pauses.note()).toBe(50);
  expect(pauses.getLongest()).toBe(50);
});
