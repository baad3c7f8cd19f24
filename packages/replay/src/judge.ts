import { hashText } from '@pomeloroad/core';
import { generateAnswer } from '@pomeloroad/standins';
import type { Attempt } from './callers';
import type { Evidence } from './evidence';
import { createOracle } from './oracle';
import type { Oracle } from './oracle';
import { getCost } from './record';
import type { Run, StandinRecord } from './record';
import { getMessages, isRequest } from './trace';
import type { TraceRequest } from './trace';

/** Time after which an endpoint that leaves may get nothing new. */
const LEAVING_MS = 2000;
const MS_PER_SECOND = 1000;

/** The outcome of a replay. */
export interface Verdict {
  requests: number;
  answered: number;
  refused: number;
  lost: number;
  /** Requests that no caller could send, since no instance was ready: they prove nothing. */
  unsent: number;
  overspendTokens: number;
  falseRefusals: number;
  needlessRefusals: number;
  forcedRefusals: number;
  billedTwice: number;
  unbilled: number;
  misbilled: number;
  wrongAnswers: number;
  untrueRefusals: number;
  nonIdempotentRepeats: number;
  workAfterLeaving: number;
  cutByShutdown: number;
  configReverts: number;
  configSeconds: number;
  unexpected: number;
  auditFaults: number;
  strandedTokens: number;
  /** Tokens of second runs of a request, which its account is not charged for. */
  duplicateTokens: number;
}

/** A verdict with the findings behind its figures, for people. */
export interface Judgement {
  verdict: Verdict;
  findings: string[];
}

/** The figures that must be 0 in every replay. */
export const MUST_BE_ZERO = [
  'unsent',
  'overspendTokens',
  'billedTwice',
  'unbilled',
  'misbilled',
  'wrongAnswers',
  'untrueRefusals',
  'nonIdempotentRepeats',
  'workAfterLeaving',
  'cutByShutdown',
  'configReverts',
  'auditFaults',
] as const satisfies (keyof Verdict)[];

/** Judges a replay by what the stand-ins recorded. */
export function judge(evidence: Evidence): Judgement {
  const { events, attempts, record, observations } = evidence;
  const requests = events.filter(isRequest);
  const oracle = createOracle(evidence);
  const last = getLastAttempts(attempts);
  const count = (kind: string) => last.filter((attempt) => attempt.result.kind === kind).length;
  const bills = compareBills(requests, record);
  const refusals = sortRefusals(oracle, attempts);
  const lists = {
    ...bills,
    ...refusals,
    wrongAnswers: attempts.filter(isWrongAnswer).map(describe),
    untrueRefusals: attempts.filter((attempt) => isUntrueRefusal(record, attempt)).map(describe),
    nonIdempotentRepeats: findRepeats(requests, record),
    workAfterLeaving: findWorkAfterLeaving(evidence),
    cutByShutdown: findCutByShutdown(evidence),
    unexpected: last.filter((attempt) => !isExpected(attempt)).map(describe),
    auditFaults: record.audit.faults.map(({ key, message }) => `${key}: ${message}`),
  };
  const lengths = Object.entries(lists).map(([figure, list]) => [figure, list.length]);
  const counts = Object.fromEntries(lengths) as { [Figure in keyof typeof lists]: number };
  const verdict: Verdict = {
    requests: requests.length,
    answered: count('answered'),
    refused: count('refused'),
    lost: count('lost'),
    unsent: requests.length - last.length,
    overspendTokens: oracle.getOverspend(),
    falseRefusals: counts.needlessRefusals + counts.forcedRefusals,
    ...counts,
    configReverts: observations.configReverts,
    configSeconds: getConfigSeconds(evidence),
    strandedTokens: record.audit.accounts.reduce((sum, account) => sum + account.writtenOff, 0),
    duplicateTokens: record.runs
      .filter((run) => run.isCredited)
      .reduce((sum, run) => sum + getCost(run), 0),
  };
  const findings = Object.entries(lists).flatMap(([figure, list]) =>
    list.map((finding) => `${figure}: ${finding}`),
  );
  return { verdict, findings };
}

function describe({ request, instance, endedAt, result }: Attempt): string {
  const shown = result.kind === 'answered' ? { kind: result.kind } : result;
  return `${endedAt.toISOString()} ${request.id} at ${instance}: ${JSON.stringify(shown)}`;
}

function getLastAttempts(attempts: Attempt[]): Attempt[] {
  const last = new Map<string, Attempt>();
  attempts.forEach((attempt) => {
    const known = last.get(attempt.request.id);
    // An answer to any of the repeats is what the caller wanted.
    if (known?.result.kind !== 'answered') last.set(attempt.request.id, attempt);
  });
  return [...last.values()];
}

