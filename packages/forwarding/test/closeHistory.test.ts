import { createCloseHistory } from '../src/ends/closeHistory';
import type { CloseHistory, WatchedFate } from '../src/ends/closeHistory';

const SERVICE = 's';

function note(history: CloseHistory, fate: WatchedFate, isProven: boolean, count: number): void {
  for (let index = 0; index < count; index += 1) history.note(SERVICE, fate, isProven);
}

test('a close is not unusual where nothing is known', () => {
  expect(createCloseHistory().isCloseUnusual(SERVICE)).toBe(false);
});

test.each([true, false])(
  'a close is unusual where connections were kept (proven: %s)',
  (proven) => {
    const history = createCloseHistory();
    note(history, 'kept', proven, 3);
    expect(history.isCloseUnusual(SERVICE)).toBe(true);
    expect(history.isCloseUnusual('another')).toBe(false);
  },
);

test('a close is usual where connections close after whole answers', () => {
  const history = createCloseHistory();
  note(history, 'kept', true, 10);
  note(history, 'closed', true, 2);
  expect(history.isCloseUnusual(SERVICE)).toBe(false);
});

test('closes with most of the ends that no length proves are usual in the end', () => {
  const history = createCloseHistory();
  note(history, 'kept', true, 30);
  note(history, 'closed', false, 9);
  expect(history.isCloseUnusual(SERVICE)).toBe(true);
  note(history, 'closed', false, 1);
  expect(history.isCloseUnusual(SERVICE)).toBe(false);
});

test('many closes with ends that no length proves stay unusual where more connections are kept', () => {
  const history = createCloseHistory();
  note(history, 'kept', false, 20);
  note(history, 'closed', false, 15);
  expect(history.isCloseUnusual(SERVICE)).toBe(true);
});

test('what was usual is forgotten', () => {
  const history = createCloseHistory();
  note(history, 'closed', true, 10);
  note(history, 'kept', true, 400);
  expect(history.isCloseUnusual(SERVICE)).toBe(true);
});
