import type { Clock, Milliseconds } from '@pomeloroad/core';
import type { EndpointRecord } from '../types';

/** Longest time from the first event of a stream until a caller may take it up. */
export const STREAM_TIME_MAX_MS: Milliseconds = 15_000;

/** The versions of endpoints' software that served each service lately. */
export interface VersionHistory {
  /** Replaces the endpoints that serve. */
  update(records: EndpointRecord[]): void;
  /**
   * Whether streams that callers may still take up began at several versions of the service, counting
   * the given ones.
   */
  hasSeveral(service: string, more?: (string | undefined)[]): boolean;
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

  function markServing({ service, version }: EndpointRecord): void {
    const times = lastServed.get(service) ?? new Map<string | undefined, Milliseconds>();
    times.set(version, Infinity);
    lastServed.set(service, times);
  }

  function hasSeveral(service: string, more: (string | undefined)[] = []): boolean {
    const since = clock.elapsed() - STREAM_TIME_MAX_MS;
    const recent = [...(lastServed.get(service) ?? [])].filter(([, time]) => time >= since);
    return new Set([...recent.map(([version]) => version), ...more]).size > 1;
  }

  return {
    update(records) {
      markGone();
      records.forEach(markServing);
    },
    hasSeveral,
    hasSeveralAnywhere: () => [...lastServed.keys()].some((service) => hasSeveral(service)),
  };
}
