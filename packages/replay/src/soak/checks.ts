import { hashText } from '@pomeloroad/core';
import type { Milliseconds } from '@pomeloroad/core';
import { PlatformBounds, renderEvents, stripVersions } from '@pomeloroad/standins';
import type { ConfigurationHistory } from './configurationHistory';
import { CONTACT_MS, STATUS_OK } from './checkBounds';
import { checkAnswered, checkOwner } from './answerChecks';
import { checkCutWhileAlive, checkShutdown, checkWholeCut } from './cutChecks';
import { checkCompleteness, checkFalseEnds, checkFraming, checkTimeLimits } from './endChecks';
import type { FaultLog } from './faultLog';
import { isWhole } from './requestRecord';
import type { EndpointRun, RequestRecord } from './requestRecord';
import { checkOneVersion } from './versionChecks';

/** Statuses with which an instance promises that a request has not run and never will. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);
/** Statuses that an older configuration may cause: no route, or no key. */
const UNKNOWN_STATUSES = new Set([401, 403, 404]);
/** Time by which a disturbed store stretches the bound of the configuration. */
const STORE_STRETCH_MS: Milliseconds = 5000;
const RECOVERY_MS: Milliseconds = 5000;
/** Time for which two runs of one stream may overlap. */
const OVERLAP_MAX_MS: Milliseconds = 400;

/** What checks know besides the request. */
export interface CheckContext {
  faults: FaultLog;
  history: ConfigurationHistory;
  departures: Departure[];
  /** Whether the first process of each instance runs an older build, whose answers may lack framing. */
  hasOlderBuild: boolean;
}

/** Unix times from the store's acceptance that an endpoint leaves until it starts again. */
export interface Departure {
  endpoint: string;
  from: number;
  to: number;
}

/** Outcome of a check; it is skipped if it does not concern the request. */
export type CheckOutcome = 'skipped' | 'held' | { message: string };

/** A check of one request. */
export type RequestCheck = (record: RequestRecord, context: CheckContext) => CheckOutcome;

/** The checks of one request. */
export const RequestChecks = {
  framing: checkFraming,
  completeness: checkCompleteness,
  'false-ends': checkFalseEnds,
  'time-limits': checkTimeLimits,
  content: checkContent,
  signature: ({ answer }) => {
    if (answer?.status !== STATUS_OK) return 'skipped';
    return answer.isSigned ? 'held' : { message: 'a success without signature' };
  },
  owner: checkOwner,
  answered: checkAnswered,
  'not-run': checkNotRun,
  'at-most-once': checkAtMostOnce,
  'one-at-a-time': checkOneAtATime,
  path: checkPath,
  leaving: checkLeaving,
  shutdown: checkShutdown,
  'cut-while-alive': checkCutWhileAlive,
  'whole-cut': checkWholeCut,
  configuration: checkConfiguration,
  'configuration-order': checkConfigurationOrder,
  recovery: checkRecovery,
  'one-version': checkOneVersion,
} satisfies Record<string, RequestCheck>;

function checkContent({ id, answer, work, resumeAfter }: RequestRecord): CheckOutcome {
  if (answer?.status !== STATUS_OK) return 'skipped';
  const expected = renderEvents(id, resumeAfter, work.events, '');
  if (expected.startsWith(stripVersions(answer.body))) return 'held';
  return { message: 'events are missing, repeated, out of order or of another request' };
}

function checkNotRun({ answer, runs }: RequestRecord): CheckOutcome {
  if (!NOT_RUN_STATUSES.has(answer?.status ?? 0)) return 'skipped';
  if (runs.length === 0) return 'held';
  return { message: `status ${answer?.status}, but it ran at ${listEndpoints(runs)}` };
}

function checkAtMostOnce({ work, runs }: RequestRecord): CheckOutcome {
  const mayRepeat = work.route !== 'once' && work.route !== 'stream-once';
  if (mayRepeat || runs.length === 0) return 'skipped';
  // What goes on from a replica is the same run.
  const begun = runs.filter((run, index) => index === 0 || !run.goesOn);
  if (begun.length === 1) return 'held';
  return { message: `ran ${begun.length} times: ${listEndpoints(runs)}` };
}

