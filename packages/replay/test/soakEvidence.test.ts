import { createSystemClock } from '@pomeloroad/core';
import { CALLER_LEFT, createCallerAnswer, PlatformBounds, renderEvent } from '@pomeloroad/standins';
import type { Work } from '@pomeloroad/standins';
import { createEvidence } from '../src/soak/evidence';
import type { EarlyEndCount } from '../src/soak/endChecks';
import type { JoinedCount } from '../src/soak/joinedStreams';
import type { RequestRecord } from '../src/soak/requestRecord';

const SENT_AT = 100_000;
const WORK: Work = {
  route: 'stream-once',
  framing: 'chunked',
  events: 12,
  pause: 40,
  fault: 'none',
};

interface Crash {
  endpoint: string;
  /** Unix time of its line. */
  at: number;
  /** Unix time at which the endpoint was started again. */
  restartedAt?: number;
}

function createRecord(): RequestRecord {
  const base = { id: 'c8-11', account: 'rich', instance: 'instance-1', life: 1, inputTokens: 1 };
  const held = { resumeAfter: 0, heldVersions: [], runs: [], arrivals: [], lines: [] };
  return { ...base, ...held, work: WORK, sentAt: SENT_AT };
}

// A caller sees its answer end 200 ms after it was sent, after one event; what is logged of a crash is read
// when it comes, also later.
function judgeCutAnswer(crash?: Crash): string[] {
  let now = SENT_AT;
  const clock = { ...createSystemClock(), now: () => new Date(now) };
  const evidence = createEvidence(clock);
  const addLine = (id: string, at: number, line: object) =>
    evidence.addLine(id, JSON.stringify({ at: new Date(at).toISOString(), id, ...line }));
  const record = createRecord();
  evidence.open(record);
  const step = { request: record.id, run: 1 };
  const arrival = { path: '/stream-once/', after: 0, account: 'rich', version: 'v1', body: '' };
  addLine('endpoint-2', SENT_AT + 5, { event: 'run', ...step, ...arrival });
  addLine('endpoint-2', SENT_AT + 45, { event: 'sent', ...step, number: 1 });
  now = SENT_AT + 200;
  record.endedAt = now;
  record.answer = { ...createCallerAnswer(), status: 200, body: 'id: 1\n\n', error: 'aborted' };
  now = SENT_AT + 204;
  if (crash) {
    addLine(crash.endpoint, crash.at, { event: 'crash', request: 'c26-1', run: 2 });
    now = crash.restartedAt ?? now;
    evidence.restarted(crash.endpoint);
  }
  evidence.judge(true);
  return evidence.failures
    .filter(({ check, request }) => check === 'answered' && request === record.id)
    .map(({ message }) => message);
}

test('an answer may be cut by a crash of its endpoint that is read after its end', () => {
  expect(judgeCutAnswer({ endpoint: 'endpoint-2', at: SENT_AT + 165 })).toEqual([]);
});

test.each([
  ['no crash', undefined],
  ['a crash of another endpoint', { endpoint: 'endpoint-1', at: SENT_AT + 165 }],
  ['a crash that came after its end', { endpoint: 'endpoint-2', at: SENT_AT + 201 }],
  [
    'a crash whose endpoint had started again long before',
    { endpoint: 'endpoint-2', at: SENT_AT - 9000, restartedAt: SENT_AT - 3001 },
  ],
])('an answer that is cut beside %s is a failure', (_, crash) => {
  expect(judgeCutAnswer(crash)).toEqual(['cut: aborted']);
});

interface EndedAnswer {
  work: Partial<Work>;
  /** Id of the request whose stream the caller takes up, of which it has an event. */
  resumes?: string;
  /** Events that endpoint-1 and then endpoint-2 send before they end the answer. */
  sent: number[];
  /** Events that the caller gets before the end. */
  received: number;
  looksComplete: boolean;
}