// Bills are found by the request's name on its streams, and by the caller's key.
function compareBills(requests: TraceRequest[], { runs, audit }: StandinRecord) {
  const found: Record<'billedTwice' | 'unbilled' | 'misbilled', string[]> = {
    billedTwice: [],
    unbilled: [],
    misbilled: [],
  };
  requests.forEach((request) => {
    const own = runs.filter((run) => run.trace === request.id && !run.isCredited);
    const names = new Set(own.map((run) => run.request).filter((name) => name !== ''));
    const bills = audit.records.filter(
      (bill) =>
        names.has(bill.request) ||
        (request.key !== undefined && bill.key === request.key && bill.account === request.account),
    );
    const used = own.reduce((sum, run) => sum + getCost(run), 0);
    const billed = bills.reduce((sum, bill) => sum + bill.tokens, 0);
    const finding = `${request.id} ${request.key ?? ''}: used ${used}, billed ${billed}`;
    if (bills.length > 1) found.billedTwice.push(finding);
    else if (used > 0 && bills.length === 0) found.unbilled.push(finding);
    else if (used !== billed) found.misbilled.push(finding);
  });
  return found;
}

function sortRefusals(oracle: Oracle, attempts: Attempt[]) {
  const found = { needlessRefusals: [] as string[], forcedRefusals: [] as string[] };
  attempts.forEach((attempt) => {
    const kind = oracle.judgeRefusal(attempt);
    if (kind === 'needless') found.needlessRefusals.push(describe(attempt));
    if (kind === 'forced') found.forcedRefusals.push(describe(attempt));
  });
  return found;
}

function isWrongAnswer({ request, result }: Attempt): boolean {
  if (result.kind !== 'answered') return false;
  if (request.kind === 'call') {
    const body = JSON.parse(result.text) as { path: string; received: string };
    return body.path !== request.path || body.received !== hashText(request.body);
  }
  const expected = generateAnswer(getMessages(request), request.maxTokens);
  return result.text !== expected.tokens.join('');
}

function isUntrueRefusal(record: StandinRecord, { request, result, endedAt }: Attempt): boolean {
  if (result.kind !== 'refused' || result.ran !== 'no') return false;
  return record.runs.some(
    (run) => run.trace === request.id && hasRun(run) && run.startedAt < endedAt,
  );
}

function hasRun(run: Run): boolean {
  return run.request === '' || getCost(run) > 0;
}

function findRepeats(requests: TraceRequest[], record: StandinRecord): string[] {
  return requests
    .filter((request) => !request.isIdempotent)
    .flatMap((request) => {
      const runs = record.runs.filter((run) => run.trace === request.id && hasRun(run));
      return runs.slice(1).map((run) => `${request.id} at ${run.endpoint}`);
    });
}

function findWorkAfterLeaving({ leaving, record }: Evidence): string[] {
  return leaving.flatMap(({ endpoint, at }) => {
    const limit = at.getTime() + LEAVING_MS;
    const late = record.runs.filter(
      (run) => run.endpoint === endpoint && run.startedAt.getTime() > limit,
    );
    return late.map((run) => {
      const delay = run.startedAt.getTime() - at.getTime();
      return `${run.trace} at ${endpoint}, ${delay} ms after it left`;
    });
  });
}

function findCutByShutdown({ shutdowns, attempts }: Evidence): string[] {
  const exits = shutdowns.filter(({ code }) => code !== 0);
  const cut = attempts.filter(
    (attempt) =>
      attempt.result.kind === 'lost' &&
      shutdowns.some(
        ({ instance, from, to }) =>
          attempt.instance === instance && attempt.startedAt <= to && attempt.endedAt >= from,
      ),
  );
  return [...exits.map(({ instance, code }) => `${instance} exited ${code}`), ...cut.map(describe)];
}

function getConfigSeconds({ applied, observations }: Evidence): number {
  const delays = applied.map(({ version, at }) => {
    const seen = [...(observations.inForceAt.get(version)?.values() ?? [])];
    const latest = Math.max(at.getTime(), ...seen.map((date) => date.getTime()));
    return (latest - at.getTime()) / MS_PER_SECOND;
  });
  return Math.max(0, ...delays);
}

function isExpected({ request, result }: Attempt): boolean {
  if (result.kind === 'answered') return request.expect.startsWith('answered');
  if (result.kind === 'lost') return false;
  if (result.code === 'budget_exhausted') return request.expect === 'answered-or-exhausted';
  return request.expect === result.code;
}
