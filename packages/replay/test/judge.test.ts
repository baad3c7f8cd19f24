import { judge, MUST_BE_ZERO } from '../src/judge';
import { Deployments } from '../src/deployments';
import type { Evidence } from '../src/evidence';
import { generateTrace } from '../src/generateTrace';
import { parseFaults } from '../src/faultPlan';
import { isRequest } from '../src/trace';
import type { TraceChat } from '../src/trace';

const deployment = Deployments.haldane!;
const [chat] = generateTrace(deployment, 1).filter(
  (event): event is TraceChat => event.kind === 'chat',
);
const at = (second: number) => new Date(Date.UTC(2026, 0, 1, 0, 0, second));
const budget = `${chat!.account}/${chat!.budget}`;

function evidence(changes: Partial<Evidence> = {}): Evidence {
  const audit = { accounts: [], records: [], credited: [], faults: [] };
  const topUps = [{ budget, tokens: 10_000, at: at(0) }];
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

const run = {
  trace: chat!.id,
  endpoint: 'kent-engine-1',
  request: 'r1',
  promptTokens: 5,
  completionTokens: 5,
  state: 'finished',
  startedAt: at(5),
  isCredited: false,
};

function refused(code: string, ran: string): Evidence['attempts'] {
  const result = { kind: 'refused' as const, status: 503, code, ran, id: 'r1' };
  const times = { startedAt: at(4), endedAt: at(10) };
  return [{ request: chat!, instance: 'kent-1', site: 'kent', ...times, result }];
}

function withRuns(runs: (typeof run)[], changes: Partial<Evidence> = {}): Evidence {
  const base = evidence(changes);
  return { ...base, record: { ...base.record, runs } };
}

test('a request that nobody could send breaks a replay', () => {
  expect(judge(evidence()).verdict.unsent).toBe(1);
  expect(MUST_BE_ZERO).toContain('unsent');
});

test('a run without a bill is unbilled', () => {
  expect(judge(withRuns([run])).verdict.unbilled).toBe(1);
});

test('a refusal that says no although it ran is untrue', () => {
  const attempts = refused('endpoint_failed', 'no');
  expect(judge(withRuns([run], { attempts })).verdict.untrueRefusals).toBe(1);
  expect(judge(withRuns([], { attempts })).verdict.untrueRefusals).toBe(0);
});

test('a refusal is false only while the budget holds the bound', () => {
  const attempts = refused('budget_exhausted', 'no');
  expect(judge(evidence({ attempts })).verdict.needlessRefusals).toBe(1);
  const spent = { ...run, completionTokens: 9990 };
  expect(judge(withRuns([spent], { attempts })).verdict.falseRefusals).toBe(0);
});

test('tokens beyond the top-ups are overspend, those given back are not', () => {
  const spent = { ...run, completionTokens: 20_000 };
  expect(judge(withRuns([spent])).verdict.overspendTokens).toBe(10_005);
  expect(judge(withRuns([{ ...spent, isCredited: true }])).verdict.overspendTokens).toBe(0);
});

test('work after leaving counts after two seconds', () => {
  const leaving = [{ endpoint: 'kent-engine-1', at: at(4) }];
  expect(judge(withRuns([run], { leaving })).verdict.workAfterLeaving).toBe(0);
  const late = { ...run, startedAt: at(7) };
  expect(judge(withRuns([late], { leaving })).verdict.workAfterLeaving).toBe(1);
});

test('a trace repeats with its seed', () => {
  const ids = (seed: number) =>
    generateTrace(deployment, seed)
      .filter(isRequest)
      .map((r) => r.id);
  expect(ids(3)).toEqual(ids(3));
});

test('faults are known by name', () => {
  expect(parseFaults('none')).toEqual([]);
  expect(parseFaults('pause,silent')).toEqual(['pause', 'silent']);
  expect(parseFaults('pause,flood')).toBeUndefined();
});
