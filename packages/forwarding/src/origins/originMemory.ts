import { match } from 'ts-pattern';
import type { Clock, Milliseconds } from '@pomeloroad/core';
import { STREAM_TIME_MAX_MS } from './versionHistory';
import type { Identity } from '../types';

/** Maximum number of streams that are remembered, of those in doubt and of others; the oldest is forgotten first. */
const STREAMS_MAX = 1000;
/** Maximum number of endpoints that are remembered as started again; the oldest is forgotten first. */
const RENEWED_MAX = 1000;

/** Where the first event of a stream came from. */
export interface StreamOrigin {
  service: string;
  /** Version of the endpoint's software; a missing one is a version of its own. */
  version: string | undefined;
}

/** An origin, and whether the stream may be of another version than that, so that it can go on nowhere. */
export interface RecordedOrigin extends StreamOrigin {
  isDoubted: boolean;
}

/** How the source of an unproved stream may be proved after it has begun. */
export interface LateProof {
  /** Name of the incarnation that was listed when the stream's connection was opened. */
  incarnation: string;
  /** Asks what serves at its address now. */
  identify(): Promise<Identity>;
  /** Called once the incarnation is proved. */
  onProved(): void;
}

/** Who sent the first event of an answer, as far as it bears on what is known of the version of its stream. */
type AnswerSource =
  /** The incarnation of the name, which was listed: it has told its start. */
  | { kind: 'proved'; incarnation: string }
  /** An endpoint that tells no start: the one with the id, unless another incarnation of it is listed soon. */
  | { kind: 'listed'; endpoint: string }
  /** Nobody knows which incarnation, until that is proved, if it can be. */
  | { kind: 'unproved'; proof?: LateProof | undefined };

/** The same, and whether the answer is the rest of a stream that may have begun at another instance. */
export type OriginSource = AnswerSource & { isRest?: boolean | undefined };

/** The origins of the streams that began lately at this instance or were taken up at it. */
export interface OriginMemory {
  /** Remembers the origin, and who sent the first event unless that was known before. */
  set(stream: string, origin: StreamOrigin, source?: OriginSource): void;
  /** Remembers the origin as it was recorded. */
  restore(stream: string, origin: RecordedOrigin): void;
  find(stream: string): StreamOrigin | undefined;
  /** Whether the stream began here, so that whatever puts it in doubt is known here. */
  hasBegunHere(stream: string): boolean;
  /**
   * Tells the other version with which the endpoint of the id, or the incarnation of the name, is listed now. Doubts the
   * origins of streams that began there within the time, and of those that are still said to begin there with another one.
   */
  doubt(endpoint: string, version: string | undefined, duration: Milliseconds): void;
  isDoubted(stream: string): boolean;
  /** Whether any stream that callers may still take up is doubted. */
  hasDoubted(): boolean;
  /** Returns the streams with their origins, the oldest first. */
  list(): [stream: string, origin: RecordedOrigin][];
}

interface Entry {
  origin: StreamOrigin;
  endpoint: string | undefined;
  hasBegunHere: boolean;
  begunAt: Milliseconds;
  setAt: Milliseconds;
  isDoubted: boolean;
}

/** Creates a memory of no stream. */
export function createOriginMemory(clock: Clock): OriginMemory {
  const entries = new Map<string, Entry>();
  const renewed = new Map<string, string | undefined>();

  function prune(): void {
    const since = clock.elapsed() - STREAM_TIME_MAX_MS;
    // Entries stand in the order of their times.
    for (const [stream, { setAt }] of entries) {
      if (setAt >= since) break;
      entries.delete(stream);
    }
    if (entries.size > STREAMS_MAX) [false, true].forEach(forgetOldest);
  }

  // A doubt that gave way to other streams would let its stream go on wherever one version is known.
  function forgetOldest(isDoubted: boolean): void {
    const alike = [...entries].filter(([, entry]) => entry.isDoubted === isDoubted);
    const surplus = Math.max(0, alike.length - STREAMS_MAX);
    alike.slice(0, surplus).forEach(([stream]) => entries.delete(stream));
  }

  function noteRenewed(endpoint: string, version: string | undefined): void {
    renewed.delete(endpoint);
    renewed.set(endpoint, version);
    const [oldest] = renewed.keys();
    if (renewed.size > RENEWED_MAX && oldest !== undefined) renewed.delete(oldest);
  }

  function isOutdated(endpoint: string | undefined, { version }: StreamOrigin): boolean {
    if (endpoint === undefined || !renewed.has(endpoint)) return false;
    return renewed.get(endpoint) !== version;
  }

  return {
    set(stream, origin, source) {
      const now = clock.elapsed();
      // A stream that is taken up began where it did, so what is learnt of its source later still counts.
      const begun = source ? undefined : entries.get(stream);
      entries.delete(stream);
      const endpoint = source ? getDoubtName(source) : begun?.endpoint;
      const isDoubted = begun?.isDoubted === true || source?.kind === 'unproved';
      const begunAt = begun?.begunAt ?? now;
      const hasBegunHere = source ? !source.isRest : begun?.hasBegunHere === true;
      entries.set(stream, {
        ...{ origin, endpoint, hasBegunHere, begunAt, setAt: now },
        isDoubted: isDoubted || isOutdated(endpoint, origin),
      });
      prune();
    },
    restore(stream, { service, version, isDoubted }) {
      const now = clock.elapsed();
      const origin = { service, version };
      entries.set(stream, {
        ...{ origin, endpoint: undefined, hasBegunHere: false, begunAt: now, setAt: now },
        isDoubted,
      });
      prune();
    },
    find(stream) {
      prune();
      return entries.get(stream)?.origin;
    },
    hasBegunHere: (stream) => entries.get(stream)?.hasBegunHere ?? false,
    doubt(endpoint, version, duration) {
      noteRenewed(endpoint, version);
      const since = clock.elapsed() - duration;
      entries.forEach((entry, stream) => {
        const isAffected = entry.endpoint === endpoint && entry.begunAt >= since;
        if (isAffected) entries.set(stream, { ...entry, isDoubted: true });
      });
    },
    isDoubted: (stream) => entries.get(stream)?.isDoubted ?? false,
    hasDoubted() {
      prune();
      return [...entries.values()].some(({ isDoubted }) => isDoubted);
    },
    list() {
      prune();
      return [...entries].map(([stream, { origin, isDoubted }]) => [
        stream,
        { ...origin, isDoubted },
      ]);
    },
  };
}

// Returns by what name the version of the stream's source may turn out to be another one.
function getDoubtName(source: OriginSource): string | undefined {
  return match(source)
    .with({ kind: 'proved' }, ({ incarnation }) => incarnation)
    .with({ kind: 'listed' }, ({ endpoint }) => endpoint)
    .with({ kind: 'unproved' }, () => undefined)
    .exhaustive();
}
