import { assert, createCondition } from '@pomeloroad/core';
import type { AnswerEnd, AnswerEvent, AnswerPart } from './types';

/** Append-only event log of one request's answer, followed by any number of readers. */
export interface Answer {
  append(event: AnswerEvent): void;
  /** Names the stream of an engine whose events are appended from now on. */
  setStream(stream: string): void;
  /** Sets how the answer ended. Later calls have no effect. */
  finish(end: AnswerEnd): void;
  /**
   * Returns the events from a position on. Waits while there are none and no end is set. If the answer
   * ends before that position, the part begins where the answer ends.
   */
  read(from: number): Promise<AnswerPart>;
  /**
   * Applies backpressure to the writer. Resolves when the fastest reader is at most `backlog`
   * events behind, when there is no reader, or when the answer has ended.
   */
  waitForBacklog(backlog: number): Promise<void>;
  /** Registers a reader. */
  attach(): void;
  /** Removes a reader. */
  detach(): void;
  /** Resolves when no reader is attached. */
  waitForNoReaders(): Promise<void>;
  countReaders(): number;
  isFinished(): boolean;
  /** Number of events appended so far. */
  length(): number;
  getEvents(): AnswerEvent[];
  getEnd(): AnswerEnd | undefined;
  getStream(): string | undefined;
  /** Size of all events: characters of text plus bytes of response bodies. */
  size(): number;
}

/** Creates an answer without events and without an end. */
export function createAnswer(): Answer {
  const events: AnswerEvent[] = [];
  const changed = createCondition();
  let end: AnswerEnd | undefined;
  let stream: string | undefined;
  let readers = 0;
  let furthestRead = 0;
  let size = 0;

  return {
    append(event) {
      assert(end === undefined, 'an event is appended to a finished answer');
      events.push(event);
      size += getEventSize(event);
      changed.notify();
    },
    setStream(name) {
      stream = name;
    },
    finish(reason) {
      if (end) return;
      end = reason;
      changed.notify();
    },
    async read(from) {
      if (from > furthestRead) {
        furthestRead = from;
        changed.notify();
      }
      while (from >= events.length && !end) await changed.wait();
      return { from: Math.min(from, events.length), events: events.slice(from), end, stream };
    },
    async waitForBacklog(backlog) {
      while (readers > 0 && events.length - furthestRead > backlog && !end) await changed.wait();
    },
    async waitForNoReaders() {
      while (readers > 0) await changed.wait();
    },
    attach() {
      readers += 1;
    },
    detach() {
      readers -= 1;
      changed.notify();
    },
    countReaders: () => readers,
    isFinished: () => end !== undefined,
    length: () => events.length,
    getEvents: () => events,
    getEnd: () => end,
    getStream: () => stream,
    size: () => size,
  };
}

function getEventSize(event: AnswerEvent): number {
  if (event.kind === 'delta') return event.text.length;
  if (event.kind === 'bytes') return event.data.length;
  return 0;
}
