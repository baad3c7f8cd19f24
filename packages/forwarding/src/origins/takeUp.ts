import { Err, Ok } from 'ts-results';
import { match } from 'ts-pattern';
import { Diagnostics } from '@pomeloroad/core';
import type { Outcome } from '@pomeloroad/core';
import type { Endpoint } from '@pomeloroad/configuration';
import type { SentAttempt } from '../attempts/sentAttempt';
import { setService } from '../run';
import type { Run } from '../run';
import type { LateProof } from './originMemory';
import type { TakeUp } from './streamOrigins';
import { getIncarnation } from '../suspects/processNames';
import type { EndpointRecord, EventStream, RefusalKind } from '../types';

/**
 * If the caller takes a stream up, binds the run to the service and version that began the stream.
 * Refuses one of which that is not known.
 */
export async function placeTakeUp<Payload>(run: Run<Payload>): Promise<Outcome<void, RefusalKind>> {
  if (!isTakeUp(run)) return Ok(undefined);
  const { service, route } = run.request;
  const others = route.targets.map((target) => target.service).filter((name) => name !== service);
  const takeUp = await run.host.origins.find(getStream(run), [service, ...others], route);
  recordTakeUp(run, takeUp);
  return match(takeUp)
    .with({ kind: 'any' }, () => Ok(undefined))
    .with({ kind: 'known' }, ({ origin }) => {
      run.origin = origin;
      run.host.origins.note(getStream(run), origin);
      setService(run, origin.service);
      return Ok(undefined);
    })
    .with({ kind: 'unknown' }, () => Err('version-unknown' as const))
    .exhaustive();
}

/**
 * Binds the run to the version that brought its first event, and remembers it for take-ups. Resolves once that event may be
 * passed on, or need not be as the run ends.
 */
export async function noteEvents<Payload>(
  run: Run<Payload>,
  { slot, endpoint }: SentAttempt,
  { incarnation }: EventStream,
): Promise<void> {
  const { host, request } = run;
  if (run.origin || !request.route.isResumable) return;
  run.isUnproved = incarnation === 'unproved';
  run.origin = { service: request.service, version: getVersion(slot.endpoint) };
  const source = match(incarnation)
    .with('proved', (kind) => ({ kind, incarnation: endpoint ? getIncarnation(endpoint) : '' }))
    .with('unproved', (kind) => ({ kind, proof: endpoint && createProof(run, endpoint) }))
    .with(undefined, () => ({ kind: 'listed' as const, endpoint: endpoint?.id ?? '' }))
    .exhaustive();
  const isRest = isTakeUp(run);
  await host.origins.note(getStream(run), run.origin, { ...source, isRest }, run.stop.signal);
}

function createProof<Payload>(run: Run<Payload>, endpoint: EndpointRecord): LateProof {
  return {
    incarnation: getIncarnation(endpoint),
    identify: () => run.host.protocol.identify(endpoint),
    onProved() {
      run.isUnproved = false;
    },
  };
}

/** Returns whether the version that began the run's stream is in doubt, so that no endpoint may go on. */
export function isOriginDoubted<Payload>(run: Run<Payload>): boolean {
  // The memory forgets the oldest of many streams, and those that have lasted long.
  if (run.isUnproved) return true;
  return run.origin !== undefined && run.host.origins.isDoubted(getStream(run));
}

/** Returns the version of an endpoint's software. */
export function getVersion(endpoint: Endpoint): string | undefined {
  return endpoint.kind === 'service' ? endpoint.version : undefined;
}

function isTakeUp<Payload>({ request }: Run<Payload>): boolean {
  const { route, resumes, resumeAfter } = request;
  const isResumable = route.kind === 'streaming' && route.isResumable;
  return isResumable && (resumes !== undefined || resumeAfter !== undefined);
}

// The stream is named by the attempt that brought its first event.
function getStream<Payload>({ request }: Run<Payload>): string {
  return request.resumes ?? request.id;
}

function recordTakeUp<Payload>({ host, request }: Run<Payload>, takeUp: TakeUp): void {
  host.metrics.takeUps.add(1, { knowledge: takeUp.kind });
  const { id, service, resumes, resumeAfter: after } = request;
  const fields = match(takeUp)
    .with({ kind: 'any' }, () => ({}))
    .with({ kind: 'known' }, ({ origin, source }) => ({
      source,
      version: origin.version,
      origin: origin.service,
    }))
    .with({ kind: 'unknown' }, ({ reason }) => ({ reason }))
    .exhaustive();
  const details = { ...fields, knowledge: takeUp.kind, view: Math.round(host.getViewAge()) };
  host.log(Diagnostics.streamTakenUp, { request: id, service, resumes, after, ...details });
}
