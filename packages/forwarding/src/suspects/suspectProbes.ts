import type { Clock, Milliseconds } from '@pomeloroad/core';
import type { EvidenceBook } from './suspectEvidence';
import type { StoredSuspect, SuspectTable } from './suspectTable';

/**
 * Times since the last crash or probe after which one request of the whole fleet may be sent in spite of
 * a block. There are few, since each may cost an endpoint and all streams on it.
 */
const PROBE_DELAYS_MS: readonly Milliseconds[] = [60_000, 600_000];
/** Those times for a suspect beside one that is at least as likely to blame. */
const CONTESTED_PROBE_DELAYS_MS: readonly Milliseconds[] = [1000, 2000, 600_000];

/** Requests of the whole fleet that are sent although suspects in them are blocked. */
export interface SuspectProbes {
  /** Takes the next probe of all suspects, or of none; false if one of them has none now. */
  take(names: string[]): Promise<boolean>;
  /** Gives a probe back that reached no endpoint. */
  giveBack(names: string[]): void;
}

/** Creates the probes that the rows of the store allow. */
export function createSuspectProbes(
  clock: Clock,
  table: SuspectTable,
  evidence: EvidenceBook,
): SuspectProbes {
  // Parts beside the one to blame stand in the same crashes, but mostly in more requests.
  function isContested(name: string): boolean {
    const own = evidence.countRequests(name);
    return evidence.listRivals(name).some((other) => evidence.countRequests(other) <= own);
  }

  function isLikeliest(name: string): boolean {
    const own = evidence.countRequests(name);
    return evidence.listRivals(name).every((other) => evidence.countRequests(other) >= own);
  }

  function getDelays(names: string[]): readonly Milliseconds[] | undefined {
    const isAlone = names.length === 1;
    if (names.every(isContested) && (isAlone || !names.some(isLikeliest)))
      return CONTESTED_PROBE_DELAYS_MS;
    return isAlone ? PROBE_DELAYS_MS : undefined;
  }

  function isDue(stored: StoredSuspect | undefined, delays: readonly Milliseconds[]): boolean {
    if (!stored) return false;
    const delay = delays[stored.probes] ?? Infinity;
    return clock.elapsed() - stored.changedAt >= delay;
  }

  return {
    async take(names) {
      const delays = getDelays(names);
      if (!delays || !names.every((name) => isDue(table.get(name), delays))) return false;
      const probes = new Map(names.map((name) => [name, table.get(name)?.probes]));
      const isFree = () => names.every((name) => table.get(name)?.probes === probes.get(name));
      const result = await table.update(names, (_, stored) =>
        stored && isFree() ? { ...stored, probes: stored.probes + 1 } : undefined,
      );
      return result === 'written';
    },
    giveBack(names) {
      table.update(names, (_, stored) =>
        stored && stored.probes > 0 ? { ...stored, probes: stored.probes - 1 } : undefined,
      );
    },
  };
}
