import { match } from 'ts-pattern';
import { Err } from 'ts-results';
import type { Outcome } from '@pomeloroad/core';
import type { RouteError, Slot } from '@pomeloroad/routing';
import { getAdmissionWait } from './patience';
import { isOriginDoubted } from '../origins/takeUp';
import { getTimeLeft, mayOnlyReturn } from '../run';
import type { Run } from '../run';

/** Endpoints of which some are to be asked before others. */
interface Choice {
  /** Names of the only ones; `undefined` if all others may be asked. */
  only?: ReadonlySet<string>;
  excluded: ReadonlySet<string>;
  /** Whether one of them that has no free slot is waited for. */
  isBinding: boolean;
}

/**
 * Waits for a slot on an endpoint that is not excluded, at most until the signal is aborted. The rest of a stream is
 * asked of one that is known to end streams early only if there is no other one, and whether an end holds is asked first
 * of those that may confirm it.
 */
export async function acquireSlot<Payload>(
  run: Run<Payload>,
  excluded: ReadonlySet<string>,
  signal: AbortSignal,
): Promise<Outcome<Slot, RouteError>> {
  if (run.confirmer !== undefined)
    return acquireAny(run, { excluded: new Set(), isBinding: true }, signal);
  if (run.firstByteAt === undefined) return acquireAny(run, { excluded, isBinding: true }, signal);
  const unfit = new Set([...excluded, ...listSharers(run)]);
  for (const choice of listChoices(run, unfit)) {
    const slot = await acquireAny(run, choice, signal);
    if (slot.ok || !mayAskOthers(choice, slot.val)) return slot;
  }
  return acquireAny(run, { excluded: unfit, isBinding: true }, signal);
}

function mayAskOthers({ isBinding }: Choice, { kind }: RouteError): boolean {
  return match(kind)
    .with('none', 'unreachable', () => true)
    .with('busy', () => !isBinding)
    .with('abandoned', () => false)
    .exhaustive();
}

// Whether an open answer is whole is not asked of those that may have ended their own streams for the same reason: they
// would use its attempts up.
function listSharers<Payload>({ host, request, course }: Run<Payload>): ReadonlySet<string> {
  if (course.openSince === undefined) return new Set();
  return host.endHistory.apartEnds.listShared(request.service, host.clock.elapsed());
}

// The best first. Endpoints whose latest end is doubted itself may be in the same trouble.
function listChoices<Payload>(run: Run<Payload>, excluded: ReadonlySet<string>): Choice[] {
  const { host, request, course } = run;
  const { confirmers, listEarly, listDoubted } = host.endHistory;
  const early = [...listEarly()];
  const notEarly = new Set([...excluded, ...early]);
  const choices: Choice[] = [];
  if (course.openSince !== undefined) {
    const able = confirmers.listAble(request.service);
    const isAmidTrouble = able.size > 0 && confirmers.hasTrouble(request.service);
    if (isAmidTrouble) choices.push({ only: able, excluded: notEarly, isBinding: true });
    const doubted = [...listDoubted()];
    const unsure = new Set([...notEarly, ...doubted]);
    if (doubted.length > 0) choices.push({ excluded: unsure, isBinding: false });
  }
  if (early.length > 0) choices.push({ excluded: notEarly, isBinding: true });
  return choices;
}

/** Waits for a slot on the endpoint of this name. */
export function acquireSlotAt<Payload>(
  run: Run<Payload>,
  name: string,
): Promise<Outcome<Slot, RouteError>> {
  const choice = { only: new Set([name]), excluded: new Set<string>(), isBinding: true };
  return acquireAny(run, choice, run.stop.signal);
}

async function acquireAny<Payload>(
  run: Run<Payload>,
  { only, excluded, isBinding }: Choice,
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
    patience: isBinding ? getAdmissionWait(request.route, getTimeLeft(run)) : 0,
    excluded,
    only: findPlaces(run, only),
    prefix: request.prefix,
    signal,
  });
  if (slot.err) run.lack = slot.val.kind;
  const isLimited = slot.err && slot.val.kind === 'busy' && slot.val.isLimited;
  run.limitedWait = isLimited ? slot.val.retryAfter : undefined;
  return slot;
}

// Returns the only endpoints at which the request may run; `undefined` if it may run at any.
function findPlaces<Payload>(
  run: Run<Payload>,
  only: ReadonlySet<string> | undefined,
): ReadonlySet<string> | undefined {
  if (run.confirmer !== undefined) return new Set([run.confirmer]);
  if (!mayOnlyReturn(run)) return only;
  return only ? new Set([...only].filter((name) => run.returnable.has(name))) : run.returnable;
}
