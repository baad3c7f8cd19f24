import type { Endpoint } from '@pomeloroad/configuration';
import type { EndpointRecord } from '../types';

/** An endpoint whose entry has gone, as it does after a silence too. */
export type LapsedEndpoint = Pick<EndpointRecord, 'service' | 'version'> & { name: string };

/** Returns whether the record is of an earlier incarnation or has a lower sequence. */
export function isOutdated(record: EndpointRecord, known: EndpointRecord): boolean {
  if (record.born !== known.born) return record.born < known.born;
  if (!isSameRun(record, known)) return false;
  return record.sequence < known.sequence;
}

/** Returns the name of the record's incarnation; nothing known about an earlier one applies to it. */
export function getName({ id, born, version }: EndpointRecord): string {
  return version === undefined ? `${id}/${born}` : `${id}/${born}/${version}`;
}

/** Returns what is told of an endpoint whose entry has gone. */
export function toLapsed(record: EndpointRecord): LapsedEndpoint {
  return { name: getName(record), service: record.service, version: record.version };
}

/**
 * Returns whether both records are of one incarnation. An endpoint that tells no start has started again if
 * its version is another one.
 */
export function isSameRun(left: EndpointRecord, right: EndpointRecord): boolean {
  return left.born === right.born && left.version === right.version;
}

/** Returns the endpoint as routing knows it. */
export function toEndpoint(record: EndpointRecord, leaving: boolean): Endpoint {
  const { service, address, dataCentre, concurrency, version } = record;
  return {
    kind: 'service',
    name: getName(record),
    service,
    address,
    dataCentre,
    concurrency,
    leaving,
    checksFencing: false,
    version,
  };
}
