import { CALLER_LEFT } from '@pomeloroad/standins';
import { CONTACT_MS, STATUS_OK } from './checkBounds';
import type { CheckContext, CheckOutcome } from './checks';
import { isOutOfTime, SILENT_FAULTS } from './cutChecks';
import { isWhole } from './requestRecord';
import type { RequestRecord } from './requestRecord';

/** Statuses that only what can't be read, or what is not allowed, gets; no request that has run. */
const REFUSED_MIN = 400;
const REFUSED_MAX = 499;
/** Of them those that promise that the request has not run, which has a check of its own. */
const PROMISES = [408, 421, 429];
const UNSUPPORTED = [501, 505];

/** Checks that an answer names its request; one to what can't be read behind it does not. */
export function checkOwner({ answer, mayBeRefused }: RequestRecord): CheckOutcome {
  if (!answer || answer.status === 0) return 'skipped';
  if (mayBeRefused && answer.status !== STATUS_OK) return 'skipped';
  return answer.isOwn ? 'held' : { message: `status ${answer.status}, of another request` };
}

/**
 * Checks that a request that an endpoint has run gets its answer, or a failure that may be true, if its
 * caller stays and nothing has ended its instance or cut the connection. Trouble of the store is no excuse.
 */
export function checkAnswered(record: RequestRecord, context: CheckContext): CheckOutcome {
  const { answer, runs, endedAt, instance, sentAt } = record;
  const hasLeft = answer?.error === CALLER_LEFT;
  if (!answer || endedAt === undefined || runs.length === 0 || hasLeft) return 'skipped';
  const shutdown = context.faults.findShutdown(instance, sentAt, endedAt);
  const isCut = context.faults.isCut(instance, sentAt - CONTACT_MS, endedAt);
  if (isCut || isOutOfTime(record, shutdown)) return 'skipped';
  const { status, error = 'ended' } = answer;
  if (isRefusal(status)) return { message: `misplaced: ran, but status ${status}` };
  if (status > STATUS_OK || isWhole(record)) return 'held';
  if (hasBrokenOff(record, context)) return 'skipped';
  return { message: status === 0 ? `lost: ran, but no answer (${error})` : `cut: ${error}` };
}

function isRefusal(status: number): boolean {
  const isClientError = status >= REFUSED_MIN && status <= REFUSED_MAX;
  return (isClientError && !PROMISES.includes(status)) || UNSUPPORTED.includes(status);
}

function hasBrokenOff(
  { runs, work, sentAt, endedAt = sentAt }: RequestRecord,
  { faults }: CheckContext,
): boolean {
  const names = runs.map((run) => run.endpoint);
  const isSound = SILENT_FAULTS.includes(work.fault);
  return !isSound || faults.isHarmed(names, sentAt - CONTACT_MS, endedAt);
}
