import { sleep } from '@pomeloroad/core';
import type { Milliseconds, Outcome } from '@pomeloroad/core';
import type { RouteError, Slot } from '@pomeloroad/routing';
import { getTimeLeft, mayOnlyReturn } from '../run';
import type { Run } from '../run';

/** Time for which a request waits for an endpoint whose entry has lapsed. */
const LAPSED_WAIT_MAX_MS: Milliseconds = 1500;
/** Fraction of the request's remaining time that this wait may use. */
const LAPSED_WAIT_TIME_LEFT_RATIO = 0.5;
/** Time after which such an endpoint is looked for again. */
const NEXT_LOOK_MS: Milliseconds = 100;

/**
 * Looks for a slot by the function. A request that may have run has no other refusal than a failure, so while
 * it has no endpoint left but ones whose entries have just lapsed, it waits for them to be listed again.
 */
export async function awaitLapsedEndpoints<Payload>(
  run: Run<Payload>,
  acquire: () => Promise<Outcome<Slot, RouteError>>,
): Promise<Outcome<Slot, RouteError>> {
  const { clock } = run.host;
  const wait = Math.min(LAPSED_WAIT_MAX_MS, getTimeLeft(run) * LAPSED_WAIT_TIME_LEFT_RATIO);
  const until = clock.elapsed() + wait;
  const isGivenUp = () => run.stop.signal.aborted || run.question.signal.aborted;
  const mayWait = () => clock.elapsed() < until && !isGivenUp() && hasLapsed(run);
  let slot = await acquire();
  while (slot.err && slot.val.kind === 'none' && run.runs > 0 && mayWait()) {
    await sleep(clock, NEXT_LOOK_MS, run.stop.signal);
    slot = await acquire();
  }
  return slot;
}

function hasLapsed<Payload>(run: Run<Payload>): boolean {
  const { host, request, origin, excluded, returnable } = run;
  return host.directory
    .listLapsed()
    .filter(({ service }) => service === request.service)
    .filter(({ version }) => !origin || origin.version === version)
    .some(({ name }) => !excluded.has(name) && (!mayOnlyReturn(run) || returnable.has(name)));
}
