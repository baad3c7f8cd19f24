import type { Clock, Milliseconds } from '@pomeloroad/core';
import { isRequestName } from './suspectNames';

/** Time after an answer within which a crash of its endpoint may be its doing; later, it shows sound ones. */
export const CONFIRM_TIME_MS: Milliseconds = 1000;
/** Time for which an answer shows that what the request shares is sound. */
const SOUND_TIME_MS: Milliseconds = 30_000;
/** Maximum number of names of a kind that are remembered; the one answered least lately is forgotten first. */
const NAMES_MAX = 2000;

/** What requests share that endpoints have lately answered without harm. */
export interface SoundNames {
  /** An incarnation of an endpoint has answered a request with these names, at least for a while. */
  noteAnswer(names: string[], incarnation: string): void;
  /** The incarnation has crashed, so what it answered just before shows nothing. */
  noteCrash(incarnation: string): void;
  has(name: string): boolean;
}

/** The answers to requests with one name. */
interface Answers {
  /** When the latest one ended that no crash followed. */
  confirmedAt: Milliseconds;
  /** One that a crash may still follow. */
  latest: { incarnation: string; at: Milliseconds } | undefined;
}

/** Creates a memory of no name. Most requests come once, and must not displace the parts of prompts. */
export function createSoundNames(clock: Clock): SoundNames {
  const parts = createMemory(clock);
  const requests = createMemory(clock);
  return {
    noteAnswer(names, incarnation) {
      names.forEach((name) => {
        const memory = isRequestName(name) ? requests : parts;
        memory.noteAnswer([name], incarnation);
      });
    },
    noteCrash(incarnation) {
      parts.noteCrash(incarnation);
      requests.noteCrash(incarnation);
    },
    has: (name) => (isRequestName(name) ? requests : parts).has(name),
  };
}

function createMemory(clock: Clock): SoundNames {
  const known = new Map<string, Answers>();

  function confirm(answers: Answers): Answers {
    const { latest } = answers;
    if (!latest || clock.elapsed() - latest.at < CONFIRM_TIME_MS) return answers;
    return { confirmedAt: latest.at, latest: undefined };
  }

  function forgetOldest(): void {
    for (const name of known.keys()) {
      if (known.size <= NAMES_MAX) return;
      known.delete(name);
    }
  }

  return {
    noteAnswer(names, incarnation) {
      names.forEach((name) => {
        const { confirmedAt, latest } = confirm(
          known.get(name) ?? { confirmedAt: -Infinity, latest: undefined },
        );
        // Entries stand in the order of their latest answers.
        known.delete(name);
        known.set(name, {
          confirmedAt,
          latest: latest ?? { incarnation, at: clock.elapsed() },
        });
      });
      forgetOldest();
    },
    noteCrash(incarnation) {
      known.forEach((answers, name) => {
        const { confirmedAt, latest } = confirm(answers);
        if (latest?.incarnation === incarnation)
          known.set(name, { confirmedAt, latest: undefined });
      });
    },
    has(name) {
      const answers = known.get(name);
      return (
        answers !== undefined && clock.elapsed() - confirm(answers).confirmedAt < SOUND_TIME_MS
      );
    },
  };
}
