import type { RowKey, VersionedRow } from '@pomeloroad/storage';
import { getSharedKey } from '../store/sharedFeed';

/** An instance that carries connections for others. */
export interface Relay {
  instance: string;
  dataCentre: string;
  /** IP address and port at which it accepts tunnels. */
  address: string;
  /** Opens its tunnels; new at each start. */
  secret: string;
}

/** Returns the key of an instance's row. */
export function getRelayKey(instance: string): RowKey {
  return getSharedKey('relays', instance);
}

/** Encodes the value of an instance's row. */
export function encodeRelay({ dataCentre, address, secret }: Relay): string {
  return JSON.stringify({ dataCentre, address, secret });
}

/** Decodes an instance's row; `undefined` if it can't be read. */
export function decodeRelay({
  key,
  value,
}: Pick<VersionedRow, 'key' | 'value'>): Relay | undefined {
  try {
    const fields = JSON.parse(value) as Partial<Record<keyof Relay, unknown>> | null;
    const { dataCentre, address, secret } = fields ?? {};
    if (!isText(dataCentre) || !isText(address) || !isText(secret)) return undefined;
    return { instance: key, dataCentre, address, secret };
  } catch {
    return undefined;
  }
}

function isText(value: unknown): value is string {
  return typeof value === 'string';
}
