import { createCondition, hashText } from '@pomeloroad/core';
import type { Clock, Condition, Milliseconds } from '@pomeloroad/core';
import { generateAnswer } from './generate';
import type { ChatMessage, GeneratedAnswer } from './generate';
import type { PrefixCache } from './prefixCache';

const CHARACTERS_PER_TOKEN = 4;

/** Speed and size of a model engine. */
export interface EngineSpeed {
  /** Streams generated at the same time. */
  slots: number;
  /** Time between two tokens of each running stream. */
  step: Milliseconds;
  /** Prompt characters read a millisecond, of those not cached. */
  prefillRate: number;
  /** How long a stream goes on without a reader. */
  resumeWindow: Milliseconds;
}

/** Where a stream stands. */
export type StreamState = 'queued' | 'running' | 'finished' | 'cancelled';

/** A stream of the engine, running or ended. */
export interface Stream {
  id: string;
  /** Hash of the messages. */
  prompt: string;
  answer: GeneratedAnswer;
  priority: number;
  cachedCharacters: number;
  startedAt: string;
  /** Notified at each token and at the end. */
  changed: Condition;
  state(): StreamState;
  generated(): number;
  attach(): void;
  detach(): void;
}

/** A stream as the engine's scheduler drives it. */
interface ScheduledStream extends Stream {
  admit(): void;
  generate(): void;
  cancel(): void;
}

/** The streams of one engine. */
export interface Streams {
  start(id: string, messages: ChatMessage[], limit: number, priority: number): Stream | undefined;
  get(id: string): Stream | undefined;
  /** Stops a stream; an unknown one will never start. */
  stop(id: string): Stream | undefined;
  count(state: StreamState): number;
  list(): Stream[];
}

/** Creates an engine's streams and the task that generates their tokens. */
export function createStreams(clock: Clock, speed: EngineSpeed, cache: PrefixCache): Streams {
  const streams = new Map<string, ScheduledStream>();
  const active = new Set<ScheduledStream>();
  const stopped = new Set<string>();
  let isTicking = false;

  function countActive(state: StreamState): number {
    return [...active].filter((stream) => stream.state() === state).length;
  }

  function admit(): void {
    const queued = [...active].filter((stream) => stream.state() === 'queued');
    queued.sort((a, b) => b.priority - a.priority);
    const free = speed.slots - countActive('running');
    queued.slice(0, Math.max(0, free)).forEach((stream) => stream.admit());
  }

  function tick(): void {
    admit();
    active.forEach((stream) => {
      stream.generate();
      if (stream.state() === 'finished') active.delete(stream);
    });
    isTicking = active.size > 0;
    if (isTicking) clock.after(speed.step, tick);
  }

  function stop(id: string): Stream | undefined {
    const stream = streams.get(id);
    if (!stream) stopped.add(id);
    else if (active.delete(stream)) stream.cancel();
    return stream;
  }

  return {
    start(id, messages, limit, priority) {
      if (stopped.has(id) || streams.has(id)) return undefined;
      const prompt = JSON.stringify(messages);
      const cachedCharacters = cache.use(prompt);
      const answer = generateAnswer(messages, limit);
      const fixed = { id, prompt: hashText(prompt), answer, priority, cachedCharacters };
      const stream = createStream(clock, speed, fixed, () => stop(id));
      streams.set(id, stream);
      active.add(stream);
      if (!isTicking) tick();
      return stream;
    },
    get: (id) => streams.get(id),
    stop,
    count: countActive,
    list: () => [...streams.values()],
  };
}

type FixedPart = Pick<Stream, 'id' | 'prompt' | 'answer' | 'priority' | 'cachedCharacters'>;

function createStream(
  clock: Clock,
  speed: EngineSpeed,
  fixed: FixedPart,
  onAbandoned: () => void,
): ScheduledStream {
  const { answer, cachedCharacters } = fixed;
  const changed = createCondition();
  let state: StreamState = 'queued';
  let generated = 0;
  let readers = 0;
  let readyAt: Milliseconds = 0;

  return {
    ...fixed,
    changed,
    startedAt: clock.now().toISOString(),
    state: () => state,
    generated: () => generated,
    attach() {
      readers += 1;
    },
    detach() {
      readers -= 1;
      if (readers > 0) return;
      clock.after(speed.resumeWindow, () => {
        if (readers === 0) onAbandoned();
      });
    },
    admit() {
      state = 'running';
      const characters = answer.promptTokens * CHARACTERS_PER_TOKEN;
      const unread = Math.max(0, characters - cachedCharacters);
      readyAt = clock.elapsed() + unread / speed.prefillRate;
    },
    generate() {
      if (state !== 'running' || clock.elapsed() < readyAt) return;
      generated += 1;
      if (generated >= answer.tokens.length) state = 'finished';
      changed.notify();
    },
    cancel() {
      state = 'cancelled';
      changed.notify();
    },
  };
}