// Two endpoints end the answer in order, after the events that each of them sends.
function judgeEndedAnswer({ work, resumes, sent, received, looksComplete }: EndedAnswer) {
  const clock = { ...createSystemClock(), now: () => new Date(SENT_AT) };
  const evidence = createEvidence(clock);
  const resumeAfter = resumes === undefined ? 0 : 1;
  const record: RequestRecord = { ...createRecord(), resumes, resumeAfter };
  record.work = { ...WORK, ...work };
  evidence.open(record);
  sent.forEach((number, index) => {
    const id = `endpoint-${index + 1}`;
    const step = { request: record.id, run: 1, at: new Date(SENT_AT).toISOString(), id };
    const arrival = { path: '', after: resumeAfter, account: 'rich', version: 'v1', body: '' };
    const end = { event: 'stopped', ...step, number, reason: 'preempted' };
    [{ event: 'run', ...step, ...arrival }, end].forEach((line) =>
      evidence.addLine(id, JSON.stringify(line)),
    );
  });
  record.endedAt = SENT_AT + 200;
  const body = 'id: 1\n\n'.repeat(received);
  const answer = { ...createCallerAnswer(), framing: 'chunked' as const, status: 200 };
  record.answer = { ...answer, body, looksComplete };
  evidence.judge(true);
  const failed = evidence.failures.filter(({ check }) => check === 'false-ends');
  return { earlyEnds: evidence.earlyEnds, messages: failed.map(({ message }) => message) };
}

test('an early end that a caller takes for whole is a failure, counted by its kind', () => {
  const work = { route: 'stream', framing: 'close' as const };
  const ended = { work, sent: [1, 2], received: 2, looksComplete: true };
  const { earlyEnds, messages } = judgeEndedAnswer(ended);
  const counts: Record<string, EarlyEndCount> = {
    'preempted, unframed, resumable, first answer': { ended: 1, taken: 0 },
    'preempted, unframed, resumable, resumption': { ended: 1, taken: 1 },
  };
  expect(earlyEnds).toEqual(counts);
  const [message = ''] = messages;
  expect(messages).toHaveLength(1);
  expect(message).toContain('2 of 12 events: preempted, unframed, resumable, resumption');
});

test.each([
  ['looks cut', {}, 3, false, 0],
  ['looks complete and is', { events: 3 }, 3, true, 0],
  ['looks complete and is not', {}, 3, true, 1],
  ['looks complete to a caller that takes it up', { route: 'stream' }, 3, true, 1, 'c8-9'],
  ['is framed by a length that it falls short of', { framing: 'length' as const }, 3, true],
])('an answer that ends early and %s counts as such', (...row) => {
  const [, work, received, looksComplete, taken, resumes] = row;
  const ended = { work, resumes, sent: [1], received, looksComplete };
  const counts = Object.values(judgeEndedAnswer(ended).earlyEnds);
  expect(counts).toEqual(taken === undefined ? [] : [{ ended: 1, taken }]);
});

// An endpoint sends the answer to its end, and the caller sees it end so long after it was sent.
function judgeSentAnswer(route: string, looksComplete: boolean, length: number, error?: string) {
  const clock = { ...createSystemClock(), now: () => new Date(SENT_AT + length) };
  const evidence = createEvidence(clock);
  const record = createRecord();
  record.work = { ...WORK, route, events: 1 };
  evidence.open(record);
  const id = 'endpoint-1';
  const step = { request: record.id, run: 1, at: new Date(SENT_AT).toISOString(), id };
  const arrival = { path: '', after: 0, account: 'rich', version: 'v1', body: '' };
  const ends = ['sent', 'stated'].map((event) => ({ event, ...step, number: 1 }));
  [{ event: 'run', ...step, ...arrival }, ...ends].forEach((line) =>
    evidence.addLine(id, JSON.stringify(line)),
  );
  record.endedAt = SENT_AT + length;
  const body = renderEvent(record.id, 1, 'v1');
  const answer = { ...createCallerAnswer(), status: 200, body };
  record.answer = { ...answer, looksComplete, ...(error === undefined ? {} : { error }) };
  evidence.judge(true);
  const failed = evidence.failures.filter(({ check }) => check === 'whole-cut');
  return { ends: evidence.ends, failed: failed.length };
}

