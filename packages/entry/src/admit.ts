import { Err, Ok } from 'ts-results';
import type { Milliseconds, Outcome, Tokens } from '@pomeloroad/core';
import type { HeldReservation, Placement, ReservationError } from '@pomeloroad/budgets';
import { createRefusal } from '@pomeloroad/requests';
import type { Refusal } from '@pomeloroad/requests';
import type { RouteError, RouteRequest, Slot } from '@pomeloroad/routing';
import type { RunHost } from './runHost';
import type { RunRequest } from './runRequest';
import { createUsageDraft } from './usage';

/** How long a place on an endpoint is kept free while tokens are looked for. */
const SLOT_PATIENCE_MS = 250;
const EXHAUSTED_RETRY_MS = 30_000;
const UNREACHABLE_RETRY_MS = 2000;
const NO_ENDPOINT_RETRY_MS = 5000;

/** What a request needs before it is sent: a place on an endpoint and tokens. */
export interface Admitted {
  slot: Slot;
  reservation: HeldReservation | undefined;
}

/** Waits for a place and reserves tokens; nothing is held if it fails. */
export async function admitRequest(
  host: RunHost,
  request: RunRequest,
  route: RouteRequest,
  tokens: Tokens,
): Promise<Outcome<Admitted, Refusal>> {
  const deadline = host.clock.elapsed() + request.patience;
  const slot = await acquireSlot(host, route, deadline);
  if (slot.err) return slot;
  if (tokens === 0) return Ok({ slot: slot.val, reservation: undefined });
  const placement = getPlacement(request, slot.val, 1);
  const quick = await reserve(host, request, tokens, deadline, SLOT_PATIENCE_MS, placement);
  if (quick.ok) return Ok({ slot: slot.val, reservation: quick.val });
  slot.val.release('ok');
  if (!isWorthWaiting(quick.val, tokens)) return Err(refuseReservation(quick.val));
  return admitSlowly(host, request, route, tokens, deadline);
}

// Tokens may come free when requests in flight end: wait for them without blocking an endpoint.
async function admitSlowly(
  host: RunHost,
  request: RunRequest,
  route: RouteRequest,
  tokens: Tokens,
  deadline: Milliseconds,
): Promise<Outcome<Admitted, Refusal>> {
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

/** Waits for a place on an endpoint. */
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
  placement?: Placement,
): Promise<Outcome<HeldReservation, ReservationError>> {
  const left = Math.max(0, Math.min(patience, deadline - host.clock.elapsed()));
  return host.budgets.reserve(createUsageDraft(request), tokens, left, placement);
}

/** Where an attempt of a request runs. */
export function getPlacement({ id, work }: RunRequest, slot: Slot, attempt: number): Placement {
  const { name: endpoint, address } = slot.endpoint;
  const stream = work.kind === 'chat' ? `${id}.${attempt}` : '';
  return { endpoint, address, stream };
}

function isWorthWaiting(error: ReservationError, tokens: Tokens): boolean {
  return error.kind === 'unreachable' || error.remaining >= tokens;
}

function refuseReservation(error: ReservationError): Refusal {
  if (error.kind === 'exhausted') {
    const message = 'The budget does not hold enough tokens for this request. Top it up.';
    return createRefusal('budget_exhausted', 'no', message, EXHAUSTED_RETRY_MS);
  }
  const message = `The budget can't be reached now: ${error.message}.`;
  return createRefusal('budget_unreachable', 'no', message, UNREACHABLE_RETRY_MS);
}

function refuseRoute(error: RouteError): Refusal {
  if (error.kind === 'none') {
    const message = 'No live endpoint serves this target.';
    return createRefusal('no_endpoint', 'no', message, NO_ENDPOINT_RETRY_MS);
  }
  const retryAfter = error.kind === 'busy' ? error.retryAfter : undefined;
  const message = 'All endpoints are busy for longer than the request may wait.';
  return createRefusal('overloaded', 'no', message, retryAfter);
}
