import { createRefusal } from '@pomeloroad/requests';
import type { Answer, AnswerEnd, Refusal } from '@pomeloroad/requests';
import type { HeldReservation, UsageRecord } from '@pomeloroad/budgets';
import { sleep } from '@pomeloroad/core';
import type { Milliseconds } from '@pomeloroad/core';
import type { RouteRequest, Slot } from '@pomeloroad/routing';
import { acquireSlot, admitRepeatedly, admitRequest, getPlacement } from './admit';
import { refuse, refuseKeeperLost } from './chatOutcome';
import { claimName, releaseName } from './claimName';
import type { RunHost } from './runHost';
import type { RunRequest, ServiceCall } from './runRequest';
import type { ServiceError } from './serviceClient';
import { createUsageRecord } from './usage';

const ATTEMPTS_MAX = 3;
const BACKLOG_EVENTS_MAX = 16;
const RETRY_AFTER_MS = 1000;
/** Maximum time between the closes of a dying process's connections and of its listening socket. */
const PROCESS_END_MS: Milliseconds = 50;

type AttemptError = ServiceError | { kind: 'keeper-lost'; ran: 'no' };

/** Runs a call of a plain service and settles its usage. Returns how its answer ended. */
export async function runService(
  host: RunHost,
  request: RunRequest,
  call: ServiceCall,
  answer: Answer,
  signal: AbortSignal,
): Promise<AnswerEnd> {
  const run = { host, request, call, answer, signal };
  const deadline = host.clock.elapsed() + request.patience;
  return admitRepeatedly(() => admitAndRun(run, deadline));
}

async function admitAndRun(
  run: Omit<ServiceRun, 'reservation'>,
  deadline: Milliseconds,
): Promise<AnswerEnd> {
  const { host, request, call } = run;
  const { account, priority, patience } = request;
  const target = { kind: 'service' as const, service: call.service };
  const route: RouteRequest = { target, account, priority, patience, excluded: new Set() };
  const admitted = await admitRequest(host, request, route, call.tokens);
  if (admitted.err) return refuse(admitted.val);
  const { slot, reservation } = admitted.val;
  const claimed = await claimName(host, request);
  if (claimed.err) {
    slot.release('ok');
    reservation?.settle(undefined);
    return refuse(claimed.val);
  }
  return runAttempts({ ...run, reservation }, route, deadline, slot);
}

interface ServiceRun {
  host: RunHost;
  request: RunRequest;
  call: ServiceCall;
  answer: Answer;
  signal: AbortSignal;
  reservation: HeldReservation | undefined;
}

async function runAttempts(
  run: ServiceRun,
  route: RouteRequest,
  deadline: Milliseconds,
  firstSlot: Slot,
): Promise<AnswerEnd> {
  const { host, reservation, signal } = run;
  const excluded = new Set<string>();
  let slot = firstSlot;
  /** The first error after which the call may have run. */
  let errorInDoubt: AttemptError | undefined;
  for (let attempt = 1; ; attempt += 1) {
    const error = await runAttempt(run, slot);
    slot.release(error?.kind === 'failed' && !signal.aborted ? 'failed' : 'ok');
    if (!error) {
      reservation?.settle(createRecord(run));
      return { kind: 'complete' };
    }
    if (error.ran === 'unknown') errorInDoubt ??= error;
    excluded.add(slot.endpoint.name);
    const mayRetry = attempt < ATTEMPTS_MAX && !signal.aborted && isRetryable(run, error);
    const next = mayRetry ? await acquireSlot(host, { ...route, excluded }, deadline) : undefined;
    if (!next?.ok) return conclude(run, errorInDoubt ?? error);
    slot = next.val;
  }
}

async function conclude(run: ServiceRun, error: AttemptError): Promise<AnswerEnd> {
  const { host, request, reservation } = run;
  reservation?.settle(error.ran === 'no' ? undefined : createRecord(run));
  if (error.ran === 'no') await releaseName(host, request);
  return error.kind === 'keeper-lost' ? refuseKeeperLost() : refuse(toRefusal(error));
}

async function runAttempt(run: ServiceRun, slot: Slot): Promise<AttemptError | undefined> {
  const { host, request, call, answer, signal, reservation } = run;
  const isAlreadyPlaced = !reservation || reservation.placement?.endpoint === slot.endpoint.name;
  const isPlaced =
    isAlreadyPlaced || (await reservation.place(getPlacement(request, slot, 1, reservation.id)));
  if (!isPlaced) return { kind: 'keeper-lost', ran: 'no' };
  await host.guard.waitUntilFresh();
  if (slot.isLeaving()) return { kind: 'busy', ran: 'no', message: 'the endpoint is leaving' };
  let endsWithConnection = false;
  const outcome = await host.services.run(slot.endpoint.address, call, signal, {
    head(head) {
      endsWithConnection = head.endsWithConnection;
      slot.recordActivity();
      answer.append({ kind: 'head', ...head });
    },
    async bytes(data) {
      slot.recordActivity();
      answer.append({ kind: 'bytes', data });
      await answer.waitForBacklog(BACKLOG_EVENTS_MAX);
    },
  });
  if (outcome.err) return outcome.val;
  return endsWithConnection && (await isServiceDead(run, slot)) ? DEAD : undefined;
}

// The kernel closes the connections of a killed process just as a service does after a whole answer.
async function isServiceDead({ host, signal }: ServiceRun, slot: Slot): Promise<boolean> {
  await sleep(host.clock, PROCESS_END_MS);
  if (signal.aborted || slot.isLeaving()) return false;
  return (await host.services.isRefusing(slot.endpoint.address)) && !slot.isLeaving();
}

const DEAD: ServiceError = {
  kind: 'failed',
  ran: 'unknown',
  message: 'closed by a service that accepts no connections any more',
};

// A call that may have run is repeated only if it is idempotent and nothing was passed on yet.
function isRetryable({ request, answer }: ServiceRun, error: AttemptError): boolean {
  if (error.kind === 'keeper-lost') return false;
  if (error.ran === 'no') return true;
  return request.isIdempotent && error.kind === 'failed' && answer.length() === 0;
}

function createRecord({ host, request, call }: ServiceRun): UsageRecord {
  return createUsageRecord(host.clock, request, call.tokens, 0);
}

function toRefusal(error: ServiceError): Refusal {
  const text = `The service gave no whole answer: ${error.message}.`;
  if (error.kind === 'too-large') return createRefusal('answer_too_large', error.ran, text);
  const code = error.kind === 'busy' ? 'overloaded' : 'endpoint_failed';
  return createRefusal(code, error.ran, text, error.ran === 'no' ? RETRY_AFTER_MS : undefined);
}
