import type { Clock, Milliseconds } from '@pomeloroad/core';
import { createAnswer } from './answer';
import type { Answer } from './answer';
import type { AnswerEnd, AnswerEvent } from './types';

/** Limits on the finished answers that an instance retains. */
export interface AnswerStoreOptions {
  /** How long a finished answer stays readable. */
  retention: Milliseconds;
  /** Limit on the total size of the retained answers; the oldest are evicted first. */
  capacityBytes: number;
}

/** A finished answer in the form that is sent to another instance. */
export interface RetainedAnswer {
  request: string;
  events: AnswerEvent[];
  end: AnswerEnd;
  stream: string | undefined;
}

/** Answers in the memory of this instance, by request id: unfinished ones and retained ones. */
export interface AnswerStore {
  /** Adds an empty answer. */
  create(request: string): Answer;
  get(request: string): Answer | undefined;
  /** Returns the retained answers with all their events, the oldest first. */
  listRetained(): RetainedAnswer[];
  /** Stores and retains a finished answer that another instance sent. */
  adopt(retained: RetainedAnswer): void;
  /**
   * Starts the retention of a finished answer. Drops it at once if `isRetained` is false, as for a
   * request that did not run or has no idempotency key, because no retry can ask for its answer.
   */
  retire(request: string, isRetained: boolean): void;
  /** Number of answers held, finished or not. */
  count(): number;
  /** Total size of the retained answers, as `Answer.size` counts it. */
  retainedBytes(): number;
}

/** Creates an empty answer store. */
export function createAnswerStore(clock: Clock, options: AnswerStoreOptions): AnswerStore {
  const answers = new Map<string, Answer>();
  /** Sizes of the retained answers by request id, the oldest first. */
  const retainedSizes = new Map<string, number>();
  let retainedBytes = 0;

  function drop(request: string): void {
    retainedBytes -= retainedSizes.get(request) ?? 0;
    retainedSizes.delete(request);
    answers.delete(request);
  }

  function retire(request: string, isRetained: boolean): void {
    const answer = answers.get(request);
    if (!answer) return;
    if (!isRetained) {
      answers.delete(request);
      return;
    }
    retainedSizes.set(request, answer.size());
    retainedBytes += answer.size();
    while (retainedBytes > options.capacityBytes && retainedSizes.size > 1) evictOldest();
    clock.after(options.retention, () => drop(request));
  }

  function evictOldest(): void {
    const [oldest] = retainedSizes.keys();
    if (oldest !== undefined) drop(oldest);
  }

  function create(request: string): Answer {
    const answer = createAnswer();
    answers.set(request, answer);
    return answer;
  }

  return {
    create,
    listRetained: () =>
      [...retainedSizes.keys()].flatMap((request) => {
        const answer = answers.get(request);
        const end = answer?.getEnd();
        if (!answer || !end) return [];
        return [{ request, events: answer.getEvents(), end, stream: answer.getStream() }];
      }),
    adopt({ request, events, end, stream }) {
      const answer = create(request);
      if (stream !== undefined) answer.setStream(stream);
      events.forEach((event) => answer.append(event));
      answer.finish(end);
      retire(request, true);
    },
    get: (request) => answers.get(request),
    retire,
    count: () => answers.size,
    retainedBytes: () => retainedBytes,
  };
}
