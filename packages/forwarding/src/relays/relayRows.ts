import { parseJson } from '@pomeloroad/core';
import type { RowKey, VersionedRow } from '@pomeloroad/storage';
import { isText } from '../store/rowFields';
import { getSharedKey } from '../store/sharedFeed';

/** An instance that carries connections for others. */
export interface Relay {
  instance: string;
  dataCentre: string;
  /** IP address and port at which it accepts tunnels. */
  address: string;
  /** Opens its tunnels; new at each start. */
  secret: string;
  /** Whether it reaches no endpoint itself, so that it can carry nothing now. */
  isCutOff: boolean;
}

/** Returns the key of an instance's row. */
export function getRelayKey(instance: string): RowKey {
  return getSharedKey('relays', instance);
}

/** Encodes the value of an instance's row. */
export function encodeRelay({ dataCentre, address, secret, isCutOff }: Relay): string {
  return JSON.stringify({ dataCentre, address, secret, cutOff: isCutOff || undefined });
}

/** Decodes an instance's row; `undefined` if it can't be read. */
export function decodeRelay({
  key,
  value,
}: Pick<VersionedRow, 'key' | 'value'>): Relay | undefined {
  const fields = parseJson(value) as Partial<Record<string, unknown>> | null | undefined;
  const { dataCentre, address, secret, cutOff } = fields ?? {};
  if (!isText(dataCentre) || !isText(address) || !isText(secret)) return undefined;
  return { instance: key, dataCentre, address, secret, isCutOff: cutOff === true };
}
