import type { AnswerEvent } from '@pomeloroad/requests';
import type { EngineEvent } from './engineTypes';

/** The end of a stream, with the tokens that it used and why its text ends. */
export type StreamEnd = Extract<AnswerEvent, { kind: 'usage' }>;

/** Reasons with which model servers state that a text is finished. */
const FINISHED_REASONS = new Set([
  'stop',
  'length',
  'tool_calls',
  'function_call',
  'content_filter',
]);

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
  /** Whether the stream's end was received, whatever the reason that it states. */
  hasEnded(): boolean;
  /** The end of the stream once it was received, if the engine states that the text is finished. */
  usage(): StreamEnd | undefined;
}

/** Creates the progress of a stream of which nothing was received. */
export function createStreamProgress(): StreamProgress {
  let deltas = 0;
  let lastIndex = -1;
  let endIndex = -1;
  let end: Extract<EngineEvent, { kind: 'usage' }> | undefined;
  let finish: string | undefined;
  return {
    accept(event) {
      const { index = lastIndex } = event;
      const next = Math.max(lastIndex, endIndex) + 1;
      if (index > next) throw new RangeError(`event ${next} is missing`);
      if (event.kind === 'usage') {
        end = event;
        endIndex = index;
        finish = event.finish ?? finish;
        return undefined;
      }
      // A resumed stream may repeat events that were received before.
      if (index <= lastIndex) return undefined;
      lastIndex = index;
      finish = event.finish ?? finish;
      if (event.text === '') return undefined;
      deltas += 1;
      return event.text;
    },
    countDeltas: () => deltas,
    getLastIndex: () => lastIndex,
    hasEnded: () => end !== undefined,
    usage() {
      // Usage alone is also what an engine reports of a stream that it stopped.
      if (!end || finish === undefined || !FINISHED_REASONS.has(finish)) return undefined;
      const { kind, promptTokens, completionTokens } = end;
      return { kind, promptTokens, completionTokens, finish };
    },
  };
}
