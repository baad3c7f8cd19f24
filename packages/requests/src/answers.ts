import type { Clock, Milliseconds } from '@pomeloroad/core';
import { createAnswer } from './answer';
import type { Answer } from './answer';
import type { AnswerEnd, AnswerEvent } from './types';

/** Limits of what an instance keeps of finished answers. */
export interface AnswersOptions {
  /** How long a finished answer stays readable. */
  retention: Milliseconds;
  /** Text and bytes of finished answers held at most; the oldest go first. */
  capacityBytes: number;
}

/** A finished answer as it is passed to another instance. */
export interface RetainedAnswer {
  request: string;
  events: AnswerEvent[];
  end: AnswerEnd;
}

/** The answers that this instance produces or still holds. */
export interface Answers {
  create(request: string): Answer;
  get(request: string): Answer | undefined;
  /** Finished answers that are still kept, with all their events. */
  listRetained(): RetainedAnswer[];
  /** Keeps a finished answer of another instance. */
  adopt(retained: RetainedAnswer): void;
  /** Starts the retention of a finished answer; drops it at once if nobody can ask for it. */
  retire(request: string, isNamed: boolean): void;
  count(): number;
  retainedBytes(): number;
}

/** Creates an empty collection. */
export function createAnswers(clock: Clock, options: AnswersOptions): Answers {
  const answers = new Map<string, Answer>();
  const retired = new Map<string, number>();
  let retainedBytes = 0;

  function drop(request: string): void {
    retainedBytes -= retired.get(request) ?? 0;
    retired.delete(request);
    answers.delete(request);
  }

  function retire(request: string, isNamed: boolean): void {
    const answer = answers.get(request);
    if (!answer) return;
    if (!isNamed) {
      answers.delete(request);
      return;
    }
    retired.set(request, answer.size());
    retainedBytes += answer.size();
    while (retainedBytes > options.capacityBytes && retired.size > 1) dropOldest();
    clock.after(options.retention, () => drop(request));
  }

  function dropOldest(): void {
    const [oldest] = retired.keys();
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
      [...retired.keys()].flatMap((request) => {
        const end = answers.get(request)?.getEnd();
        const events = answers.get(request)?.getEvents() ?? [];
        return end ? [{ request, events, end }] : [];
      }),
    adopt({ request, events, end }) {
      const answer = create(request);
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
