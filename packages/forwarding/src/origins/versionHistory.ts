import type { Clock, Milliseconds } from '@pomeloroad/core';

/** Longest time from the first event of a stream until a caller may take it up. */
export const STREAM_TIME_MAX_MS: Milliseconds = 15_000;

/** A version of endpoints' software that served a service; a missing one is a version of its own. */
export interface ServedVersion {
  service: string;
  version?: string | undefined;
}

/** The versions of endpoints' software that served each service lately. */
export interface VersionHistory {
  /** Replaces the versions that serve. */
  update(served: ServedVersion[]): void;
  /**
   * Whether streams that callers may still take up began at several versions of the service, counting
   * the given ones.
   */
  hasSeveral(service: string, more?: (string | undefined)[]): boolean;
  /** Adds versions that served until now at the latest. */
  remember(served: ServedVersion[]): void;
  /** Returns the versions that serve. */
  listServing(): ServedVersion[];
  /** Returns the versions that served within the time. */
  list(duration: Milliseconds): ServedVersion[];
  /** Whether that is so for any service. */
  hasSeveralAnywhere(): boolean;
}

/** Times of `clock.elapsed()` when each version served last, by service; infinite while it serves. */
type LastServed = Map<string, Map<string | undefined, Milliseconds>>;

/** Creates a history without versions. */
export function createVersionHistory(clock: Clock): VersionHistory {
  const lastServed: LastServed = new Map();

  function markGone(): void {
    const now = clock.elapsed();
    lastServed.forEach((times) =>
      times.forEach((time, version) => times.set(version, Math.min(time, now))),
    );
  }

  function mark({ service, version }: ServedVersion, time: Milliseconds): void {
    const times = lastServed.get(service) ?? new Map<string | undefined, Milliseconds>();
    times.set(version, Math.max(time, times.get(version) ?? -Infinity));
    lastServed.set(service, times);
  }

  const list = (duration: Milliseconds) => listSince(clock.elapsed() - duration);

  function listSince(since: Milliseconds): ServedVersion[] {
    return [...lastServed].flatMap(([service, times]) =>
      [...times].filter(([, time]) => time >= since).map(([version]) => ({ service, version })),
    );
  }

  function hasSeveral(service: string, more: (string | undefined)[] = []): boolean {
    const recent = list(STREAM_TIME_MAX_MS).filter((served) => served.service === service);
    return new Set([...recent.map(({ version }) => version), ...more]).size > 1;
  }

  return {
    update(served) {
      markGone();
      served.forEach((version) => mark(version, Infinity));
    },
    remember: (served) => served.forEach((version) => mark(version, clock.elapsed())),
    listServing: () => listSince(Infinity),
    list,
    hasSeveral,
    hasSeveralAnywhere: () => [...lastServed.keys()].some((service) => hasSeveral(service)),
  };
}
