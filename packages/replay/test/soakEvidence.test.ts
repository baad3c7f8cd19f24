import { createSystemClock } from '@pomeloroad/core';
import { createCallerAnswer } from '@pomeloroad/standins';
import type { Work } from '@pomeloroad/standins';
import { createEvidence } from '../src/soak/evidence';
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
