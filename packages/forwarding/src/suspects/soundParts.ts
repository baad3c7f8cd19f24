import type { Clock, Milliseconds } from '@pomeloroad/core';

/** Time after an answer within which a crash of its endpoint may be its doing; later, it shows sound parts. */
export const CONFIRM_TIME_MS: Milliseconds = 1000;
/** Time for which an answer shows that the parts of its prompt are sound. */
const SOUND_TIME_MS: Milliseconds = 30_000;
/** Maximum number of parts that are remembered; the one that was answered least lately is forgotten first. */
const PARTS_MAX = 2000;

/** The prompt parts that endpoints have lately answered without harm. */
export interface SoundParts {
  /** An incarnation of an endpoint has answered a prompt of these parts, at least for a while. */
  noteAnswer(parts: string[], incarnation: string): void;
  /** The incarnation has crashed, so what it answered just before shows nothing. */
  noteCrash(incarnation: string): void;
  has(part: string): boolean;
}

/** The answers to prompts with one part. */
interface Answers {
  /** When the latest one ended that no crash followed. */
  confirmedAt: Milliseconds;
  /** One that a crash may still follow. */
  latest: { incarnation: string; at: Milliseconds } | undefined;
}

/** Creates a memory of no part. */
export function createSoundParts(clock: Clock): SoundParts {
  const known = new Map<string, Answers>();

  function confirm(answers: Answers): Answers {
    const { latest } = answers;
    if (!latest || clock.elapsed() - latest.at < CONFIRM_TIME_MS) return answers;
    return { confirmedAt: latest.at, latest: undefined };
  }

  function forgetOldest(): void {
    for (const part of known.keys()) {
      if (known.size <= PARTS_MAX) return;
      known.delete(part);
    }
  }

  return {
    noteAnswer(parts, incarnation) {
      parts.forEach((part) => {
        const { confirmedAt, latest } = confirm(
          known.get(part) ?? { confirmedAt: -Infinity, latest: undefined },
        );
        // Entries stand in the order of their latest answers.
        known.delete(part);
        known.set(part, {
          confirmedAt,
          latest: latest ?? { incarnation, at: clock.elapsed() },
        });
      });
      forgetOldest();
    },
    noteCrash(incarnation) {
      known.forEach((answers, part) => {
        const { confirmedAt, latest } = confirm(answers);
        if (latest?.incarnation === incarnation)
          known.set(part, { confirmedAt, latest: undefined });
      });
    },
    has(part) {
      const answers = known.get(part);
      return (
        answers !== undefined && clock.elapsed() - confirm(answers).confirmedAt < SOUND_TIME_MS
      );
    },
  };
}
