import type { EngineEvent } from './engine';

/** The end of a stream, with what it used. */
export type EngineUsage = Extract<EngineEvent, { kind: 'usage' }>;

/** How far a stream has come. */
export interface Progress {
  /** Takes an event over; the text if it is new. */
  take(event: EngineEvent): string | undefined;
  deltas(): number;
  /** Index of the last text, -1 before the first. */
  lastIndex(): number;
  usage(): EngineUsage | undefined;
}

/** Creates the progress of a stream that has not begun. */
export function createProgress(): Progress {
  let deltas = 0;
  let lastIndex = -1;
  let usage: EngineUsage | undefined;
  return {
    take(event) {
      if (event.kind === 'usage') {
        usage = event;
        return undefined;
      }
      // A resumed stream may repeat what was received before.
      if (event.index <= lastIndex) return undefined;
      lastIndex = event.index;
      deltas += 1;
      return event.text;
    },
    deltas: () => deltas,
    lastIndex: () => lastIndex,
    usage: () => usage,
  };
}
