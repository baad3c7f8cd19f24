import type { Suspect } from './suspectRows';
import type { SuspectTable } from './suspectTable';

/** Endpoints that have to crash under a suspect until no new request with it is sent. */
export const CRASHES_TO_BLOCK = 3;
/** Endpoints that have to crash under a suspect until no request with it is sent again after a failure. */
export const CRASHES_TO_HOLD = 2;
/** Crashes that a row names at most; more would tell nothing new. */
const CRASHES_NAMED_MAX = 8;

/** Crashes under a suspect, and the requests with it that they broke off. */
export type Evidence = Pick<Suspect, 'crashes' | 'requests'>;

/**
 * What is known against a suspect: nothing, too little to decide anything, enough not to send a request with
 * it again after a failure, or enough not to send it.
 */
export type Suspicion = 'none' | 'weak' | 'suspected' | 'blocked';

/** The evidence of all instances, with that of this instance which is not in the store yet. */
export interface EvidenceBook {
  add(name: string, evidence: Evidence): void;
  /** Forgets what is not in the store yet. */
  drop(name: string): void;
  has(name: string): boolean;
  judge(name: string): Suspicion;
  getCrashes(name: string): ReadonlySet<string>;
  countRequests(name: string): number;
  /** Returns the other suspects that may be to blame for the crashes under the suspect, which block them too. */
  listRivals(name: string): string[];
  /** Returns the suspects under which enough endpoints crashed, and that were not answered lately. */
  listCandidates(): string[];
  /** Returns the suspects under which several endpoints crashed, and that were not answered lately. */
  listRepeated(): string[];
  listBlocked(): string[];
  /** Returns the suspects with evidence that is not in the store yet. */
  listPending(): string[];
  /** Returns the row of a suspect with all evidence; `undefined` if the store has it already. */
  merge(name: string): Suspect | undefined;
}

/** Creates a book without evidence of its own over the rows of the store. */
export function createEvidenceBook(
  table: Pick<SuspectTable, 'get' | 'list'>,
  isSound: (name: string) => boolean,
): EvidenceBook {
  const pending = new Map<string, Evidence>();

  function getCrashes(name: string): ReadonlySet<string> {
    return new Set([...(table.get(name)?.crashes ?? []), ...(pending.get(name)?.crashes ?? [])]);
  }

  // Most names stand in one crash; this spares a set for each of them.
  function countCrashesAtMost(name: string): number {
    return (table.get(name)?.crashes.length ?? 0) + (pending.get(name)?.crashes.length ?? 0);
  }

  function countRequests(name: string): number {
    return (table.get(name)?.requests ?? 0) + (pending.get(name)?.requests ?? 0);
  }

  function isStored(name: string): boolean {
    const stored = table.get(name)?.crashes ?? [];
    if (stored.length >= CRASHES_NAMED_MAX) return true;
    return (pending.get(name)?.crashes ?? []).every((crash) => stored.includes(crash));
  }

  function listFrom(crashes: number): string[] {
    const names = new Set([...table.list(), ...pending.keys()]);
    return [...names].filter(
      (name) =>
        countCrashesAtMost(name) >= crashes && getCrashes(name).size >= crashes && !isSound(name),
    );
  }

  function listCandidates(): string[] {
    return listFrom(CRASHES_TO_BLOCK);
  }

  // The suspect to blame stands in all crashes; those that stand only in some of them stood beside it.
  function isExplained(name: string, candidates: string[]): boolean {
    const crashes = getCrashes(name);
    return candidates.some((other) => {
      const others = getCrashes(other);
      return others.size > crashes.size && countShared(crashes, others) === crashes.size;
    });
  }

  function judge(name: string): Suspicion {
    const count = getCrashes(name).size;
    if (count === 0 || isSound(name)) return 'none';
    if (count < CRASHES_TO_HOLD) return 'weak';
    if (count < CRASHES_TO_BLOCK || isExplained(name, listCandidates())) return 'suspected';
    return 'blocked';
  }

  function listBlocked(): string[] {
    const candidates = listCandidates();
    return candidates.filter((name) => !isExplained(name, candidates));
  }

  return {
    add(name, { crashes, requests }) {
      const known = pending.get(name) ?? { crashes: [], requests: 0 };
      pending.set(name, {
        crashes: [...new Set([...known.crashes, ...crashes])],
        requests: known.requests + requests,
      });
    },
    drop: (name) => pending.delete(name),
    has: (name) => pending.has(name) || table.get(name) !== undefined,
    judge,
    getCrashes,
    countRequests,
    listRivals(name) {
      const crashes = getCrashes(name);
      return listBlocked().filter(
        (other) => other !== name && countShared(crashes, getCrashes(other)) >= CRASHES_TO_BLOCK,
      );
    },
    listCandidates,
    listRepeated: () => listFrom(CRASHES_TO_HOLD),
    listBlocked,
    listPending: () => [...pending.keys()],
    merge(name) {
      if (isStored(name)) return undefined;
      const crashes = [...getCrashes(name)].slice(0, CRASHES_NAMED_MAX);
      return { crashes, requests: countRequests(name), probes: table.get(name)?.probes ?? 0 };
    },
  };
}

function countShared(left: ReadonlySet<string>, right: ReadonlySet<string>): number {
  return [...left].filter((crash) => right.has(crash)).length;
}
