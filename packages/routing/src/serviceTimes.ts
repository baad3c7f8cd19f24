import type { Milliseconds } from '@pomeloroad/core';
import { getTargetName } from './targets';
import type { RouteRequest } from './types';

const INITIAL_SERVICE_TIME_MS = 1000;
/** Weight of the newest observation in the moving average of the service time. */
const SERVICE_TIME_SMOOTHING_RATIO = 0.1;

/** Moving averages of the time that requests for each target take. */
export interface ServiceTimes {
  record(request: RouteRequest, duration: Milliseconds): void;
  get(request: RouteRequest): Milliseconds;
}

/** Creates averages without observations. */
export function createServiceTimes(): ServiceTimes {
  const averages = new Map<string, Milliseconds>();

  function get(request: RouteRequest): Milliseconds {
    return averages.get(getTargetName(request)) ?? INITIAL_SERVICE_TIME_MS;
  }

  return {
    record(request, duration) {
      const known = get(request);
      const next = known + (duration - known) * SERVICE_TIME_SMOOTHING_RATIO;
      averages.set(getTargetName(request), next);
    },
    get,
  };
}
