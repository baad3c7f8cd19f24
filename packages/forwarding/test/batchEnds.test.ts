import type { ForwardRequest } from '../src';
import { createEndHistory } from '../src/ends/endHistory';
import { forwardTo } from './answerStand';

/** Number of confirmed ends that shows how the streams of a service end. */
const KNOWN_ENDS = 20;
const SINGLE = {
  route: {
    name: 'query',
    kind: 'streaming',
    isResumable: false,
    attempts: 1,
    objective: 4000,
    targets: [],
  },
} as unknown as Partial<ForwardRequest<unknown>>;
/** Ends of two other streams at the moment of the one that is read, which ends 50 ms after its only event. */
const OTHERS = [2, 3].map((events) => ({
  request: `other ${events}`,
  at: 200,
  timeLeft: 2300,
  events,
}));
const ANSWER = { events: [50], pause: 50, sinceEvent: 50 };

// The history of a service whose engines need a step to end a stream, as other endpoints have confirmed.
function createLateHistory() {
  const history = createEndHistory();
  for (let index = 0; index < KNOWN_ENDS; index += 1) {
    history.noteEnd('s', true);
    history.noteCheckedApart('s', false);
  }
  return history;
}

test('streams that end at once and apart are not cut where all of the service end apart', async () => {
  const { calls, suspicious } = await forwardTo([ANSWER], SINGLE, 1, createLateHistory(), OTHERS);
  expect(suspicious).toMatchObject([{ reason: 'endpoint ended several' }]);
  expect(calls).toEqual(['begin', 'end']);
});

test('streams that end at once and apart are cut where others of the service do not end apart', async () => {
  const { calls, suspicious } = await forwardTo([ANSWER], SINGLE, 1, undefined, OTHERS);
  expect(suspicious).toMatchObject([{ reason: 'endpoint ended several apart' }]);
  expect(calls).toEqual(['begin', 'cut']);
});
