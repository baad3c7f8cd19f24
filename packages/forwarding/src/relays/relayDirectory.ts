import { Diagnostics, sleep } from '@pomeloroad/core';
import type { Clock, Log, Milliseconds, Random } from '@pomeloroad/core';
import type { RowChange, RowStore } from '@pomeloroad/storage';
import { SHARED_TABLE } from '../store/sharedFeed';
import type { SharedFeed } from '../store/sharedFeed';
import { createToldVersion } from '../store/toldVersion';
import { decodeRelay, encodeRelay, getRelayKey } from './relayRows';
import type { Relay } from './relayRows';
import { startRelaySweep } from './relaySweep';
import type { StoredRelay } from './relaySweep';

const RETRY_DELAY_MS: Milliseconds = 300;

/** Dependencies of knowing relays. */
export interface RelayDirectoryHost {
  clock: Clock;
  random: Random;
  log: Log;
  rows: RowStore;
  feed: SharedFeed;
  signal: AbortSignal;
  /** This instance, if it carries connections for others. */
  self: Omit<Relay, 'isCutOff'> | undefined;
  /** Names of the instances that renew their leases; `undefined` until these have been read. */
  listInstances(): string[] | undefined;
  /** Called with the name of an instance that carries no connections any more, or restarted. */
  onGone(instance: string): void;
}

/** The instances that carry connections for others, as the store's feed tells them. */
export interface RelayDirectory {
  /** Returns the others; the last known ones while the store is away. */
  list(): Relay[];
  /** Takes this instance out, now and from now on. */
  withdraw(): void;
  /** Tells the others whether this instance reaches no endpoint itself. */
  setCutOff(isCutOff: boolean): void;
}

/** Announces this instance and starts following the others. */
export function startRelayDirectory(host: RelayDirectoryHost): RelayDirectory {
  const { clock, log, rows, signal } = host;
  let self = host.self && { ...host.self, isCutOff: false };
  const told = createToldVersion();
  const known = new Map<string, StoredRelay>();
  let isWithdrawn = false;
  let isWriting = false;

  function set(key: string, value: string | undefined, version: number): void {
    const relay = value === undefined ? undefined : decodeRelay({ key, value });
    if (value !== undefined && !relay) log(Diagnostics.rowUnreadable, { table: SHARED_TABLE, key });
    const before = known.get(key);
    if (relay) known.set(key, { ...relay, version });
    else known.delete(key);
    if (before && before.secret !== relay?.secret) host.onGone(key);
  }

  function handleChanges(changes: RowChange[]): void {
    told.noteChanges(changes);
    changes.forEach(({ key, value, version }) => set(key, value, version));
    announce();
  }

  // The row may be missing after the store came back from an older copy, or be a predecessor's.
  async function announce(): Promise<void> {
    if (!self || isWriting) return;
    isWriting = true;
    while (!isAnnounced(self) && !signal.aborted) {
      const key = getRelayKey(self.instance);
      const value = isWithdrawn ? undefined : encodeRelay(self);
      const written = await rows.transact({
        checks: [],
        puts: value === undefined ? [] : [{ ...key, value }],
        removals: value === undefined ? [key] : [],
      });
      if (written.err) await sleep(clock, RETRY_DELAY_MS, signal);
      else if (!told.includes(written.val)) set(self.instance, value, written.val.revision);
    }
    isWriting = false;
  }

  function isAnnounced({ instance, secret, isCutOff }: Relay): boolean {
    const stored = known.get(instance);
    if (isWithdrawn || !stored) return isWithdrawn && !stored;
    return stored.secret === secret && stored.isCutOff === isCutOff;
  }

  host.feed.listen('relays', {
    onView(view) {
      told.noteView(view);
      const found = new Map(view.rows.map((row) => [row.key, row]));
      new Set([...known.keys(), ...found.keys()]).forEach((key) => {
        const { value, version = 0 } = found.get(key) ?? {};
        set(key, value, version);
      });
      announce();
    },
    onChanges: handleChanges,
  });
  startRelaySweep({ ...host, listRelays: () => [...known.values()] });

  return {
    list: () => [...known.values()].filter(({ instance }) => instance !== host.self?.instance),
    withdraw() {
      isWithdrawn = true;
      announce();
    },
    setCutOff(isCutOff) {
      self = self && { ...self, isCutOff };
      announce();
    },
  };
}
