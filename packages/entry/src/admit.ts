import { Err, Ok } from 'ts-results';
import type { Milliseconds, Outcome, Tokens } from '@pomeloroad/core';
import { nameStream } from '@pomeloroad/budgets';
import type {
  CreatePlacement,
  HeldReservation,
  Placement,
  ReservationError,
} from '@pomeloroad/budgets';
import { createRefusal } from '@pomeloroad/requests';
import type { AnswerEnd, Refusal } from '@pomeloroad/requests';
import type { RouteError, RouteRequest, Slot } from '@pomeloroad/routing';
import { isKeeperLost } from './chatOutcome';
import type { RunHost } from './runHost';
import type { RunRequest } from './runRequest';
import { createUsageDraft } from './usage';

const ADMISSIONS_MAX = 3;
/** How long a slot is held while its request waits for tokens. */
const SLOT_HOLD_MAX_MS = 250;
const BUDGET_EXHAUSTED_RETRY_AFTER_MS = 30_000;
const BUDGET_UNREACHABLE_RETRY_AFTER_MS = 2000;
const NO_ENDPOINT_RETRY_AFTER_MS = 5000;

/** What a request holds while it runs: a slot of an endpoint and reserved tokens. */
export interface RequestResources {
  slot: Slot;
  reservation: HeldReservation | undefined;
}

/**
 * Waits for a slot and reserves tokens, for the request's patience at most. If either fails,
 * neither is held.
 */
export async function admitRequest(
  host: RunHost,
  request: RunRequest,
  route: RouteRequest,
  tokens: Tokens,
): Promise<Outcome<RequestResources, Refusal>> {
  const deadline = host.clock.elapsed() + request.patience;
  const slot = await acquireSlot(host, route, deadline);
  if (slot.err) return slot;
  if (tokens === 0) return Ok({ slot: slot.val, reservation: undefined });
  const createPlacement: CreatePlacement = (id) => getPlacement(request, slot.val, 1, id);
  const reserved = await reserve(
    host,
    request,
    tokens,
    deadline,
    SLOT_HOLD_MAX_MS,
    createPlacement,
  );
  if (reserved.ok) return Ok({ slot: slot.val, reservation: reserved.val });
  slot.val.release('ok');
  if (!isTransient(reserved.val, tokens)) return Err(refuseReservation(reserved.val));
  return admitWithoutHeldSlot(host, request, route, tokens, deadline);
}

// Requests in flight may free tokens when they end. Waits for these without holding a slot.
async function admitWithoutHeldSlot(
  host: RunHost,
  request: RunRequest,
  route: RouteRequest,
  tokens: Tokens,
  deadline: Milliseconds,
): Promise<Outcome<RequestResources, Refusal>> {
  const { budgetPatience } = host.settings;
  const reserved = await reserve(host, request, tokens, deadline, budgetPatience);
  if (reserved.err) return Err(refuseReservation(reserved.val));
  const slot = await acquireSlot(host, route, deadline);
  if (slot.err) {
    reserved.val.settle(undefined);
    return slot;
  }
  return Ok({ slot: slot.val, reservation: reserved.val });
}

/** Admits and runs a request again while its budget keeper is lost before anything was sent. */
export async function admitRepeatedly(admitAndRun: () => Promise<AnswerEnd>): Promise<AnswerEnd> {
  let end = await admitAndRun();
  for (let count = 1; count < ADMISSIONS_MAX && isKeeperLost(end); count += 1) {
    end = await admitAndRun();
  }
  return end;
}

/** Waits for a slot of an endpoint, until the deadline at most. */
export async function acquireSlot(
  host: RunHost,
  route: RouteRequest,
  deadline: Milliseconds,
): Promise<Outcome<Slot, Refusal>> {
  await host.guard.waitUntilFresh();
  const patience = Math.max(0, deadline - host.clock.elapsed());
  const slot = await host.admission.acquire({ ...route, patience });
  return slot.mapErr(refuseRoute);
}

async function reserve(
  host: RunHost,
  request: RunRequest,
  tokens: Tokens,
  deadline: Milliseconds,
  patience: Milliseconds,
  createPlacement?: CreatePlacement,
): Promise<Outcome<HeldReservation, ReservationError>> {
  const remainingTime = Math.max(0, Math.min(patience, deadline - host.clock.elapsed()));
  return host.budgets.reserve(createUsageDraft(request), tokens, remainingTime, createPlacement);
}

/** Returns where an attempt of a request runs under a reservation, with the name of its stream. */
export function getPlacement(
  { id, work }: RunRequest,
  slot: Slot,
  attempt: number,
  reservation: string,
): Placement {
  const { name: endpoint, address } = slot.endpoint;
  const stream = work.kind === 'chat' ? nameStream(`${id}.${attempt}`, reservation) : '';
  return { endpoint, address, stream };
}

// Whether waiting may help: the budget is out of reach, or has enough tokens that others hold now.
function isTransient(error: ReservationError, tokens: Tokens): boolean {
  return error.kind === 'unreachable' || error.remaining >= tokens;
}

function refuseReservation(error: ReservationError): Refusal {
  if (error.kind === 'exhausted') {
    const message = 'The budget does not hold enough tokens for this request. Top it up.';
    return createRefusal('budget_exhausted', 'no', message, BUDGET_EXHAUSTED_RETRY_AFTER_MS);
  }
  const message = `The budget can't be reached now: ${error.message}.`;
  return createRefusal('budget_unreachable', 'no', message, BUDGET_UNREACHABLE_RETRY_AFTER_MS);
}

function refuseRoute(error: RouteError): Refusal {
  if (error.kind === 'none') {
    const message = 'No live endpoint serves this target.';
    return createRefusal('no_endpoint', 'no', message, NO_ENDPOINT_RETRY_AFTER_MS);
  }
  const retryAfter = error.kind === 'busy' ? error.retryAfter : undefined;
  const message = 'All endpoints are busy for longer than the request may wait.';
  return createRefusal('overloaded', 'no', message, retryAfter);
}
