import type { Milliseconds } from '@pomeloroad/core';
import { CRASHES_TO_BLOCK } from './suspectEvidence';
import type { EvidenceBook } from './suspectEvidence';
import { isRequestName } from './suspectNames';

/**
 * Times since the last crash or probe after which one request of the whole fleet may be sent in spite of
 * a block. There are few, since each may cost an endpoint and all streams on it.
 */
const PROBE_DELAYS_MS: readonly Milliseconds[] = [60_000, 600_000];
/** Those times for a request without a suspect that is as likely to blame as each of those in it. */
const CONTESTED_PROBE_DELAYS_MS: readonly Milliseconds[] = [1000, 2000, 600_000];
/** Those times while another suspect may be to blame for one of the crashes. */
const DOUBTED_PROBE_DELAYS_MS: readonly Milliseconds[] = [3000, 6000, 600_000];

/**
 * Crashes of another cause with which a suspect that has too few crashes for a block may be to blame for the
 * block of one that stands beside it.
 */
const OTHER_CRASHES_MAX = 2;

/** Which of several suspects may be to blame for the same crashes, and what that means for probes. */
export interface SuspectBlame {
  /**
   * Returns the times, for one probe after the other, since the last crash or probe after which a request
   * of these names may be sent in spite of its blocked ones.
   */
  getProbeDelays(names: string[], blocked: string[]): readonly Milliseconds[];
  /** Whether another suspect is as likely to blame for the block. */
  mayBeSound(name: string): boolean;
}

/** Creates the blame that follows from the evidence. */
export function createSuspectBlame(evidence: EvidenceBook): SuspectBlame {
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

  // A whole request that is sent again stands in two crashes by itself.
  function listPossible(): string[] {
    const parts = evidence.listRepeated().filter((name) => !isRequestName(name));
    return [...new Set([...evidence.listCandidates(), ...parts])];
  }

  // Those that the request lacks and that stand in more crashes than any that it holds behind its blocked ones.
  function listLikelierOthers(names: string[], blocked: string[]): string[] {
    const count = (name: string) => evidence.getCrashes(name).size;
    const possible = listPossible();
    const hidden = possible.filter((name) => names.includes(name) && !blocked.includes(name));
    const most = Math.max(0, ...hidden.map(count));
    return possible.filter((other) => !names.includes(other) && count(other) > most);
  }

  // Whether one of the others may be to blame for crashes under the suspect.
  function isDoubted(name: string, others: string[]): boolean {
    const crashes = evidence.getCrashes(name);
    return others.some((other) => mayExplain(evidence.getCrashes(other), crashes));
  }

  function getProbeDelays(names: string[], blocked: string[]): readonly Milliseconds[] {
    if (blocked.every((name) => tellsApart(names, name))) return CONTESTED_PROBE_DELAYS_MS;
    const others = listLikelierOthers(names, blocked);
    const isInDoubt = blocked.some((name) => isDoubted(name, others));
    return isInDoubt ? DOUBTED_PROBE_DELAYS_MS : PROBE_DELAYS_MS;
  }

  // A suspect that nothing else may be to blame for keeps its probes: each of them is likely to cost an endpoint.
  function mayBeSound(name: string): boolean {
    return evidence.listRivals(name).some((other) => isAsLikely(other, name));
  }

  return { getProbeDelays, mayBeSound };
}

// One under too few crashes for a block stands in all of its own beside the other, which has few more.
function mayExplain(own: ReadonlySet<string>, crashes: ReadonlySet<string>): boolean {
  const shared = [...own].filter((crash) => crashes.has(crash)).length;
  if (own.size >= CRASHES_TO_BLOCK) return shared > 0;
  return shared === own.size && crashes.size - shared <= OTHER_CRASHES_MAX;
}
