import { match } from 'ts-pattern';
import type { RouteRequest, ServiceTarget } from './types';

/** Returns the name of the engine's model or of the service that the request is for. */
export function getTargetName({ target }: RouteRequest): string {
  return match(target)
    .with({ kind: 'engine' }, ({ model }) => `engine ${model}`)
    .with({ kind: 'service' }, ({ service }) => `service ${service}`)
    .exhaustive();
}

/**
 * Returns a name that requests share which delay each other. Those for other targets wait for other endpoints;
 * those that are bound to a version delay only each other, since the others may be served anywhere.
 */
export function getQueueName(request: RouteRequest): string {
  const target = getTargetName(request);
  const origin = getOrigin(request);
  return origin ? `${target} at version ${origin.version ?? ''}` : target;
}

/** Whether only endpoints of one version may serve the request. */
export function isBound(request: RouteRequest): boolean {
  return getOrigin(request) !== undefined;
}

function getOrigin({ target }: RouteRequest): ServiceTarget['origin'] {
  return target.kind === 'service' ? target.origin : undefined;
}
