import { match } from 'ts-pattern';
import type { Clock, Milliseconds } from '@pomeloroad/core';
import { RequestChecks } from './checks';
import type { LogLine, RequestRecord, StampedEndpointLine } from './requestRecord';

/** Time after its end for which a request is watched for a run that starts late. */
const WATCH_TIME_MS: Milliseconds = 8000;
/** Time around a request from which faults belong to its time line. */
const FAULT_CONTEXT_MS: Milliseconds = 5000;

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
  open(record: RequestRecord): void;
  /** Adds a line of a process and, if it is an endpoint's, reads its step of a request. */
  addLine(source: string, text: string): void;
  addFault(text: string): void;
  fail(check: string, message: string): void;
  /** Checks the requests whose watch time is over, or all of them. */
  judge(isFinal: boolean): void;
  failures: Failure[];
  /** How often each check was made. */
  checks: Record<string, number>;
  /** Number of judged requests by how they ended. */
  outcomes: Record<string, number>;
  listRecords(): RequestRecord[];
  onJudged: (record: RequestRecord) => void;
}

/** Creates an empty collection. */
export function createEvidence(clock: Clock): Evidence {
  const records = new Map<string, RequestRecord>();
  const faultLines: LogLine[] = [];
  const now = () => clock.now().getTime();
  const evidence: Evidence = {
    failures: [],
    checks: {},
    outcomes: {},
    onJudged: () => undefined,
    open: (record) => records.set(record.id, record),
    addLine,
    addFault: (text) => faultLines.push({ at: now(), source: 'fault', text }),
    fail(check, message) {
      evidence.failures.push({ check, message, timeLine: listFaults(now(), now()) });
    },
    judge,
    listRecords: () => [...records.values()],
  };

  function addLine(source: string, text: string): void {
    const line = parseLine(text);
    const record = records.get(String(line?.request));
    if (!line || !record) return;
    record.lines.push({ at: Date.parse(String(line.at)), source, text });
    if ('event' in line) recordStep(record, line as unknown as StampedEndpointLine);
  }

  function judge(isFinal: boolean): void {
    const limit = now() - WATCH_TIME_MS;
    records.forEach((record) => {
      const isDue = record.endedAt !== undefined && record.endedAt < limit;
      if (!isDue && !isFinal) return;
      records.delete(record.id);
      judgeRecord(record);
    });
  }

  function judgeRecord(record: RequestRecord): void {
    Object.entries(RequestChecks).forEach(([check, apply]) => {
      count(evidence.checks, check);
      const message = apply(record);
      if (message !== undefined) failRequest(record, check, message);
    });
    count(evidence.outcomes, describeOutcome(record));
    evidence.onJudged(record);
  }

  function failRequest(record: RequestRecord, check: string, message: string): void {
    const context = listFaults(record.sentAt, record.endedAt ?? now());
    const timeLine = [...record.lines, ...context].sort((a, b) => a.at - b.at);
    evidence.failures.push({ check, request: record.id, message, timeLine });
  }

  function listFaults(from: number, to: number): LogLine[] {
    return faultLines.filter(
      ({ at }) => at >= from - FAULT_CONTEXT_MS && at <= to + FAULT_CONTEXT_MS,
    );
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
  match(line)
    .with({ event: 'run' }, ({ account, after, path }) => {
      const at = Date.parse(line.at);
      const fields = { endpoint: line.id, at, account, after, path };
      record.runs.push({ ...fields, sent: after, isStated: false });
    })
    .with({ event: 'sent' }, ({ number }) => {
      if (run) run.sent = number;
    })
    .with({ event: 'stated' }, () => {
      // A close of the connection states nothing.
      if (run) run.isStated = record.work.framing !== 'close';
    })
    .with({ event: 'closed' }, { event: 'declined' }, () => undefined)
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
  // eslint-disable-next-line no-param-reassign
  counts[key] = (counts[key] ?? 0) + 1;
}
