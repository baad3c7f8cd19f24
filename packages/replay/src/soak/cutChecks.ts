import type { Milliseconds } from '@pomeloroad/core';
import { CALLER_LEFT } from '@pomeloroad/standins';
import type { AnswerFault } from '@pomeloroad/standins';
import type { CheckContext, CheckOutcome } from './checks';
import { CONTACT_MS, STATUS_OK } from './checkBounds';
import { isWhole } from './requestRecord';
import type { RequestRecord } from './requestRecord';
import { TIME_LIMIT_MS } from './sender';

/** Requests sent later than this after SIGTERM may be cut by the end of the process. */
const SHUTDOWN_ARRIVAL_MS: Milliseconds = 3000;
/** Time before its limit from which on an answer is held to have used up its caller's time. */
const LIMIT_MARGIN_MS: Milliseconds = 500;
/** Faults with which an endpoint's answer is sound: it is whole, but falls silent on the way. */
export const SILENT_FAULTS: AnswerFault[] = ['none', 'late', 'silent'];
/** Statuses of an answer that an instance has broken off or given up. */
const CUT_STATUSES = [0, STATUS_OK, 502, 504];

/** Checks that no answer is cut by an orderly shutdown beside which nothing else happened. */
export function checkShutdown(record: RequestRecord, { faults }: CheckContext): CheckOutcome {
  const { instance, runs, sentAt, endedAt = Infinity, work, patience } = record;
  const shutdown = faults.findShutdown(instance, sentAt, endedAt);
  const isSound = work.fault === 'none' && patience === undefined;
  if (!shutdown || runs.length === 0 || !isSound || isOutOfTime(record, shutdown)) return 'skipped';
  const names = [instance, 'store', ...runs.map((run) => run.endpoint)];
  if (faults.isHarmed(names, sentAt - CONTACT_MS, endedAt)) return 'skipped';
  const { status = 0, error = 'ended' } = record.answer ?? {};
  if (isWhole(record) || (status !== 0 && status !== STATUS_OK)) return 'held';
  return { message: `cut by a shutdown: ${error}` };
}

/**
 * Checks that an answer is not given up while its endpoints go on with it, also after a silence. It
 * concerns requests that have reached an endpoint and whose instance, endpoints and connections no
 * fault but a silence or planned work has touched.
 */
export function checkCutWhileAlive(record: RequestRecord, { faults }: CheckContext): CheckOutcome {
  const { answer, instance, runs, sentAt, endedAt, work } = record;
  const isSound = SILENT_FAULTS.includes(work.fault) && answer?.error !== CALLER_LEFT;
  const hasLived = runs.length > 0 && runs.every((run) => run.isEnded);
  if (!answer || endedAt === undefined || !isSound || !hasLived) return 'skipped';
  const shutdown = faults.findShutdown(instance, sentAt, endedAt);
  const names = [instance, ...runs.map((run) => run.endpoint)];
  const isHarmed = faults.isHarmed(names, sentAt - CONTACT_MS, endedAt);
  if (isHarmed || isOutOfTime(record, shutdown)) return 'skipped';
  if (isWhole(record) || !CUT_STATUSES.includes(answer.status)) return 'held';
  const endpoints = runs.map(({ endpoint, sent }) => `${endpoint}, at event ${sent}`).join('; ');
  const status = `status ${answer.status}, ${answer.error ?? 'ended'}`;
  return { message: `given up (${status}) while it went on at ${endpoints}` };
}

/**
 * Checks that no answer is cut behind its last event though its endpoints have sent it to its end. It concerns the
 * same requests as `checkCutWhileAlive`.
 */
export function checkWholeCut(record: RequestRecord, context: CheckContext): CheckOutcome {
  if (!isWhole(record) || checkCutWhileAlive(record, context) === 'skipped') return 'skipped';
  const { answer, runs, work } = record;
  if (answer?.looksComplete || !runs.some(({ sent }) => sent === work.events)) return 'held';
  const endpoints = runs.map(({ endpoint, sent }) => `${endpoint}, event ${sent}`).join('; ');
  return { message: `cut with all events (${answer?.error ?? 'ended'}), sent by ${endpoints}` };
}

/** Whether a sound endpoint's answer held all events, but had not ended before its time limit came near. */
export function isWholeAtLimit(record: RequestRecord): boolean {
  const { runs, work, patience } = record;
  const isSound = SILENT_FAULTS.includes(work.fault) && patience === undefined;
  const hasAll = isWhole(record) && runs.some((run) => run.isEnded && run.sent === work.events);
  return isSound && hasAll && isOutOfTime(record, undefined);
}

/** Whether a request had used up its time, or came too late before the end of its process. */
export function isOutOfTime(
  { sentAt, endedAt = Infinity, timeLimit = TIME_LIMIT_MS }: RequestRecord,
  shutdown: { from: number } | undefined,
): boolean {
  const isLate = shutdown !== undefined && sentAt > shutdown.from + SHUTDOWN_ARRIVAL_MS;
  return isLate || endedAt - sentAt > timeLimit - LIMIT_MARGIN_MS;
}
