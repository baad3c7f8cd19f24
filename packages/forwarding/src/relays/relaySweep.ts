import { runPeriodically } from '@pomeloroad/core';
import type { Clock, Milliseconds, Random } from '@pomeloroad/core';
import type { RowStore } from '@pomeloroad/storage';
import { getRelayKey } from './relayRows';
import type { Relay } from './relayRows';

const SWEEP_INTERVAL_MS: Milliseconds = 10_000;
/** Time without a lease after which an instance counts as lost; longer than paths to the store are cut. */
const LOST_AFTER_MS: Milliseconds = 30_000;

/** An instance that carries connections, as its row in the store tells. */
export interface StoredRelay extends Relay {
  version: number;
}

/** Dependencies of removing the rows of lost instances. */
export interface RelaySweepHost {
  clock: Clock;
  random: Random;
  rows: RowStore;
  signal: AbortSignal;
  self: Pick<Relay, 'instance'> | undefined;
  listRelays(): StoredRelay[];
  /** Names of the instances that renew their leases; `undefined` until these have been read. */
  listInstances(): string[] | undefined;
}

/**
 * Removes rows whose instances have not renewed their leases for some time, as those of killed instances and
 * those that an older copy of the store has brought back. An instance that lives writes its row again.
 */
export function startRelaySweep(host: RelaySweepHost): void {
  const { clock, random, rows, signal, self } = host;

  /** When instances with a row were first found to renew no lease. */
  let missingSince = new Map<string, Milliseconds>();

  // The leases tell nothing of others where they lack this instance.
  function listMissing(): StoredRelay[] {
    const instances = host.listInstances();
    if (!instances || !self || !instances.includes(self.instance)) return [];
    return host.listRelays().filter(({ instance }) => !instances.includes(instance));
  }

  function findLost(): StoredRelay[] {
    const missing = listMissing();
    const now = clock.elapsed();
    missingSince = new Map(
      missing.map(({ instance }) => [instance, missingSince.get(instance) ?? now]),
    );
    return missing.filter(
      ({ instance }) => now - (missingSince.get(instance) ?? now) >= LOST_AFTER_MS,
    );
  }

  // What fails is tried at the next sweep, unless another instance was faster.
  async function remove({ instance, version }: StoredRelay): Promise<void> {
    const key = getRelayKey(instance);
    await rows.transact({ checks: [{ ...key, version }], puts: [], removals: [key] });
  }

  async function sweep(): Promise<void> {
    for (const relay of findLost()) await remove(relay);
  }

  const drawDelay = () => SWEEP_INTERVAL_MS + random.integer(0, SWEEP_INTERVAL_MS);
  runPeriodically(clock, drawDelay, signal, sweep);
}
