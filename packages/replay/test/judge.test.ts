import { judgeReplay, MUST_BE_ZERO } from '../src/judge';
import { Deployments } from '../src/deployments';
import type { Evidence } from '../src/evidence';
import { generateTrace } from '../src/generateTrace';
import { parseFaults } from '../src/faultNames';
import { isRequest } from '../src/trace';
import type { TraceChat } from '../src/trace';

const deployment = Deployments.haldane!;
const [chat] = generateTrace(deployment, 1).filter(
  (event): event is TraceChat => event.kind === 'chat',
);
const atSecond = (second: number) => new Date(Date.UTC(2026, 0, 1, 0, 0, second));
const budget = `${chat!.account}/${chat!.budget}`;

function createEvidence(changes: Partial<Evidence> = {}): Evidence {
  const audit = { accounts: [], records: [], credited: [], faults: [] };
  const topUps = [{ budget, tokens: 10_000, at: atSecond(0) }];
  return {
    deployment,
    events: [chat!],
    attempts: [],
    record: { runs: [], audit, topUps },
    observations: { configReverts: 0, inForceAt: new Map() },
    leaving: [],
    shutdowns: [],
    partitions: [],
    applied: [],
    ...changes,
  };
}

const engineRun = {
  trace: chat!.id,
  endpoint: 'kent-engine-1',
  request: 'r1',
  promptTokens: 5,
  completionTokens: 5,
  state: 'finished',
  startedAt: atSecond(5),
  isCredited: false,
};

function createRefusal(code: string, ran: string): Evidence['attempts'] {
  const result = { kind: 'refused' as const, status: 503, code, ran, id: 'r1' };
  const times = { startedAt: atSecond(4), endedAt: atSecond(10) };
  return [{ request: chat!, instance: 'kent-1', site: 'kent', ...times, result }];
}

function createEvidenceWithRuns(
  runs: (typeof engineRun)[],
  changes: Partial<Evidence> = {},
): Evidence {
  const base = createEvidence(changes);
  return { ...base, record: { ...base.record, runs } };
}

test('a request that was never sent counts as unsent, which must be 0', () => {
  expect(judgeReplay(createEvidence()).verdict.unsent).toBe(1);
  expect(MUST_BE_ZERO).toContain('unsent');
});

test('a run without a bill is unbilled', () => {
  expect(judgeReplay(createEvidenceWithRuns([engineRun])).verdict.unbilled).toBe(1);
});

test('a refusal that reports ran: no for a request that ran is untrue', () => {
  const attempts = createRefusal('endpoint_failed', 'no');
  expect(
    judgeReplay(createEvidenceWithRuns([engineRun], { attempts })).verdict.untrueRefusals,
  ).toBe(1);
  expect(judgeReplay(createEvidenceWithRuns([], { attempts })).verdict.untrueRefusals).toBe(0);
});

test('a budget refusal is false only if the budget covers the bound of the request', () => {
  const attempts = createRefusal('budget_exhausted', 'no');
  expect(judgeReplay(createEvidence({ attempts })).verdict.needlessRefusals).toBe(1);
  const spent = { ...engineRun, completionTokens: 9990 };
  expect(judgeReplay(createEvidenceWithRuns([spent], { attempts })).verdict.falseRefusals).toBe(0);
});

test('tokens beyond the top-ups are overspend, credited ones are not', () => {
  const spent = { ...engineRun, completionTokens: 20_000 };
  expect(judgeReplay(createEvidenceWithRuns([spent])).verdict.overspendTokens).toBe(10_005);
  expect(
    judgeReplay(createEvidenceWithRuns([{ ...spent, isCredited: true }])).verdict.overspendTokens,
  ).toBe(0);
});

test('work on a leaving endpoint counts after a grace time of two seconds', () => {
  const leaving = [{ endpoint: 'kent-engine-1', at: atSecond(4) }];
  expect(
    judgeReplay(createEvidenceWithRuns([engineRun], { leaving })).verdict.workAfterLeaving,
  ).toBe(0);
  const late = { ...engineRun, startedAt: atSecond(7) };
  expect(judgeReplay(createEvidenceWithRuns([late], { leaving })).verdict.workAfterLeaving).toBe(1);
});

test('the same seed gives the same requests of a trace', () => {
  const ids = (seed: number) =>
    generateTrace(deployment, seed)
      .filter(isRequest)
      .map((r) => r.id);
  expect(ids(3)).toEqual(ids(3));
});

test('parseFaults reads names and rejects unknown ones', () => {
  expect(parseFaults('none')).toEqual([]);
  expect(parseFaults('pause,silent')).toEqual(['pause', 'silent']);
  expect(parseFaults('pause,flood')).toBeUndefined();
});
