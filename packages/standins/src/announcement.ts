import { runPeriodically, sleep } from '@pomeloroad/core';
import type { Clock, Milliseconds } from '@pomeloroad/core';
import { ENDPOINT_TABLE, putRow, removeRow } from './platformWire';

const HEARTBEAT_INTERVAL_MS: Milliseconds = 400;

/** What an endpoint's entry in the store tells. */
export interface EndpointEntry {
  id: string;
  service: string;
  /** Address at which instances reach it, as `ip:port`. */
  address: string;
  dataCentre: string;
  slots: number;
  /** Version of its software. */
  version: string;
  /** Unix time in milliseconds at which its process started. */
  born: number;
}

/** The entry of an endpoint, renewed until it is withdrawn. */
export interface Announcement {
  /** Announces that the endpoint leaves; resolves once the store has accepted that. */
  leave(): Promise<void>;
  /** Removes the entry. */
  withdraw(): Promise<void>;
}

/**
 * Announces an endpoint in the store at the address, tells when it is listed and renews its entry, which is first
 * written after the delay.
 */
export function announceEndpoint(
  clock: Clock,
  store: string,
  { id, service, address, dataCentre, slots, version, born }: EndpointEntry,
  delay: Milliseconds,
  onListed: () => void,
): Announcement {
  const stopped = new AbortController();
  let state: 'ready' | 'draining' = 'ready';
  let seq = 0;
  let isListed = false;

  function write(): Promise<boolean> {
    seq += 1;
    const entry = { service, address, zone: dataCentre, slots, state, seq, born, version };
    return putRow(store, ENDPOINT_TABLE, id, JSON.stringify(entry));
  }

  async function renew(): Promise<void> {
    const isAccepted = await write();
    if (isAccepted && !isListed) onListed();
    isListed ||= isAccepted;
  }

  sleep(clock, delay, stopped.signal).then(() =>
    runPeriodically(clock, () => HEARTBEAT_INTERVAL_MS, stopped.signal, renew),
  );
  return {
    async leave() {
      state = 'draining';
      while (!(await write()));
    },
    async withdraw() {
      stopped.abort();
      await removeRow(store, ENDPOINT_TABLE, id);
    },
  };
}
