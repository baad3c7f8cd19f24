/** Complete server-sent events taken from a stream of bytes, with the comments before them. */
export interface EventBatch {
  data: Buffer;
  count: number;
  /** Id of the last event that has one. */
  lastId: string | undefined;
  /** Number of events behind that one, or of all if none has an id; none if left out. */
  unnumbered?: number;
}

/** Splits a stream of bytes at the ends of events. */
export interface EventSplitter {
  /** Returns the events that are now complete, if any; keeps the bytes after the last one. */
  push(chunk: Buffer): EventBatch | undefined;
  /** Whether bytes of an incomplete event are buffered. */
  hasPartialEvent(): boolean;
  /** Whether more bytes are buffered than an event and the comments before it may have. */
  isTooLarge(): boolean;
  /** Returns the buffered blocks that hold no event; they may stand at the end of a stream. */
  takeComments(): Buffer;
}

/**
 * Maximum size of an event and the comments before it. An event carries a few tokens; this leaves
 * room for one that carries a quarter of the largest whole answer.
 */
export const EVENT_MAX_BYTES = 4_194_304;

/** What ends each block of a stream, an event or a comment. */
export const BLOCK_END = '\n\n';
/** An empty id tells nothing of where a stream may go on; its event counts as one without an id. */
const ID_FIELD_PATTERN = /^id:(?: |(?! ))(.+)$/gm;
/** Matches a line that makes its block an event; comments and unknown fields do not. */
const EVENT_LINE_PATTERN = /^(?:data|id)(?::|$)/gm;

/** Creates a splitter for one stream. */
export function createEventSplitter(): EventSplitter {
  let buffer = Buffer.alloc(0);
  let size = 0;
  // End of the last buffered block; the blocks before it hold no event.
  let blocksEnd = 0;

  // Doubles the buffer when it is full, so that an event in many parts is not copied for each.
  function append(chunk: Buffer): void {
    if (size + chunk.length > buffer.length) {
      const larger = Buffer.allocUnsafe(Math.max(2 * buffer.length, size + chunk.length));
      buffer.copy(larger, 0, 0, size);
      buffer = larger;
    }
    chunk.copy(buffer, size);
    size += chunk.length;
  }

  function take(end: number): Buffer {
    const taken = buffer.subarray(0, end);
    buffer = Buffer.from(buffer.subarray(end, size));
    size = buffer.length;
    blocksEnd -= end;
    return taken;
  }

  return {
    push(chunk) {
      // The end of a block may begin with the last byte of the previous chunk.
      const from = Math.max(blocksEnd, size - 1);
      append(chunk);
      const index = buffer.subarray(from, size).lastIndexOf(BLOCK_END);
      if (index < 0) return undefined;
      const end = from + index + BLOCK_END.length;
      const text = buffer.subarray(blocksEnd, end).toString('latin1');
      const textStart = blocksEnd;
      blocksEnd = end;
      const eventsEnd = findEventsEnd(text);
      return eventsEnd > 0 ? toEventBatch(take(textStart + eventsEnd), text) : undefined;
    },
    hasPartialEvent: () => size > blocksEnd,
    isTooLarge: () => size > EVENT_MAX_BYTES,
    takeComments: () => take(blocksEnd),
  };
}

// Returns where the last event in whole blocks ends, 0 if they hold none.
function findEventsEnd(text: string): number {
  const lines = [...text.matchAll(EVENT_LINE_PATTERN)];
  const last = lines[lines.length - 1];
  return last ? text.indexOf(BLOCK_END, last.index) + BLOCK_END.length : 0;
}

function toEventBatch(data: Buffer, text: string): EventBatch {
  const blocks = text.split(BLOCK_END);
  return {
    data,
    count: countEvents(blocks),
    lastId: findEventId(text),
    unnumbered: countUnnumbered(blocks),
  };
}

/** Returns how many events stand behind the last one with an id. */
export function countUnnumbered(blocks: string[]): number {
  const last = [...blocks].reverse().findIndex((block) => findEventId(block) !== undefined);
  return countEvents(last < 0 ? blocks : blocks.slice(blocks.length - last));
}

/** Returns how many of the blocks are events. */
export function countEvents(blocks: string[]): number {
  return blocks.filter((block) => block.search(EVENT_LINE_PATTERN) >= 0).length;
}

/** Returns the id of the last event in the text that has one. */
export function findEventId(text: string): string | undefined {
  const ids = [...text.matchAll(ID_FIELD_PATTERN)];
  return ids[ids.length - 1]?.[1];
}
