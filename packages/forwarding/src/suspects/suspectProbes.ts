import type { Clock, Milliseconds } from '@pomeloroad/core';
import type { EvidenceBook } from './suspectEvidence';
import type { StoredSuspect, SuspectTable } from './suspectTable';

/**
 * Times since the last crash or probe after which one request of the whole fleet may be sent in spite of
 * a block. There are few, since each may cost an endpoint and all streams on it.
 */
const PROBE_DELAYS_MS: readonly Milliseconds[] = [60_000, 600_000];
/** Those times for a request without a suspect that is as likely to blame as each of those in it. */
const CONTESTED_PROBE_DELAYS_MS: readonly Milliseconds[] = [1000, 2000, 600_000];
/** Those times while another suspect may be to blame for one of the crashes. */
const DOUBTED_PROBE_DELAYS_MS: readonly Milliseconds[] = [3000, 6000, 600_000];

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
  // Whether the other one stands in as many crashes, but in no more of the requests that they broke off.
  function isAsLikely(other: string, name: string): boolean {
    const hasCrashes = evidence.getCrashes(other).size >= evidence.getCrashes(name).size;
    return hasCrashes && evidence.countRequests(other) <= evidence.countRequests(name);
  }

  // A request without a suspect that is as likely to blame tells that one and its own apart.
  function tellsApart(names: string[], name: string): boolean {
    return evidence
      .listRivals(name)
      .some((other) => !names.includes(other) && isAsLikely(other, name));
  }

  // Whether a suspect that the request lacks stands in one of the crashes too.
  function isDoubted(names: string[], name: string): boolean {
    const crashes = evidence.getCrashes(name);
    return evidence
      .listCandidates()
      .filter((other) => !names.includes(other))
      .some((other) => [...evidence.getCrashes(other)].some((crash) => crashes.has(crash)));
  }

  function getDelays(names: string[]): readonly Milliseconds[] {
    if (names.every((name) => tellsApart(names, name))) return CONTESTED_PROBE_DELAYS_MS;
    return names.some((name) => isDoubted(names, name)) ? DOUBTED_PROBE_DELAYS_MS : PROBE_DELAYS_MS;
  }

  function isDue(stored: StoredSuspect | undefined, delays: readonly Milliseconds[]): boolean {
    if (!stored) return false;
    const delay = delays[stored.probes] ?? Infinity;
    return clock.elapsed() - stored.changedAt >= delay;
  }

  return {
    async take(names) {
      const delays = getDelays(names);
      if (!names.every((name) => isDue(table.get(name), delays))) return false;
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
