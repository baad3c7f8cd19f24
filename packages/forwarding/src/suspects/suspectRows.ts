import type { RowKey } from '@pomeloroad/storage';
import { isText, parseList } from '../store/rowFields';
import { getSharedKey } from '../store/sharedFeed';

/** A suspect under which endpoints have crashed. */
export interface Suspect {
  /** Incarnations of endpoints that crashed while they worked on a request with the name. */
  crashes: string[];
  /** Number of requests with the suspect that were broken off by these crashes. */
  requests: number;
  /** Number of requests that were let through, to find out whether it still crashes endpoints. */
  probes: number;
}

/** Returns the key of a suspect's row. */
export function getSuspectKey(name: string): RowKey {
  return getSharedKey('suspects', name);
}

/** Encodes the value of a suspect's row. */
export function encodeSuspect({ crashes, requests, probes }: Suspect): string {
  return JSON.stringify([probes, requests, ...crashes]);
}

/** Decodes the value of a suspect's row; `undefined` if it can't be read. */
export function decodeSuspect(value: string): Suspect | undefined {
  const [probes, requests, ...crashes] = parseList(value);
  if (typeof probes !== 'number' || typeof requests !== 'number') return undefined;
  return crashes.every(isText) ? { crashes, requests, probes } : undefined;
}
