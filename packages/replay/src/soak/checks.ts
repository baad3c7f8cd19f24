import { renderEvents } from '@pomeloroad/standins';
import type { RequestRecord } from './requestRecord';

/** Statuses with which an instance promises that a request has not run and never will. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);
const STATUS_OK = 200;

/** Name of a check; the result counts how often each was made. */
export type CheckName =
  'completeness' | 'content' | 'signature' | 'owner' | 'not-run' | 'at-most-once' | 'path';

/** A check of one request: what is wrong with it, or `undefined`. */
export type RequestCheck = (record: RequestRecord) => string | undefined;

/** The checks of one request. A check that does not concern it returns `undefined`. */
export const RequestChecks: Record<CheckName, RequestCheck> = {
  completeness: checkCompleteness,
  content: checkContent,
  signature: ({ answer }) =>
    answer?.status === STATUS_OK && !answer.isSigned ? 'a success without signature' : undefined,
  owner: ({ answer }) =>
    answer?.status === STATUS_OK && !answer.isOwn ? 'an answer of another request' : undefined,
  'not-run': checkNotRun,
  'at-most-once': checkAtMostOnce,
  path: checkPath,
};

// An endpoint's answer without a length ends with its connection, which states nothing.
function checkCompleteness({ answer, work, resumeAfter, runs }: RequestRecord) {
  if (answer?.status !== STATUS_OK || !answer.isStatedComplete) return undefined;
  const events = countEvents(answer.body);
  if (events >= work.events - resumeAfter || runs.some((run) => run.isStated)) return undefined;
  return `stated as complete after ${events} of ${work.events - resumeAfter} events`;
}

function checkContent({ id, answer, work, resumeAfter }: RequestRecord): string | undefined {
  if (answer?.status !== STATUS_OK) return undefined;
  const expected = renderEvents(id, resumeAfter, work.events);
  if (expected.startsWith(answer.body)) return undefined;
  return 'events are missing, repeated, out of order or of another request';
}

function checkNotRun({ answer, runs }: RequestRecord): string | undefined {
  if (!NOT_RUN_STATUSES.has(answer?.status ?? 0) || runs.length === 0) return undefined;
  return `status ${answer?.status}, but it ran at ${runs.map((run) => run.endpoint).join(', ')}`;
}

function checkAtMostOnce({ work, runs }: RequestRecord): string | undefined {
  const mayRepeat = work.route === 'stream' || work.route === 'often';
  if (mayRepeat || runs.length <= 1) return undefined;
  return `ran ${runs.length} times: ${runs.map((run) => run.endpoint).join(', ')}`;
}

function checkPath({ account, runs, work }: RequestRecord): string | undefined {
  const wrong = runs.find(
    (run) => run.account !== account || !run.path.startsWith(`/${work.route}/`),
  );
  return wrong && `ran at ${wrong.endpoint} as ${wrong.path} for account ${wrong.account}`;
}

/** Returns the number of whole events in the body. */
export function countEvents(body: string): number {
  return body.split('\n\n').length - 1;
}
