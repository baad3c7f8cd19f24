import { match } from 'ts-pattern';
import type { Clock, Milliseconds } from '@pomeloroad/core';
import { RequestChecks } from './checks';
import type { CheckOutcome, Departure } from './checks';
import { createConfigurationHistory } from './configurationHistory';
import type { ConfigurationHistory } from './configurationHistory';
import { CrashKinds, createCrashHistory } from './crashChecks';
import type { CrashHistory } from './crashChecks';
import { addEarlyEnds } from './endChecks';
import type { EarlyEndCount } from './endChecks';
import { addEnds, getEndKind, getFramedKind } from './endCounts';
import type { EndCount } from './endCounts';
import { createJoinedStreams } from './joinedStreams';
import type { JoinedStreams } from './joinedStreams';
import { createLimitHistory } from './limitChecks';
import { createFaultLog } from './faultLog';
import type { FaultLog } from './faultLog';
import type { LogLine, RequestRecord, StampedEndpointLine } from './requestRecord';
import { createTotals } from './totals';
import type { Totals } from './totals';
import { createVersionHistory } from './versionChecks';
import type { VersionHistory } from './versionChecks';

/** Time after its end for which a request is watched for a run that starts late. */
const WATCH_TIME_MS: Milliseconds = 8000;

/** A check that did not hold. */
export interface Failure {
  check: string;
  request?: string;
  message: string;
  /** What each process wrote of the request, and the faults around it, by time. */
  timeLine: LogLine[];
}

/** Collects what callers and endpoints saw and checks each request once its watch time is over. */
export interface Evidence {
  faults: FaultLog;
  history: ConfigurationHistory;
  totals: Totals;
  versions: VersionHistory;
  streams: JoinedStreams;
  crashes: CrashHistory;
  open(record: RequestRecord): void;
  /** Adds a line of a process and, if it is an endpoint's, reads its step of a request. */
  addLine(source: string, text: string): void;
  /** A process is started again, so that what it had announced no longer holds. */
  restarted(name: string): void;
  /** Adds a failure that concerns no single request. */
  fail(check: string, message: string): void;
  /** Called when an endpoint is about to die of a request; set by whoever starts it again. */
  onCrash(name: string): void;
  /** Counts a check that concerns no single request and adds a failure if there is a message. */
  check(name: string, message: string | undefined): void;
  /** Checks the requests whose watch time is over, or all of them. */
  judge(isFinal: boolean): void;
  failures: Failure[];
  /** How often each check was made. */
  checks: Record<string, number>;
  /** How often endpoints stated the end of an answer with events missing, by the reason. */
  falseEnds: Record<string, number>;
  /** The same of judged requests, by the kind of the end, with those that callers took for whole. */
  earlyEnds: Record<string, EarlyEndCount>;
  /** Sound answers that were cut, and early ends that were taken for whole, by the kind of request. */
  ends: Record<string, EndCount>;
  /** The same by route and framing. */
  framedEnds: Record<string, EndCount>;
  /** How often callers on plain sockets did each thing, by its name. */
  behaviours: Record<string, number>;
  /** Number of judged requests by how they ended. */
  outcomes: Record<string, number>;
}

