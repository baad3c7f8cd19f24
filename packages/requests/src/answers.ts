import type { Clock, Milliseconds } from '@pomeloroad/core';
import { createAnswer } from './answer';
import type { Answer } from './answer';

/** Limits of what an instance keeps of finished answers. */
export interface AnswersOptions {
  /** How long a finished answer stays readable. */
  retention: Milliseconds;
  /** Text and bytes of finished answers held at most; the oldest go first. */
  capacityBytes: number;
}

/** The answers that this instance produces or still holds. */
export interface Answers {
  create(request: string): Answer;
  get(request: string): Answer | undefined;
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

  function dropOldest(): void {
    const [oldest] = retired.keys();
    if (oldest !== undefined) drop(oldest);
  }

  return {
    create(request) {
      const answer = createAnswer();
      answers.set(request, answer);
      return answer;
    },
    get: (request) => answers.get(request),
    retire(request, isNamed) {
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
    },
    count: () => answers.size,
    retainedBytes: () => retainedBytes,
  };
}
