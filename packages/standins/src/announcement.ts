import { runPeriodically } from '@pomeloroad/core';
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
}

/** The entry of an endpoint, renewed until it is withdrawn. */
export interface Announcement {
  /** Announces that the endpoint leaves; resolves once the store has accepted that. */
  leave(): Promise<void>;
  /** Removes the entry. */
  withdraw(): Promise<void>;
}

/** Announces an endpoint in the store at the address, tells when it is listed and renews its entry. */
export function announceEndpoint(
  clock: Clock,
  store: string,
  { id, service, address, dataCentre, slots, version }: EndpointEntry,
  onListed: () => void,
): Announcement {
  const born = clock.now().getTime();
  const stopped = new AbortController();
  let state: 'ready' | 'draining' = 'ready';
  let seq = 0;
  let isListed = false;

  function write(): Promise<boolean> {
    seq += 1;
    const entry = { service, address, zone: dataCentre, slots, state, seq, born, version };
    return putRow(store, ENDPOINT_TABLE, id, JSON.stringify(entry));
  }

  runPeriodically(
    clock,
    () => HEARTBEAT_INTERVAL_MS,
    stopped.signal,
    async () => {
      const isAccepted = await write();
      if (isAccepted && !isListed) onListed();
      isListed ||= isAccepted;
    },
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