const NO_ENDS = { sound: 1, cut: 0, late: 0, early: 0, taken: 0, answers: 1, mixed: 0 };

test.each([
  ['is cut', 'stream', false, 200, 'aborted', { 'resumable stream': { ...NO_ENDS, cut: 1 } }],
  ['is cut', 'stream-once', false, 200, 'aborted', { 'other stream': { ...NO_ENDS, cut: 1 } }],
  ['is cut', 'once', false, 200, 'aborted', { 'whole answer': { ...NO_ENDS, cut: 1 } }],
  ['looks complete', 'once', true, 200, undefined, { 'whole answer': NO_ENDS }],
  ['is left', 'once', false, 200, CALLER_LEFT, { 'whole answer': { ...NO_ENDS, sound: 0 } }],
  [
    'is cut at its time limit',
    'stream',
    false,
    3800,
    'aborted',
    { 'resumable stream': { ...NO_ENDS, sound: 0, late: 1 } },
  ],
])('a whole answer that %s counts as such: %s', (...row) => {
  const [, route, looksComplete, length, error, ends] = row;
  const failed = Object.values(ends).reduce((sum, { cut }) => sum + cut, 0);
  expect(judgeSentAnswer(route, looksComplete, length, error)).toEqual({ ends, failed });
});

// The caller gets the events after it was sent to two endpoints.
function judgeEvents(route: string, body: string) {
  const clock = { ...createSystemClock(), now: () => new Date(SENT_AT) };
  const evidence = createEvidence(clock);
  const record = { ...createRecord(), work: { ...WORK, route }, endedAt: SENT_AT + 200 };
  evidence.open(record);
  const arrival = { path: '', after: 0, account: 'rich', version: 'v1', body: '' };
  ['endpoint-1', 'endpoint-2'].forEach((id) => {
    const step = { request: record.id, run: 1, at: new Date(SENT_AT).toISOString(), id };
    evidence.addLine(id, JSON.stringify({ event: 'run', ...step, ...arrival }));
  });
  Object.assign(record, { answer: { ...createCallerAnswer(), status: 200, body } });
  evidence.judge(true);
  return Object.entries(evidence.ends).map(([kind, { answers, mixed }]) => [kind, answers, mixed]);
}

const [FIRST, SECOND, THIRD] = [1, 2, 3].map((each) => renderEvent('c8-11', each, 'model/v1'));

test.each([
  ['missing', [FIRST, THIRD], 1],
  ['twice', [FIRST, SECOND, SECOND], 1],
  ['of another request', [FIRST, renderEvent('c8-12', 2, 'model/v1')], 1],
  ['of another version', [FIRST, renderEvent('c8-11', 2, 'model/v2')], 1],
  ['of another service', [FIRST, renderEvent('c8-11', 2, 'board/v1')], 1],
  ['right', [FIRST, SECOND], 0],
])('events that are %s count by the kind of request', (_, events, mixed) => {
  const body = events.join('');
  expect(judgeEvents('stream', body)).toEqual([['resumable stream', 1, mixed]]);
  expect(judgeEvents('stream-once', body)).toEqual([['other stream', 1, mixed]]);
});

// An endpoint announces that it leaves, runs a request and is started again at the Unix times.
function judgeAfterDeparture(restarts: number[], ranAt: number, waited = 0): string[] {
  let now = SENT_AT;
  const clock = { ...createSystemClock(), now: () => new Date(now) };
  const evidence = createEvidence(clock);
  const addLine = (at: number, line: object) =>
    evidence.addLine('endpoint-1', JSON.stringify({ at: new Date(at), id: 'endpoint-1', ...line }));
  addLine(SENT_AT, { event: 'leaving' });
  const record = { ...createRecord(), sentAt: ranAt - waited - 5, endedAt: ranAt + 100 };
  evidence.open(record);
  const arrival = { path: '/stream-once/', after: 0, account: 'rich', version: 'v1', body: '' };
  addLine(ranAt, { event: 'run', request: record.id, run: 1, ...arrival, waited });
  restarts.forEach((at) => {
    now = at;
    evidence.restarted('endpoint-1');
  });
  evidence.judge(true);
  return evidence.failures.filter(({ check }) => check === 'leaving').map(({ message }) => message);
}

