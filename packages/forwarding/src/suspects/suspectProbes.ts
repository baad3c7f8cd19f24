import type { Clock, Milliseconds } from '@pomeloroad/core';
import type { EvidenceBook } from './suspectEvidence';
import type { StoredSuspect, SuspectTable } from './suspectTable';

/**
 * Times since the last crash or probe after which one request of the whole fleet may be sent in spite of
 * a block. There are few, since each may cost an endpoint and all streams on it.
 */
const PROBE_DELAYS_MS: readonly Milliseconds[] = [60_000, 600_000];
/** Those times for a part beside one that is at least as likely to blame. */
const CONTESTED_PROBE_DELAYS_MS: readonly Milliseconds[] = [1000, 2000, 600_000];

/** Requests of the whole fleet that are sent although parts of their prompts are blocked. */
export interface SuspectProbes {
  /** Takes the next probe of all parts, or of none; false if one of them has none now. */
  take(parts: string[]): Promise<boolean>;
  /** Gives a probe back that reached no endpoint. */
  giveBack(parts: string[]): void;
}

/** Creates the probes that the rows of the store allow. */
export function createSuspectProbes(
  clock: Clock,
  table: SuspectTable,
  evidence: EvidenceBook,
): SuspectProbes {
  // Parts beside the one to blame stand in the same crashes, but mostly in more requests.
  function isContested(part: string): boolean {
    const own = evidence.countRequests(part);
    return evidence.listRivals(part).some((other) => evidence.countRequests(other) <= own);
  }

  function isLikeliest(part: string): boolean {
    const own = evidence.countRequests(part);
    return evidence.listRivals(part).every((other) => evidence.countRequests(other) >= own);
  }

  function getDelays(parts: string[]): readonly Milliseconds[] | undefined {
    const isAlone = parts.length === 1;
    if (parts.every(isContested) && (isAlone || !parts.some(isLikeliest)))
      return CONTESTED_PROBE_DELAYS_MS;
    return isAlone ? PROBE_DELAYS_MS : undefined;
  }

  function isDue(stored: StoredSuspect | undefined, delays: readonly Milliseconds[]): boolean {
    if (!stored) return false;
    const delay = delays[stored.probes] ?? Infinity;
    return clock.elapsed() - stored.changedAt >= delay;
  }

  return {
    async take(parts) {
      const delays = getDelays(parts);
      if (!delays || !parts.every((part) => isDue(table.get(part), delays))) return false;
      const probes = new Map(parts.map((part) => [part, table.get(part)?.probes]));
      const isFree = () => parts.every((part) => table.get(part)?.probes === probes.get(part));
      const result = await table.update(parts, (_, stored) =>
        stored && isFree() ? { ...stored, probes: stored.probes + 1 } : undefined,
      );
      return result === 'written';
    },
    giveBack(parts) {
      table.update(parts, (_, stored) =>
        stored && stored.probes > 0 ? { ...stored, probes: stored.probes - 1 } : undefined,
      );
    },
  };
}
