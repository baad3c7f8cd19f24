import { assert, createCondition } from '@pomeloroad/core';
import type { AnswerEnd, AnswerEvent, AnswerPart } from './types';

/** The answer of one request, as far as it has come; any number of readers follow it. */
export interface Answer {
  append(event: AnswerEvent): void;
  finish(end: AnswerEnd): void;
  /** Events from a position on; waits while there are none and the answer goes on. */
  read(from: number): Promise<AnswerPart>;
  /** Resolves once at most this many events wait for a reader, or nobody reads. */
  drained(backlog: number): Promise<void>;
  attach(): void;
  detach(): void;
  /** Resolves once nobody reads. */
  abandoned(): Promise<void>;
  readers(): number;
  isFinished(): boolean;
  /** Number of events so far. */
  length(): number;
  getEvents(): AnswerEvent[];
  getEnd(): AnswerEnd | undefined;
  /** Size of the text and bytes held. */
  size(): number;
}

/** Creates an answer that has no events yet. */
export function createAnswer(): Answer {
  const events: AnswerEvent[] = [];
  const changed = createCondition();
  let end: AnswerEnd | undefined;
  let readers = 0;
  let furthest = 0;
  let size = 0;

  return {
    append(event) {
      assert(end === undefined, 'an answer is extended after its end');
      events.push(event);
      size += getEventSize(event);
      changed.notify();
    },
    finish(reason) {
      if (end) return;
      end = reason;
      changed.notify();
    },
    async read(from) {
      if (from > furthest) {
        furthest = from;
        changed.notify();
      }
      while (from >= events.length && !end) await changed.wait();
      return { from, events: events.slice(from), end };
    },
    async drained(backlog) {
      while (readers > 0 && events.length - furthest > backlog && !end) await changed.wait();
    },
    async abandoned() {
      while (readers > 0) await changed.wait();
    },
    attach() {
      readers += 1;
    },
    detach() {
      readers -= 1;
      changed.notify();
    },
    readers: () => readers,
    isFinished: () => end !== undefined,
    length: () => events.length,
    getEvents: () => events,
    getEnd: () => end,
    size: () => size,
  };
}

function getEventSize(event: AnswerEvent): number {
  if (event.kind === 'delta') return event.text.length;
  if (event.kind === 'bytes') return event.data.length;
  return 0;
}
