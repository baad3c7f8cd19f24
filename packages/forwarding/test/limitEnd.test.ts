import { createManualClock } from '@pomeloroad/core';
import type { Milliseconds } from '@pomeloroad/core';
import type { Slot } from '@pomeloroad/routing';
import { createAnswerPauses } from '../src/ends/answerPauses';
import { mayBeLimitEnd } from '../src/ends/limitEnd';
import { createPauseHistory } from '../src/ends/pauseHistory';
import type { RouteKind } from '../src';
import { createResumePoint } from '../src/attempts/resumePoint';
import type { SentAttempt } from '../src/attempts/sentAttempt';
import type { Run } from '../src/run';

const LIMIT_MS: Milliseconds = 2000;

/** An answer by the pauses before its events or parts and before its end. */
interface Answer {
  kind?: RouteKind;
  isResumable?: boolean;
  pauses: Milliseconds[];
  end?: Milliseconds;
  /** Pause that another stream of the same endpoint has shown just before. */
  elsewhere?: Milliseconds;
}

async function judge(answer: Answer): Promise<boolean> {
  const { kind = 'streaming', isResumable = false, pauses, end = 0, elsewhere } = answer;
  const clock = createManualClock();
  const pauseHistory = createPauseHistory(clock);
  if (elsewhere !== undefined) pauseHistory.note('e', 's', elsewhere);
  const run = { host: { pauseHistory }, request: { route: { kind, isResumable }, service: 's' } };
  const attempt = {
    told: { limit: LIMIT_MS, at: clock.elapsed() },
    pauses: createAnswerPauses({ clock, getHeldUpTime: () => 0 }),
    slot: { endpoint: { name: 'e' } } as Slot,
    resumePoint: createResumePoint(undefined),
  };
  for (const pause of pauses) {
    await clock.advance(pause);
    attempt.pauses.note();
  }
  await clock.advance(end);
  const at = clock.elapsed();
  return mayBeLimitEnd(run as unknown as Run<unknown>, attempt as SentAttempt, { at });
}

test.each<[string, Answer, boolean]>([
  ['after quick events', { pauses: [100, 20, 20] }, false],
  ['after quick events late', { pauses: [900, 400, 400] }, true],
  ['two steps before the limit', { pauses: [201, 600] }, true],
  ['more than two steps before it', { pauses: [199, 600] }, false],
  ['after a long wait and quick events', { pauses: [1500, 20, 20] }, false],
  ['with its first event after half of the limit', { pauses: [1001] }, true],
  ['with its first event before that', { pauses: [999] }, false],
  ['after a silence', { pauses: [100, 1381, 20] }, false],
  [
    'with its first event, of an endpoint with short steps',
    { pauses: [1500], elsewhere: 20 },
    true,
  ],
  ['after a pause as long as what is left', { pauses: [100, 20], end: 941 }, true],
  ['after a shorter pause', { pauses: [100, 20], end: 939 }, false],
  ['of an endpoint with long steps', { pauses: [900, 20], elsewhere: 541 }, true],
  ['of an endpoint with shorter ones', { pauses: [900, 20], elsewhere: 539 }, false],
])('an end %s may be that of the time limit', async (_, answer, expected) => {
  expect(await judge(answer)).toBe(expected);
});

test.each<[string, Answer, boolean]>([
  ['with its first event, late enough for half a step in reserve', { pauses: [801] }, true],
  ['with its first event before that', { pauses: [799] }, false],
  ['after a silence', { pauses: [100, 1300, 20] }, true],
  [
    'with a first event that waited for steps that are known',
    { pauses: [801], elsewhere: 20 },
    false,
  ],
  ['beside streams with steps of half a reserve', { pauses: [600, 20], elsewhere: 600 }, false],
  ['beside streams with longer steps', { pauses: [801, 20], elsewhere: 600 }, true],
])(
  'an end of a stream that may be resumed %s may be that of the time limit',
  async (_, answer, expected) => {
    expect(await judge({ isResumable: true, ...answer })).toBe(expected);
  },
);

test.each<[string, Answer, boolean]>([
  ['in one part', { pauses: [1900] }, false],
  ['in parts', { pauses: [502, 500] }, true],
  ['in parts with time left', { pauses: [498, 500] }, false],
  ['beside slow streams', { pauses: [500], elsewhere: 1900 }, false],
])('the end of a whole answer %s may be that of the time limit', async (_, answer, expected) => {
  expect(await judge({ kind: 'non-idempotent', ...answer })).toBe(expected);
});

test.each<[string, Answer, boolean]>([
  ['in one late part', { pauses: [1001] }, true],
  ['in one part in time', { pauses: [999] }, false],
  ['beside slow streams', { pauses: [500], elsewhere: 1900 }, false],
])(
  'the end of an idempotent answer %s may be that of the time limit',
  async (_, answer, expected) => {
    expect(await judge({ kind: 'idempotent', ...answer })).toBe(expected);
  },
);
