/** Whole events cut out of a stream of bytes. */
export interface WholeEvents {
  data: Buffer;
  count: number;
  /** Id of the last event that has one. */
  lastId: string | undefined;
}

/** Cuts a stream into whole events; what follows the last one waits for more bytes. */
export interface EventSplitter {
  push(chunk: Buffer): WholeEvents | undefined;
  /** Whether bytes of an event without its end are left over. */
  hasRest(): boolean;
}

const EVENT_END = Buffer.from('\n\n');
const ID_FIELD = /^id: ?(.*)$/gm;

/** Creates a splitter for one stream. */
export function createEventSplitter(): EventSplitter {
  let rest: Buffer = Buffer.alloc(0);
  return {
    push(chunk) {
      const joined = rest.length > 0 ? Buffer.concat([rest, chunk]) : chunk;
      const end = joined.lastIndexOf(EVENT_END);
      if (end < 0) {
        rest = joined;
        return undefined;
      }
      const size = end + EVENT_END.length;
      rest = joined.subarray(size);
      return describeEvents(joined.subarray(0, size));
    },
    hasRest: () => rest.length > 0,
  };
}

function describeEvents(data: Buffer): WholeEvents {
  const text = data.toString('latin1');
  const ids = [...text.matchAll(ID_FIELD)];
  return { data, count: text.split('\n\n').length - 1, lastId: ids[ids.length - 1]?.[1] };
}
