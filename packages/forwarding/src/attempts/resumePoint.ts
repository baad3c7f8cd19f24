import { BLOCK_END, countEvents, countUnnumbered, findEventId } from './events';
import type { EventBatch } from './events';

/** Ids of this form are counted up by their endpoints, so that the one before an id is known. */
const COUNTED_ID_PATTERN = /^\d{1,40}$/;

/** Where an endpoint is to go on with a stream. */
export interface ResumePoint {
  /** Id of the event after which it is to go on; `undefined` for the start of the stream. */
  after: string | undefined;
  /** Id of the last event that the caller has, which the endpoint is asked to send again, or is left out if it does. */
  repeated: string | undefined;
  /** Number of events without an id that the caller has behind that one; none if left out. */
  unnumbered?: number;
}

/**
 * Returns where to go on for a caller that has the event with the id, or nothing yet. The endpoint is
 * asked for that event again: one that sends it and then ends has shown that nothing follows, while an end
 * without any event may be that of an endpoint that could not go on.
 */
export function createResumePoint(lastEventId: string | undefined, unnumbered = 0): ResumePoint {
  if (lastEventId === undefined || !isCountedId(lastEventId)) {
    return { after: lastEventId, repeated: undefined };
  }
  const before = BigInt(lastEventId) - 1n;
  const after = before > 0n ? `${before}` : undefined;
  return { after, repeated: lastEventId, ...(unnumbered > 0 && { unnumbered }) };
}

/**
 * Returns where to go on for an endpoint that has sent the caller's last event again, and is asked whether any
 * other one follows.
 */
export function createConfirmationPoint(lastEventId: string | undefined): ResumePoint {
  return { after: lastEventId, repeated: lastEventId };
}

/** Returns whether an endpoint is asked for what follows the caller's last event, and not for that one again. */
export function isConfirmationPoint({ after, repeated }: ResumePoint): boolean {
  return after !== undefined && after === repeated;
}

/** Returns whether ids of this form are counted up by their endpoints. */
export function isCountedId(id: string): boolean {
  return COUNTED_ID_PATTERN.test(id);
}

/** Leaves out of a stream the events that its caller has. */
export interface RepeatFilter {
  /** Returns the new ones among the events; `undefined` if there are none. */
  filter(events: EventBatch): EventBatch | undefined;
  /** Whether the event has come that was to be sent again. */
  hasRepeated(): boolean;
}

/** Creates a filter for a stream that is to begin with the event of the id; without one, all are new. */
export function createRepeatFilter(repeated: string | undefined, unnumbered = 0): RepeatFilter {
  const last = BigInt(repeated ?? 0);
  let isPassed = repeated === undefined;
  let hasRepeated = false;
  let toSkip = unnumbered;

  function isNew(block: string): boolean {
    const id = findEventId(block);
    hasRepeated ||= id === repeated;
    isPassed ||= id !== undefined && isAfter(id.trim(), last);
    if (isPassed) return true;
    // Of an event without an id only its place is known.
    if (id !== undefined || !hasRepeated || countEvents([block]) === 0) return false;
    toSkip -= 1;
    return toSkip < 0;
  }

  return {
    filter(events) {
      if (isPassed) return events;
      const blocks = events.data.toString('latin1').split(BLOCK_END).slice(0, -1);
      const kept = blocks.filter(isNew);
      if (kept.length === 0) return undefined;
      const data = Buffer.from(kept.map((block) => block + BLOCK_END).join(''), 'latin1');
      const lastId = findEventId(kept.join(BLOCK_END));
      return { data, count: countEvents(kept), lastId, unnumbered: countUnnumbered(kept) };
    },
    hasRepeated: () => hasRepeated,
  };
}

// An id that is not counted is that of another stream, and an empty one tells nothing.
function isAfter(id: string, last: bigint): boolean {
  if (id === '') return false;
  return !isCountedId(id) || BigInt(id) > last;
}
