import { createApartEnds } from '../src/ends/apartEnds';

function createShared() {
  const ends = createApartEnds();
  ['e1', 'e2', 'e3'].forEach((endpoint) => ends.note('s', endpoint, true, 0));
  return ends;
}

test('ends apart at three endpoints of a service are shared', () => {
  expect([...createShared().listShared('s', 0)]).toEqual(['e1', 'e2', 'e3']);
});

test('ends apart at two endpoints of a service are not shared', () => {
  const ends = createApartEnds();
  ['e1', 'e2'].forEach((endpoint) => ends.note('s', endpoint, true, 0));
  ends.note('other', 'e3', true, 0);
  expect(ends.listShared('s', 0).size).toBe(0);
});

test.each<[string, (ends: ReturnType<typeof createShared>) => void]>([
  ['goes on', (ends) => ends.clear('e1')],
  ['ends a stream with its last event', (ends) => ends.note('s', 'e1', false, 1)],
])('an endpoint that %s shares no end any more', (_, show) => {
  const ends = createShared();
  ends.note('s', 'e4', true, 0);
  show(ends);
  expect([...ends.listShared('s', 1)]).toEqual(['e2', 'e3', 'e4']);
});

test('ends apart of a second ago are not of the same time', () => {
  expect(createShared().listShared('s', 999).size).toBe(3);
  expect(createShared().listShared('s', 1000).size).toBe(0);
});
