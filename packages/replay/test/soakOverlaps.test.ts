import { createSystemClock } from '@pomeloroad/core';
import type { Milliseconds } from '@pomeloroad/core';
import { createCallerAnswer } from '@pomeloroad/standins';
import type { Work } from '@pomeloroad/standins';
import { createEvidence } from '../src/soak/evidence';

const SENT_AT = 100_000;
const WORK: Work = { route: 'stream', framing: 'chunked', events: 12, pause: 40, fault: 'none' };
const ARRIVAL = { event: 'run', path: '', after: 0, account: 'rich', version: 'v1', body: '' };

/** When the replacement of a silent run ends, after its begin, and how; it begins 100 ms after the other one. */
interface ReplacementEnd {
  event: 'closed' | 'stated' | 'stopped';
  after: Milliseconds;
}

// Opens the evidence of one request; `addLine` adds what an endpoint did so long after it was sent.
function openEvidence(work: Work, answeredAfter: Milliseconds) {
  const clock = { ...createSystemClock(), now: () => new Date(SENT_AT + 5000) };
  const evidence = createEvidence(clock);
  evidence.open({
    ...{ id: 'c8-11', account: 'rich', instance: 'instance-1', life: 1, inputTokens: 1 },
    ...{ resumeAfter: 0, heldVersions: [], runs: [], arrivals: [], lines: [] },
    ...{ work, sentAt: SENT_AT, endedAt: SENT_AT + answeredAfter },
    answer: { ...createCallerAnswer(), status: 200 },
  });
  const addLine = (id: string, after: Milliseconds, line: object) => {
    const at = new Date(SENT_AT + after).toISOString();
    evidence.addLine(id, JSON.stringify({ at, id, request: 'c8-11', run: 1, ...line }));
  };
  return { evidence, addLine };
}

// The first run sends its last event so long after the replacement has begun. The caller's answer ends at a time, and a
// third run may begin at another one.
function judge(
  goesOnFor: Milliseconds,
  end?: ReplacementEnd,
  answeredAfter = 2000,
  thirdAfter?: Milliseconds,
): string[] {
  const { evidence, addLine } = openEvidence(WORK, answeredAfter);
  addLine('endpoint-1', 0, ARRIVAL);
  addLine('endpoint-2', 100, ARRIVAL);
  const { event, after = 0 } = end ?? {};
  if (event) addLine('endpoint-2', 100 + after, { event, number: 1, reason: 'time-limit' });
  if (thirdAfter !== undefined) addLine('endpoint-3', thirdAfter, ARRIVAL);
  addLine('endpoint-1', 100 + goesOnFor, { event: 'sent', number: 1 });
  evidence.judge(true);
  return evidence.failures
    .filter(({ check }) => check === 'one-at-a-time')
    .map((each) => each.message);
}

test('a run that goes on after its replacement was closed in time is the only one', () => {
  expect(judge(900, { event: 'closed', after: 300 })).toEqual([]);
});

test('a run that ends soon after its replacement began is no second one', () => {
  expect(judge(400)).toEqual([]);
});

test.each<[string, ReplacementEnd | undefined]>([
  ['never ends', undefined],
  ['is closed late', { event: 'closed', after: 401 }],
  ['has sent all', { event: 'stated', after: 20 }],
  ['ends early by itself', { event: 'stopped', after: 20 }],
])('a run that goes on beside a replacement that %s is a failure', (_, end) => {
  expect(judge(900, end)).toHaveLength(1);
});

test('a run that goes on after the caller has its answer and the replacement is closed is a failure', () => {
  expect(judge(900, { event: 'closed', after: 300 }, 390)).toHaveLength(1);
});

test('a run that goes on beside a third one after its replacement was closed is a failure', () => {
  expect(judge(900, { event: 'closed', after: 300 }, 2000, 800)).toHaveLength(1);
});

// A stream that may not be resumed reaches a second endpoint after 100 ms, with a replica or without.
function judgeOnce(goesOnFrom: string | undefined, goesOnFor: Milliseconds): string[] {
  const { evidence, addLine } = openEvidence({ ...WORK, route: 'stream-once' }, 2000);
  addLine('endpoint-1', 0, ARRIVAL);
  addLine('endpoint-2', 100, { ...ARRIVAL, goesOnFrom });
  addLine('endpoint-1', 100 + goesOnFor, { event: 'sent', number: 1 });
  evidence.judge(true);
  const checks = ['at-most-once', 'one-at-a-time'];
  return evidence.failures.map(({ check }) => check).filter((check) => checks.includes(check));
}

test.each<[string, string | undefined, Milliseconds, string[]]>([
  ['goes on from a replica runs once', '127.0.0.2:1/c8-11', 400, []],
  ['runs anew runs twice', undefined, 400, ['at-most-once']],
  ['goes on at two endpoints is a failure', '127.0.0.2:1/c8-11', 401, ['one-at-a-time']],
])('a stream that may not be resumed and %s', (_, goesOnFrom, goesOnFor, failed) => {
  expect(judgeOnce(goesOnFrom, goesOnFor)).toEqual(failed);
});
