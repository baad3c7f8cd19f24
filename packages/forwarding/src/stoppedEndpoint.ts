import { sleep } from '@pomeloroad/core';
import type { Milliseconds } from '@pomeloroad/core';
import type { Slot } from '@pomeloroad/routing';
import type { Run } from './run';

/** Maximum time between the closes of a dying process's connections and of its listening socket. */
const PROCESS_END_MS: Milliseconds = 50;

/** Reason of an attempt whose endpoint has stopped. */
export const ENDPOINT_STOPPED = 'closed by an endpoint that accepts no connections any more';

/**
 * Returns whether the endpoint has stopped without having announced it. The kernel closes the
 * connections of a killed process just as an endpoint does after a complete answer.
 */
export async function hasStopped<Payload>({ host }: Run<Payload>, slot: Slot): Promise<boolean> {
  const endpoint = host.directory.find(slot.endpoint.name);
  if (!endpoint) return false;
  await sleep(host.clock, PROCESS_END_MS);
  const reachability = await host.protocol.probe(endpoint);
  return reachability === 'refused' && !slot.isLeaving();
}
