import type { Clock, ConnectError, Milliseconds } from '@pomeloroad/core';

/** Interval at which a path that may be cut is tried, by a connection of its own. */
const PROBE_INTERVAL_MS: Milliseconds = 1000;
/** Time for which relays are not asked for an endpoint that none of them reached. */
const UNREACHABLE_TIME_MS: Milliseconds = 2000;

/** Maximum number of addresses that are remembered; the one that was noted first is forgotten first. */
const PATHS_MAX = 1000;

/** What is known of this instance's own path to an endpoint. */
interface Path {
  /** How the latest connection failed; `undefined` if it opened. */
  failure: ConnectError['kind'] | undefined;
  /** Whether a relay opened a connection since. */
  isCut: boolean;
  /** When the own path was last tried. */
  triedAt: Milliseconds;
  /** When neither the own path nor a relay reached the endpoint. */
  unreachableAt: Milliseconds;
}

/** This instance's own paths to endpoints, by their addresses. */
export interface Paths {
  /** Whether relays are to be asked first. */
  isDoubtful(address: string): boolean;
  /** Whether the own path failed while a relay's did not. */
  isCut(address: string): boolean;
  /** Whether relays may be asked at all. */
  mayRelay(address: string): boolean;
  /** Whether the own path is to be tried again, by a connection of its own; counts as tried then. */
  takeProbe(address: string): boolean;
  noteOpened(address: string): void;
  noteFailed(address: string, failure: ConnectError['kind']): void;
  /** Notes that a relay opened a connection; returns whether this shows that the own path is cut. */
  noteRelayed(address: string): boolean;
  noteUnreachable(address: string): void;
  listCut(): string[];
}

/** Creates paths of which nothing is known, which are taken for sound. */
export function createPaths(clock: Clock): Paths {
  const paths = new Map<string, Path>();

  function find(address: string): Path {
    const known = paths.get(address);
    if (known) return known;
    const path: Path = {
      failure: undefined,
      isCut: false,
      triedAt: -Infinity,
      unreachableAt: -Infinity,
    };
    paths.set(address, path);
    const [oldest = ''] = paths.keys();
    if (paths.size > PATHS_MAX) paths.delete(oldest);
    return path;
  }

  return {
    isDoubtful: (address) => paths.get(address)?.failure !== undefined,
    isCut: (address) => paths.get(address)?.isCut ?? false,
    mayRelay: (address) =>
      clock.elapsed() - (paths.get(address)?.unreachableAt ?? -Infinity) >= UNREACHABLE_TIME_MS,
    takeProbe(address) {
      const path = find(address);
      if (clock.elapsed() - path.triedAt < PROBE_INTERVAL_MS) return false;
      path.triedAt = clock.elapsed();
      return true;
    },
    noteOpened(address) {
      paths.delete(address);
    },
    noteFailed(address, failure) {
      const path = find(address);
      path.failure = failure;
      path.triedAt = clock.elapsed();
    },
    noteRelayed(address) {
      const path = paths.get(address);
      if (path?.failure === undefined || path.isCut) return false;
      path.isCut = true;
      return true;
    },
    noteUnreachable(address) {
      // The endpoint is at fault, so the own path is tried first again.
      const path = find(address);
      path.failure = undefined;
      path.isCut = false;
      path.unreachableAt = clock.elapsed();
    },
    listCut: () => [...paths].filter(([, { isCut }]) => isCut).map(([address]) => address),
  };
}