function checkOneAtATime(record: RequestRecord, { faults }: CheckContext): CheckOutcome {
  const { work, runs, instance } = record;
  if (!work.route.startsWith('stream') || runs.length < 2) return 'skipped';
  const names = [instance, ...runs.map((run) => run.endpoint)];
  const isLate = ({ lastAt }: EndpointRun, next: EndpointRun) =>
    lastAt > next.at + OVERLAP_MAX_MS && !faults.isDisturbed(names, next.at - CONTACT_MS, lastAt);
  const overlap = runs.find((run, index) => {
    const beside = runs.slice(index + 1).filter(({ at }) => at <= run.lastAt);
    const isAlone = beside.every((next) => isDropped(record, next));
    return !isAlone && beside.some((next) => isLate(run, next));
  });
  if (!overlap) return 'held';
  return { message: `still ran at ${overlap.endpoint} after it had gone on elsewhere` };
}

// Whether a run was closed in time, while its caller still waited, so that the request went on without it.
function isDropped({ endedAt = Infinity }: RequestRecord, run: EndpointRun): boolean {
  const { at, closedAt = Infinity } = run;
  return closedAt <= at + OVERLAP_MAX_MS && closedAt < endedAt;
}

function checkPath({ account, runs, work, body = '' }: RequestRecord): CheckOutcome {
  if (runs.length === 0) return 'skipped';
  const isWrong = (run: EndpointRun) =>
    run.account !== account || !run.path.startsWith(`/${work.route}/`);
  const wrong = runs.find(isWrong);
  const changed = runs.find((run) => run.body !== hashText(body));
  if (changed) return { message: `ran at ${changed.endpoint} with another body` };
  if (!wrong) return 'held';
  return { message: `ran at ${wrong.endpoint} as ${wrong.path} for account ${wrong.account}` };
}

function checkLeaving(record: RequestRecord, context: CheckContext): CheckOutcome {
  const { runs, instance, sentAt, endedAt = Infinity } = record;
  const { departures, faults } = context;
  const late = departures
    .map(({ endpoint, from, to }) => ({ endpoint, from: from + PlatformBounds.drain, to }))
    .filter(({ from, to }) => sentAt < to && endedAt > from)
    .filter(({ from }) => {
      const calmFrom = from - PlatformBounds.drain - CONTACT_MS;
      return !faults.isDisturbed([instance, 'store'], calmFrom, endedAt);
    });
  if (late.length === 0) return 'skipped';
  const run = runs.find(({ endpoint, arrivedAt: at }) =>
    late.some((other) => other.endpoint === endpoint && at > other.from && at < other.to),
  );
  return run ? { message: `ran at ${run.endpoint} although it was leaving` } : 'held';
}

function checkConfiguration(record: RequestRecord, context: CheckContext): CheckOutcome {
  const { faults, history } = context;
  const { work, sentAt, endedAt = Infinity, instance, runs, answer } = record;
  const span = history.find(work.route);
  if (!span || !answer || answer.status === 0) return 'skipped';
  const isKnown = !UNKNOWN_STATUSES.has(answer.status);
  const isInForce =
    sentAt > span.acknowledgedAt + PlatformBounds.configurationApply && endedAt < span.replacedFrom;
  // An instance that can't read the store denies nothing that it may not know yet.
  const knownFrom = span.acknowledgedAt - CONTACT_MS - STORE_STRETCH_MS;
  if (isInForce && !faults.isDisturbed(['store'], knownFrom, endedAt)) {
    return isKnown ? 'held' : { message: `status ${answer.status} for a route in force` };
  }
  const isOutOfForce = sentAt > span.replacedAt + PlatformBounds.configurationApply;
  const oldFrom = span.replacedAt - CONTACT_MS - STORE_STRETCH_MS;
  if (isOutOfForce && !faults.isDisturbed([instance, 'store'], oldFrom, endedAt)) {
    return runs.length === 0 ? 'held' : { message: 'ran on a route that was removed' };
  }
  return 'skipped';
}

function checkConfigurationOrder(record: RequestRecord, { history }: CheckContext): CheckOutcome {
  const status = record.answer?.status ?? 0;
  if (status === 0) return 'skipped';
  return history.checkOrder(record, !UNKNOWN_STATUSES.has(status));
}

function checkRecovery(record: RequestRecord, { faults }: CheckContext): CheckOutcome {
  const { sentAt, work, account, patience, timeLimit, mayBeRefused = false } = record;
  const isCalm = sentAt > faults.getCalmSince() + RECOVERY_MS;
  const isPatient = patience === undefined && timeLimit === undefined;
  const isSound = work.fault === 'none' && isPatient && account !== 'poor';
  if (!isCalm || !isSound || mayBeRefused || work.route.startsWith('probe')) return 'skipped';
  if (isWhole(record)) return 'held';
  return { message: `not served after the last fault: status ${record.answer?.status}` };
}

function listEndpoints(runs: EndpointRun[]): string {
  return runs.map((run) => run.endpoint).join(', ');
}
