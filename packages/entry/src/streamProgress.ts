import type { EngineEvent } from './engineClient';

/** The last event of a stream, with the tokens that it used. */
export type EngineUsage = Extract<EngineEvent, { kind: 'usage' }>;

/** Tracks the events received of a stream, over all connections on which it is read. */
export interface StreamProgress {
  /**
   * Records an event. Returns its text, or `undefined` if it has none or was received before. Throws
   * if an event before it is missing.
   */
  accept(event: EngineEvent): string | undefined;
  countDeltas(): number;
  /** Number of the last event before the end, or -1 before the first one. */
  getLastIndex(): number;
  /** The usage of the stream once its end was received. */
  usage(): EngineUsage | undefined;
}

/** Creates the progress of a stream of which nothing was received. */
export function createStreamProgress(): StreamProgress {
  let deltas = 0;
  let lastIndex = -1;
  let endIndex = -1;
  let usage: EngineUsage | undefined;
  return {
    accept(event) {
      const { index = lastIndex } = event;
      const next = Math.max(lastIndex, endIndex) + 1;
      if (index > next) throw new RangeError(`event ${next} is missing`);
      if (event.kind === 'usage') {
        usage = event;
        endIndex = index;
        return undefined;
      }
      // A resumed stream may repeat events that were received before.
      if (index <= lastIndex) return undefined;
      lastIndex = index;
      if (event.text === '') return undefined;
      deltas += 1;
      return event.text;
    },
    countDeltas: () => deltas,
    getLastIndex: () => lastIndex,
    usage: () => usage,
  };
}
