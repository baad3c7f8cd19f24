import { hashText, MS_PER_SECOND } from '@pomeloroad/core';
import { generateAnswer } from '@pomeloroad/standins';
import type { Attempt } from './callers';
import type { Evidence } from './evidence';
import { createOracle } from './oracle';
import type { Oracle } from './oracle';
import { getUsedTokens } from './record';
import type { EndpointRun, StandinRecord } from './record';
import { getMessages, isRequest } from './trace';
import type { TraceRequest } from './trace';

/** Time during which an endpoint that is leaving may still receive new requests. */
const LEAVING_GRACE_MS = 2000;

/** The figures of a replay. */
export interface Verdict {
  requests: number;
  answered: number;
  refused: number;
  lost: number;
  /** Requests that were never sent because no instance was ready; the replay does not test them. */
  unsent: number;
  overspendTokens: number;
  falseRefusals: number;
  /** Refusals although budget or capacity was within reach of the refusing instance. */
  needlessRefusals: number;
  /** Refusals although the budget existed, but on the other side of a partition. */
  forcedRefusals: number;
  billedTwice: number;
  unbilled: number;
  /** Requests that were billed for a number of tokens other than they used. */
  misbilled: number;
  wrongAnswers: number;
  /** Refusals that report `ran: no` for a request that ran. */
  untrueRefusals: number;
  nonIdempotentRepeats: number;
  workAfterLeaving: number;
  /** Graceful shutdowns with an exit code other than 0, and requests that were lost during one. */
  cutByShutdown: number;
  /** Times that an instance returned to a lower configuration version. */
  configReverts: number;
  /** Longest time from an apply to the last instance that put the version in force. */
  configSeconds: number;
  /** Requests whose final attempt did not end as the trace expects. */
  unexpected: number;
  auditFaults: number;
  /** Tokens that the ledger's audit counts as written off. */
  strandedTokens: number;
  /** Tokens of repeated runs of a request, which are not charged to its account. */
  duplicateTokens: number;
}

/** A verdict with one line of text for each finding that its figures count. */
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

/** Computes the figures of a replay from the attempts of the callers and the stand-ins' records. */
export function judgeReplay(evidence: Evidence): Judgement {
  const { events, attempts, record, observations } = evidence;
  const requests = events.filter(isRequest);
  const oracle = createOracle(evidence);
  const finalAttempts = selectFinalAttempts(attempts);
  const count = (kind: string) =>
    finalAttempts.filter((attempt) => attempt.result.kind === kind).length;
  const bills = compareBills(requests, record);
  const refusals = classifyRefusals(oracle, attempts);
  const lists = {
    ...bills,
    ...refusals,
    wrongAnswers: attempts.filter(isWrongAnswer).map(describeAttempt),
    untrueRefusals: attempts
      .filter((attempt) => isUntrueRefusal(record, attempt))
      .map(describeAttempt),
    nonIdempotentRepeats: findNonIdempotentRepeats(requests, record),
    workAfterLeaving: findWorkAfterLeaving(evidence),
    cutByShutdown: findCutByShutdown(evidence),
    unexpected: finalAttempts.filter((attempt) => !isExpected(attempt)).map(describeAttempt),
    auditFaults: record.audit.faults.map(({ key, message }) => `${key}: ${message}`),
  };
  const entries = Object.entries(lists).map(([figure, list]) => [figure, list.length]);
  const counts = Object.fromEntries(entries) as { [Figure in keyof typeof lists]: number };
  const verdict: Verdict = {
    requests: requests.length,
    answered: count('answered'),
    refused: count('refused'),
    lost: count('lost'),
    unsent: requests.length - finalAttempts.length,
    overspendTokens: oracle.getOverspend(),
    falseRefusals: counts.needlessRefusals + counts.forcedRefusals,
    ...counts,
    configReverts: observations.configReverts,
    configSeconds: getPropagationSeconds(evidence),
    strandedTokens: record.audit.accounts.reduce((sum, account) => sum + account.writtenOff, 0),
    duplicateTokens: record.runs
      .filter((run) => run.isCredited)
      .reduce((sum, run) => sum + getUsedTokens(run), 0),
  };
  const findings = Object.entries(lists).flatMap(([figure, list]) =>
    list.map((finding) => `${figure}: ${finding}`),
  );
  return { verdict, findings };
}

