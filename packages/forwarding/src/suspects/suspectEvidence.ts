import type { Suspect } from './suspectRows';
import type { SuspectTable } from './suspectTable';

/** Endpoints that have to crash under a part until no new request with it is sent. */
export const CRASHES_TO_BLOCK = 3;
/** Endpoints that have to crash under a part until no request with it is sent again after a failure. */
export const CRASHES_TO_HOLD = 2;
/** Crashes that a row names at most; more would tell nothing new. */
const CRASHES_NAMED_MAX = 8;

/** Crashes under a part, and the requests with it that they broke off. */
export type Evidence = Pick<Suspect, 'crashes' | 'requests'>;

/**
 * What is known against a part: nothing, too little to decide anything, enough not to send a request with
 * it again after a failure, or enough not to send it.
 */
export type Suspicion = 'none' | 'weak' | 'suspected' | 'blocked';

/** The evidence of all instances, with that of this instance which is not in the store yet. */
export interface EvidenceBook {
  add(part: string, evidence: Evidence): void;
  /** Forgets what is not in the store yet. */
  drop(part: string): void;
  has(part: string): boolean;
  judge(part: string): Suspicion;
  getCrashes(part: string): ReadonlySet<string>;
  countRequests(part: string): number;
  /** Returns the other parts that may be to blame for the crashes under the part, which block them too. */
  listRivals(part: string): string[];
  listBlocked(): string[];
  /** Returns the parts with evidence that is not in the store yet. */
  listPending(): string[];
  /** Returns the row of a part with all evidence; `undefined` if the store has it already. */
  merge(part: string): Suspect | undefined;
}

/** Creates a book without evidence of its own over the rows of the store. */
export function createEvidenceBook(
  table: Pick<SuspectTable, 'get' | 'list'>,
  isSound: (part: string) => boolean,
): EvidenceBook {
  const pending = new Map<string, Evidence>();

  function getCrashes(part: string): ReadonlySet<string> {
    return new Set([...(table.get(part)?.crashes ?? []), ...(pending.get(part)?.crashes ?? [])]);
  }

  function countRequests(part: string): number {
    return (table.get(part)?.requests ?? 0) + (pending.get(part)?.requests ?? 0);
  }

  function isStored(part: string): boolean {
    const stored = table.get(part)?.crashes ?? [];
    if (stored.length >= CRASHES_NAMED_MAX) return true;
    return (pending.get(part)?.crashes ?? []).every((crash) => stored.includes(crash));
  }

  // Parts that stand in enough crashes and have not been answered lately.
  function listCandidates(): string[] {
    const parts = new Set([...table.list(), ...pending.keys()]);
    return [...parts].filter((part) => getCrashes(part).size >= CRASHES_TO_BLOCK && !isSound(part));
  }

  // The part to blame stands in all crashes; those that stand only in some of them stood beside it.
  function isExplained(part: string, candidates: string[]): boolean {
    const crashes = getCrashes(part);
    return candidates.some((other) => {
      const others = getCrashes(other);
      return others.size > crashes.size && countShared(crashes, others) === crashes.size;
    });
  }

  function judge(part: string): Suspicion {
    const count = getCrashes(part).size;
    if (count === 0 || isSound(part)) return 'none';
    if (count < CRASHES_TO_HOLD) return 'weak';
    if (count < CRASHES_TO_BLOCK || isExplained(part, listCandidates())) return 'suspected';
    return 'blocked';
  }

  function listBlocked(): string[] {
    const candidates = listCandidates();
    return candidates.filter((part) => !isExplained(part, candidates));
  }

  return {
    add(part, { crashes, requests }) {
      const known = pending.get(part) ?? { crashes: [], requests: 0 };
      pending.set(part, {
        crashes: [...new Set([...known.crashes, ...crashes])],
        requests: known.requests + requests,
      });
    },
    drop: (part) => pending.delete(part),
    has: (part) => pending.has(part) || table.get(part) !== undefined,
    judge,
    getCrashes,
    countRequests,
    listRivals(part) {
      const crashes = getCrashes(part);
      return listBlocked().filter(
        (other) => other !== part && countShared(crashes, getCrashes(other)) >= CRASHES_TO_BLOCK,
      );
    },
    listBlocked,
    listPending: () => [...pending.keys()],
    merge(part) {
      if (isStored(part)) return undefined;
      const crashes = [...getCrashes(part)].slice(0, CRASHES_NAMED_MAX);
      return { crashes, requests: countRequests(part), probes: table.get(part)?.probes ?? 0 };
    },
  };
}

function countShared(left: ReadonlySet<string>, right: ReadonlySet<string>): number {
  return [...left].filter((crash) => right.has(crash)).length;
}
