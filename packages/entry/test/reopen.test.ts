import { createManualClock } from '@pomeloroad/core';
import type { ManualClock } from '@pomeloroad/core';
import { createRefusal } from '@pomeloroad/requests';
import type { Refusal } from '@pomeloroad/requests';
import type { AnswerSource } from '../src/answerSource';
import { createReopen } from '../src/reopen';
import type { RunRequest } from '../src/runRequest';

const NAMED = { id: 'r', name: { account: 'a', key: 'k' } } as RunRequest;
const SOURCE = { run: 'r' } as AnswerSource;
const UNREACHABLE = createRefusal('outcome_unknown', 'unknown', 'out of reach', 5000);
const GONE = createRefusal('outcome_unknown', 'unknown', 'gone');

function setUp(outcomes: (AnswerSource | Refusal)[], request = NAMED, isIssued = false) {
  const clock = createManualClock();
  const opened: RunRequest[] = [];
  const opener = {
    async open(next: RunRequest) {
      opened.push(next);
      return outcomes[opened.length - 1] ?? UNREACHABLE;
    },
  };
  const issued = isIssued ? { issuer: {} as never, account: 'a' } : undefined;
  return { clock, opened, reopen: createReopen({ clock, opener }, request, issued) };
}

async function finish<T>(clock: ManualClock, work: Promise<T>): Promise<T> {
  await clock.advance(20_000);
  return work;
}

test('an answer under an issued key is read on after its runner fell silent', async () => {
  const { clock, reopen } = setUp([SOURCE], NAMED, true);
  expect(await finish(clock, reopen(3, true))).toBe(SOURCE);
});

test('an answer is read on though its runner is out of reach for a moment', async () => {
  const { clock, opened, reopen } = setUp([UNREACHABLE, UNREACHABLE, SOURCE], NAMED, true);
  expect(await finish(clock, reopen(3, true))).toBe(SOURCE);
  expect(opened).toHaveLength(3);
});

test('an answer whose runner falls silent twice is read on if more of it came in between', async () => {
  const { clock, reopen } = setUp([SOURCE, SOURCE]);
  await finish(clock, reopen(3, true));
  expect(await finish(clock, reopen(4, true))).toBe(SOURCE);
});

test('an answer of which nothing more comes is given up', async () => {
  const { clock, reopen } = setUp([SOURCE, SOURCE]);
  await finish(clock, reopen(3, true));
  expect(await finish(clock, reopen(3, true))).toMatchObject({ code: 'outcome_unknown' });
});

test('a runner that is gone is not waited for', async () => {
  const { clock, opened, reopen } = setUp([GONE], NAMED, true);
  expect(await finish(clock, reopen(3, true))).toBe(GONE);
  expect(opened).toHaveLength(1);
});

test('an answer of which a part was sent is only continued', async () => {
  const { clock, opened, reopen } = setUp([SOURCE, SOURCE]);
  await finish(clock, reopen(0, false));
  await finish(clock, reopen(3, true));
  expect(opened.map((request) => request.isContinuation)).toEqual([false, true]);
});

test('a request without a key is not opened again', async () => {
  const { clock, opened, reopen } = setUp([SOURCE], { ...NAMED, name: undefined });
  expect(await finish(clock, reopen(3, true))).toMatchObject({ code: 'outcome_unknown' });
  expect(opened).toEqual([]);
});
