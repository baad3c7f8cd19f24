import type { Clock, Milliseconds } from '@pomeloroad/core';

/** Time for which losses are remembered; longer than any question about them goes back. */
const RETENTION_MS: Milliseconds = 60_000;

/** The incarnations of endpoints that were lost lately, as the store's feed tells. */
export interface EndpointLosses {
  /** Notes that an incarnation has gone: its entry is missing, or that of a later one has come. */
  note(incarnation: string): void;
  /** Notes that endpoints may have gone without a sign, since the store does not answer. */
  noteUnknown(): void;
  /** Whether an incarnation that is not one of these may have gone since the time of `clock.elapsed()`. */
  mayHaveOthers(known: readonly string[], since: Milliseconds): boolean;
}

/** Creates a memory of no losses. */
export function createEndpointLosses(clock: Clock): EndpointLosses {
  let losses: { incarnation: string | undefined; at: Milliseconds }[] = [];

  function add(incarnation: string | undefined): void {
    const now = clock.elapsed();
    losses = [...losses.filter(({ at }) => now - at < RETENTION_MS), { incarnation, at: now }];
  }

  return {
    note: add,
    noteUnknown: () => add(undefined),
    mayHaveOthers: (known, since) =>
      losses.some(
        ({ incarnation, at }) =>
          at >= since && (incarnation === undefined || !known.includes(incarnation)),
      ),
  };
}
