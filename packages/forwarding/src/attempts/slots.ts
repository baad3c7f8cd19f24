import { Err } from 'ts-results';
import type { Outcome } from '@pomeloroad/core';
import type { RouteError, Slot } from '@pomeloroad/routing';
import { getAdmissionWait } from './patience';
import { isOriginDoubted } from '../origins/takeUp';
import { getTimeLeft, mayOnlyReturn } from '../run';
import type { Run } from '../run';

/**
 * Waits for a slot on an endpoint that is not excluded, at most until the signal is aborted. The rest of a stream is
 * asked of one that is known to end streams early only if there is no other one.
 */
export async function acquireSlot<Payload>(
  run: Run<Payload>,
  excluded: ReadonlySet<string>,
  signal: AbortSignal,
): Promise<Outcome<Slot, RouteError>> {
  if (run.confirmer !== undefined) return acquireAny(run, new Set(), signal);
  if (run.firstByteAt === undefined) return acquireAny(run, excluded, signal);
  const early = [...run.host.endHistory.listEarly()];
  const slot = await acquireAny(run, new Set([...excluded, ...early]), signal);
  const hasNone = early.length > 0 && slot.err && slot.val.kind === 'none';
  return hasNone ? acquireAny(run, excluded, signal) : slot;
}

async function acquireAny<Payload>(
  run: Run<Payload>,
  excluded: ReadonlySet<string>,
  signal: AbortSignal,
): Promise<Outcome<Slot, RouteError>> {
  const { host, request } = run;
  if (isOriginDoubted(run)) {
    run.lack = 'none';
    return Err({ kind: 'none' });
  }
  const slot = await host.admission.acquire({
    target: { kind: 'service', service: request.service, origin: run.origin },
    account: request.account,
    // In routing, a higher number means a higher priority.
    priority: -request.priority,
    patience: getAdmissionWait(request.route, getTimeLeft(run)),
    excluded,
    only: findPlaces(run),
    prefix: request.prefix,
    signal,
  });
  if (slot.err) run.lack = slot.val.kind;
  const isLimited = slot.err && slot.val.kind === 'busy' && slot.val.isLimited;
  run.limitedWait = isLimited ? slot.val.retryAfter : undefined;
  return slot;
}

// Returns the only endpoints at which the request may run; `undefined` if it may run at any.
function findPlaces<Payload>(run: Run<Payload>): ReadonlySet<string> | undefined {
  if (run.confirmer !== undefined) return new Set([run.confirmer]);
  return mayOnlyReturn(run) ? run.returnable : undefined;
}
