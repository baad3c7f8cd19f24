/** Complete server-sent events taken from a stream of bytes. */
export interface EventBatch {
  data: Buffer;
  count: number;
  /** Id of the last event that has one. */
  lastId: string | undefined;
}

/** Splits a stream of bytes at the ends of events. */
export interface EventSplitter {
  /** Returns the events that are now complete, if any; keeps the bytes after the last one. */
  push(chunk: Buffer): EventBatch | undefined;
  /** Whether bytes of an incomplete event are buffered. */
  hasPartialEvent(): boolean;
}

const EVENT_END = Buffer.from('\n\n');
const ID_FIELD_PATTERN = /^id: ?(.*)$/gm;

/** Creates a splitter for one stream. */
export function createEventSplitter(): EventSplitter {
  let pending: Buffer = Buffer.alloc(0);
  return {
    push(chunk) {
      const joined = pending.length > 0 ? Buffer.concat([pending, chunk]) : chunk;
      const end = joined.lastIndexOf(EVENT_END);
      if (end < 0) {
        pending = joined;
        return undefined;
      }
      const size = end + EVENT_END.length;
      pending = joined.subarray(size);
      return toEventBatch(joined.subarray(0, size));
    },
    hasPartialEvent: () => pending.length > 0,
  };
}

function toEventBatch(data: Buffer): EventBatch {
  const text = data.toString('latin1');
  const ids = [...text.matchAll(ID_FIELD_PATTERN)];
  return { data, count: text.split('\n\n').length - 1, lastId: ids[ids.length - 1]?.[1] };
}
