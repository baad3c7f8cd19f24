import type { Clock, Milliseconds } from '@pomeloroad/core';
import { STREAM_TIME_MAX_MS } from './versionHistory';

/** Maximum number of streams that are remembered; the oldest is forgotten first. */
const STREAMS_MAX = 1000;

/** Where the first event of a stream came from. */
export interface StreamOrigin {
  service: string;
  /** Version of the endpoint's software; a missing one is a version of its own. */
  version: string | undefined;
}

/** The origins of the streams that began lately at this instance or were taken up at it. */
export interface OriginMemory {
  set(stream: string, origin: StreamOrigin): void;
  find(stream: string): StreamOrigin | undefined;
  /** Returns the streams with their origins, the oldest first. */
  list(): [stream: string, origin: StreamOrigin][];
}

/** Creates a memory of no stream. */
export function createOriginMemory(clock: Clock): OriginMemory {
  const entries = new Map<string, { origin: StreamOrigin; setAt: Milliseconds }>();

  function prune(): void {
    const since = clock.elapsed() - STREAM_TIME_MAX_MS;
    // Entries stand in the order of their times.
    for (const [stream, { setAt }] of entries) {
      if (setAt >= since && entries.size <= STREAMS_MAX) return;
      entries.delete(stream);
    }
  }

  return {
    set(stream, origin) {
      entries.delete(stream);
      entries.set(stream, { origin, setAt: clock.elapsed() });
      prune();
    },
    find(stream) {
      prune();
      return entries.get(stream)?.origin;
    },
    list() {
      prune();
      return [...entries].map(([stream, { origin }]) => [stream, origin]);
    },
  };
}