test('an endpoint that left and started again may run requests, also if it is started once more', () => {
  const restarts = [SENT_AT + 1000, SENT_AT + 9000];
  expect(judgeAfterDeparture(restarts, SENT_AT + 5000)).toEqual([]);
});

test('a run at an endpoint that has not started again since it announced its leaving is a failure', () => {
  const message = 'ran at endpoint-1 although it was leaving';
  expect(judgeAfterDeparture([SENT_AT + 9000], SENT_AT + 5000)).toEqual([message]);
});

test.each([
  ['came before', 600, []],
  ['came after', 400, ['ran at endpoint-1 although it was leaving']],
])('a run that waited in line counts as leaving by its arrival: it %s the bound', (...row) => {
  const [, waited, messages] = row;
  expect(judgeAfterDeparture([], SENT_AT + PlatformBounds.drain + 500, waited)).toEqual(messages);
});

interface Answer {
  versions: string[];
  /** Endpoints that run it. */
  runs: number;
}

// A caller gets the events of a stream of four in several answers.
function countJoined(answers: Answer[]) {
  const clock = { ...createSystemClock(), now: () => new Date(SENT_AT) };
  const evidence = createEvidence(clock);
  const held: string[] = [];
  answers.forEach(({ versions, runs }, index) => {
    const id = `c8-${index + 1}`;
    const resumeAfter = held.length;
    const body = versions.map((version, at) => renderEvent('c8-1', resumeAfter + at + 1, version));
    evidence.open({
      ...createRecord(),
      ...{ id, resumes: index === 0 ? undefined : 'c8-1', resumeAfter, heldVersions: [...held] },
      ...{ work: { ...WORK, route: 'stream', events: 4 }, endedAt: SENT_AT + 200 },
      answer: { ...createCallerAnswer(), status: 200, body: body.join('') },
    });
    held.push(...versions);
    const arrival = { path: '', after: resumeAfter, account: 'rich', version: 'v1', body: '' };
    for (let run = 1; run <= runs; run += 1) {
      const step = { request: id, run, at: new Date(SENT_AT).toISOString(), id: `endpoint-${run}` };
      evidence.addLine(`endpoint-${run}`, JSON.stringify({ event: 'run', ...step, ...arrival }));
    }
  });
  evidence.judge(true);
  return evidence.streams.count();
}

const NOT_JOINED: JoinedCount = {
  ...{ interrupted: 0, whole: 0, joined: 0, joinedWhole: 0, mixed: 0, mixedWithinAnswer: 0 },
};
const JOINED: JoinedCount = { ...NOT_JOINED, interrupted: 1, whole: 1, joined: 1, joinedWhole: 1 };

test.each<[string, Answer[], JoinedCount]>([
  ['one answer of one run', [{ versions: ['1', '1', '1', '1'], runs: 1 }], NOT_JOINED],
  ['one answer of two runs', [{ versions: ['1', '1', '1', '1'], runs: 2 }], JOINED],
  [
    'one answer of two versions',
    [{ versions: ['1', '1', '1', '2'], runs: 2 }],
    { ...JOINED, mixed: 1, mixedWithinAnswer: 1 },
  ],
  [
    'two answers of two versions',
    [
      { versions: ['1', '1'], runs: 1 },
      { versions: ['2', '2'], runs: 1 },
    ],
    { ...JOINED, mixed: 1 },
  ],
  [
    'two answers, not whole',
    [
      { versions: ['1', '1'], runs: 1 },
      { versions: ['1'], runs: 1 },
    ],
    { ...JOINED, whole: 0, joinedWhole: 0 },
  ],
  [
    'an answer and nothing more',
    [
      { versions: ['1', '1'], runs: 1 },
      { versions: [], runs: 0 },
    ],
    { ...NOT_JOINED, interrupted: 1 },
  ],
])('a stream of %s counts as such', (_, answers, counts) => {
  expect(countJoined(answers)).toEqual(counts);
});