/** Creates an empty collection. */
export function createEvidence(clock: Clock, hasOlderBuild = false): Evidence {
  const records = new Map<string, RequestRecord>();
  const departures: Departure[] = [];
  const dying = new Map<string, () => void>();
  const faults = createFaultLog(clock);
  const history = createConfigurationHistory(clock);
  const versions = createVersionHistory(faults);
  const crashes = createCrashHistory(faults, CrashKinds.part);
  const requestCrashes = createCrashHistory(faults, CrashKinds.request);
  const limits = createLimitHistory(faults);
  const now = () => clock.now().getTime();
  const evidence: Evidence = {
    faults,
    history,
    versions,
    streams: createJoinedStreams(),
    crashes,
    totals: createTotals(),
    failures: [],
    checks: {},
    falseEnds: {},
    earlyEnds: {},
    ends: {},
    framedEnds: {},
    behaviours: {},
    outcomes: {},
    onCrash: () => undefined,
    open: (record) => records.set(record.id, record),
    addLine,
    restarted(name) {
      const last = departures.filter(({ endpoint }) => endpoint === name).at(-1);
      if (last) last.to = Math.min(last.to, now());
      versions.unlist(name, now());
      dying.get(name)?.();
      dying.delete(name);
      limits.set(name, undefined, now());
    },
    fail(check, message) {
      evidence.failures.push({ check, message, timeLine: faults.listLines(now(), now()) });
    },
    check(name, message) {
      count(evidence.checks, name);
      if (message !== undefined) evidence.fail(name, message);
    },
    judge,
  };

  function addLine(source: string, text: string): void {
    const line = parseLine(text);
    if (!line) return;
    const at = Date.parse(String(line.at));
    if (line.event === 'leaving') {
      departures.push({ endpoint: source, from: at, to: Infinity });
      versions.unlist(source, at);
    }
    if (line.event === 'listed') {
      versions.list(source, String(line.service), String(line.version), at);
    }
    const record = records.get(String(line.request));
    if (line.event === 'limited') limits.set(source, line.limit as number | undefined, at);
    // A process that dies may have begun several such answers.
    if (line.event === 'crash' && !dying.has(source)) {
      // Its callers may see the end of their answers before its exit is seen here.
      const scope = { names: [source], text: `${source} dies`, nature: 'harm' as const };
      dying.set(source, faults.begin(scope, at));
      const isPart = record?.work.fault === CrashKinds.part.fault;
      (isPart ? crashes : requestCrashes).addCrash(at);
      evidence.onCrash(source);
    }
    if (line.event === 'run') {
      const message = `${source} ran ${String(line.request)}, which no caller waits for`;
      evidence.check('unasked', record ? undefined : message);
    }
    if (!record) return;
    record.lines.push({ at, source, text });
    if (!('event' in line)) return;
    recordStep(record, line as unknown as StampedEndpointLine);
    const isFalse = line.event === 'stopped' && record.runs.some((run) => run.earlyEnd);
    if (isFalse) count(evidence.falseEnds, String(line.reason));
  }

  function judge(isFinal: boolean): void {
    const limit = now() - WATCH_TIME_MS;
    records.forEach((record) => {
      const isDue = record.endedAt !== undefined && record.endedAt < limit;
      if (!isDue && !isFinal) return;
      records.delete(record.id);
      judgeRecord(record);
    });
    evidence.check('retries', evidence.totals.checkRetries(limit));
    evidence.check('budget', evidence.totals.checkBudgets());
    if (!isFinal) return;
    const outcomes = {
      'take-ups': versions.check(),
      'crashing-parts': crashes.checkArrivals(),
      'sound-parts': crashes.checkSound(),
      'crashing-requests': requestCrashes.checkArrivals(),
      'sound-requests': requestCrashes.checkSound(),
      'rate-limits': limits.check(),
    };
    Object.entries(outcomes).forEach(([check, outcome]) => {
      if (outcome === 'skipped') return;
      evidence.check(check, outcome === 'held' ? undefined : outcome.message);
    });
  }

  function judgeRecord(record: RequestRecord): void {
    const outcomes: Record<string, CheckOutcome> = {};
    Object.entries(RequestChecks).forEach(([check, apply]) => {
      const outcome = apply(record, { faults, history, departures, hasOlderBuild });
      outcomes[check] = outcome;
      if (outcome === 'skipped') return;
      count(evidence.checks, check);
      if (check === 'false-ends') addEarlyEnds(evidence.earlyEnds, record, outcome);
      if (outcome !== 'held') failRequest(record, check, outcome.message);
    });
    addEnds(evidence.ends, getEndKind(record), record, outcomes);
    addEnds(evidence.framedEnds, getFramedKind(record), record, outcomes);
    count(evidence.outcomes, describeOutcome(record));
    evidence.totals.add(record);
    versions.add(record);
    evidence.streams.add(record);
    crashes.add(record);
    requestCrashes.add(record);
    limits.add(record);
  }

  function failRequest(record: RequestRecord, check: string, message: string): void {
    const context = faults.listLines(record.sentAt, record.endedAt ?? now());
    const timeLine = [...record.lines, ...context].sort((a, b) => a.at - b.at);
    evidence.failures.push({ check, request: record.id, message, timeLine });
  }

  return evidence;
}

function parseLine(text: string): Record<string, unknown> | undefined {
  try {
    return JSON.parse(text) as Record<string, unknown>;
  } catch {
    return undefined;
  }
}

function recordStep(record: RequestRecord, line: StampedEndpointLine): void {
  const run = record.runs.filter((known) => known.endpoint === line.id).at(-1);
  const at = Date.parse(line.at);
  match(line)
    .with({ event: 'run' }, ({ account, after, path, body, waited = 0, goesOnFrom }) => {
      const arrivedAt = at - waited;
      const fields = { endpoint: line.id, arrivedAt, at, lastAt: at, account, path, body };
      const goesOn = goesOnFrom !== undefined;
      const ends = { isStated: false, isEnded: false };
      record.runs.push({ ...fields, ...ends, goesOn, sent: after });
      record.arrivals.push(arrivedAt);
    })
    .with({ event: 'sent' }, ({ number }) => {
      if (run) Object.assign(run, { sent: number, lastAt: at });
    })
    .with({ event: 'stated' }, () => {
      // A close of the connection states nothing.
      const isStated = record.work.framing !== 'close';
      if (run) Object.assign(run, { isStated, isEnded: true });
    })
    .with({ event: 'stopped' }, ({ reason }) => {
      // A length that is not met states nothing.
      if (run && record.work.framing !== 'length') run.earlyEnd = reason;
    })
    .with({ event: 'declined' }, ({ waited = 0 }) => record.arrivals.push(at - waited))
    .with({ event: 'crash' }, () => undefined)
    .with({ event: 'closed' }, { event: 'moved' }, () => {
      if (run) Object.assign(run, { isEnded: true, closedAt: run.closedAt ?? at });
    })
    .exhaustive();
}

function describeOutcome({ answer }: RequestRecord): string {
  if (!answer) return 'open';
  if (answer.status === 0) return 'no answer';
  if (answer.status === 200) return answer.error ? '200 cut' : '200';
  return String(answer.status);
}

/** Adds one to the count of the key. */
export function count(counts: Record<string, number>, key: string): void {
  Object.assign(counts, { [key]: (counts[key] ?? 0) + 1 });
}
