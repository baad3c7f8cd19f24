import type { Clock, Milliseconds } from '@pomeloroad/core';
import type { EndpointRecord } from '../types';

/** Time for which the endpoints of a service count as in trouble after one of them was; as long as most streams last. */
const TROUBLE_TIME_MS: Milliseconds = 10_000;

/** Which services have endpoints that are being replaced or that fail. */
export interface ServiceTroubles {
  /** Notes that an endpoint of the service has failed or is gone. */
  note(service: string): void;
  /** Notes those of the entries that are leaving. */
  update(records: EndpointRecord[]): void;
  /** Whether one of the service's endpoints is leaving, or was lately in trouble. */
  has(service: string): boolean;
}

/** Creates the troubles of services that had none yet. */
export function createServiceTroubles(clock: Clock): ServiceTroubles {
  const troubledAt = new Map<string, Milliseconds>();
  let leaving = new Set<string>();

  const note = (service: string) => troubledAt.set(service, clock.elapsed());

  return {
    note,
    update(records) {
      const left = leaving;
      leaving = new Set(records.filter(({ isLeaving }) => isLeaving).map(({ service }) => service));
      // Those that have left were in trouble until now.
      left.forEach(note);
    },
    has(service) {
      const at = troubledAt.get(service) ?? -Infinity;
      return leaving.has(service) || clock.elapsed() - at < TROUBLE_TIME_MS;
    },
  };
}