function describeAttempt({ request, instance, endedAt, result }: Attempt): string {
  const shown = result.kind === 'answered' ? { kind: result.kind } : result;
  return `${endedAt.toISOString()} ${request.id} at ${instance}: ${JSON.stringify(shown)}`;
}

function selectFinalAttempts(attempts: Attempt[]): Attempt[] {
  const finalAttempts = new Map<string, Attempt>();
  attempts.forEach((attempt) => {
    const known = finalAttempts.get(attempt.request.id);
    // An answer to any repeat decides the outcome; later attempts do not change it.
    if (known?.result.kind !== 'answered') finalAttempts.set(attempt.request.id, attempt);
  });
  return [...finalAttempts.values()];
}

// Matches usage records to requests by the request identifier on the streams and by the
// idempotency key.
function compareBills(requests: TraceRequest[], { runs, audit }: StandinRecord) {
  const found: Record<'billedTwice' | 'unbilled' | 'misbilled', string[]> = {
    billedTwice: [],
    unbilled: [],
    misbilled: [],
  };
  requests.forEach((request) => {
    const chargedRuns = runs.filter((run) => run.trace === request.id && !run.isCredited);
    const names = new Set(chargedRuns.map((run) => run.request).filter((name) => name !== ''));
    const bills = audit.records.filter(
      (bill) =>
        names.has(bill.request) ||
        (request.key !== undefined && bill.key === request.key && bill.account === request.account),
    );
    const used = chargedRuns.reduce((sum, run) => sum + getUsedTokens(run), 0);
    const billed = bills.reduce((sum, bill) => sum + bill.tokens, 0);
    const finding = `${request.id} ${request.key ?? ''}: used ${used}, billed ${billed}`;
    if (bills.length > 1) found.billedTwice.push(finding);
    else if (used > 0 && bills.length === 0) found.unbilled.push(finding);
    else if (used !== billed) found.misbilled.push(finding);
  });
  return found;
}

function classifyRefusals(oracle: Oracle, attempts: Attempt[]) {
  const found = { needlessRefusals: [] as string[], forcedRefusals: [] as string[] };
  attempts.forEach((attempt) => {
    const kind = oracle.judgeRefusal(attempt);
    if (kind === 'needless') found.needlessRefusals.push(describeAttempt(attempt));
    if (kind === 'forced') found.forcedRefusals.push(describeAttempt(attempt));
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
    (run) => run.trace === request.id && hasExecuted(run) && run.startedAt < endedAt,
  );
}

// Calls of plain services have no request identifier and always count; streams count once they
// have used tokens.
function hasExecuted(run: EndpointRun): boolean {
  return run.request === '' || getUsedTokens(run) > 0;
}

function findNonIdempotentRepeats(requests: TraceRequest[], record: StandinRecord): string[] {
  return requests
    .filter((request) => !request.isIdempotent)
    .flatMap((request) => {
      const runs = record.runs.filter((run) => run.trace === request.id && hasExecuted(run));
      return runs.slice(1).map((run) => `${request.id} at ${run.endpoint}`);
    });
}

function findWorkAfterLeaving({ leaving, record }: Evidence): string[] {
  return leaving.flatMap(({ endpoint, at }) => {
    const limit = at.getTime() + LEAVING_GRACE_MS;
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
  return [
    ...exits.map(({ instance, code }) => `${instance} exited ${code}`),
    ...cut.map(describeAttempt),
  ];
}

function getPropagationSeconds({ applied, observations }: Evidence): number {
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
