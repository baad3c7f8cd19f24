import { createCondition, hashText } from '@pomeloroad/core';
import type { Clock, Condition, Milliseconds } from '@pomeloroad/core';
import { generateAnswer } from './generate';
import type { ChatMessage, GeneratedAnswer } from './generate';
import type { PrefixCache } from './prefixCache';

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

/** A stream of the engine, running or ended. */
export interface Stream {
  id: string;
  /** Hash of the messages. */
  prompt: string;
  answer: GeneratedAnswer;
  generated: number;
  state: 'queued' | 'running' | 'finished' | 'cancelled';
  priority: number;
  cachedCharacters: number;
  changed: Condition;
  readers: number;
  startedAt: string;
}

/** The streams of one engine. */
export interface Streams {
  start(id: string, messages: ChatMessage[], limit: number, priority: number): Stream | undefined;
  get(id: string): Stream | undefined;
  /** Stops a stream; an unknown one will never start. */
  stop(id: string): Stream | undefined;
  detach(stream: Stream): void;
  count(state: Stream['state']): number;
  list(): Stream[];
}

/** Creates an engine's streams and the task that generates their tokens. */
export function createStreams(clock: Clock, speed: EngineSpeed, cache: PrefixCache): Streams {
  const streams = new Map<string, Stream>();
  const active = new Set<Stream>();
  const stopped = new Set<string>();
  const readyAt = new Map<Stream, Milliseconds>();
  let isTicking = false;

  function admit(): void {
    const queued = [...active].filter((stream) => stream.state === 'queued');
    queued.sort((a, b) => b.priority - a.priority);
    const free = speed.slots - countActive('running');
    queued.slice(0, Math.max(0, free)).forEach((stream) => {
      stream.state = 'running';
      const left = Math.max(0, stream.answer.promptTokens * 4 - stream.cachedCharacters);
      readyAt.set(stream, clock.elapsed() + left / speed.prefillRate);
    });
  }

  function countActive(state: Stream['state']): number {
    return [...active].filter((stream) => stream.state === state).length;
  }

  function tick(): void {
    admit();
    active.forEach((stream) => {
      if (stream.state === 'running' && clock.elapsed() >= (readyAt.get(stream) ?? 0)) {
        generateToken(stream);
      }
    });
    isTicking = active.size > 0;
    if (isTicking) clock.after(speed.step, tick);
  }

  function generateToken(stream: Stream): void {
    stream.generated += 1;
    if (stream.generated >= stream.answer.tokens.length) finish(stream, 'finished');
    stream.changed.notify();
  }

  function finish(stream: Stream, state: 'finished' | 'cancelled'): void {
    stream.state = state;
    active.delete(stream);
    readyAt.delete(stream);
    stream.changed.notify();
  }

  function stop(id: string): Stream | undefined {
    const stream = streams.get(id);
    if (!stream) stopped.add(id);
    else if (active.has(stream)) finish(stream, 'cancelled');
    return stream;
  }

  return {
    start(id, messages, limit, priority) {
      if (stopped.has(id) || streams.has(id)) return undefined;
      const prompt = JSON.stringify(messages);
      const stream: Stream = {
        id,
        prompt: hashText(prompt),
        answer: generateAnswer(messages, limit),
        generated: 0,
        state: 'queued',
        priority,
        cachedCharacters: cache.use(prompt),
        changed: createCondition(),
        readers: 0,
        startedAt: clock.now().toISOString(),
      };
      streams.set(id, stream);
      active.add(stream);
      if (!isTicking) tick();
      return stream;
    },
    get: (id) => streams.get(id),
    stop,
    detach(stream) {
      stream.readers -= 1;
      if (stream.readers > 0) return;
      clock.after(speed.resumeWindow, () => {
        if (stream.readers === 0) stop(stream.id);
      });
    },
    count: countActive,
    list: () => [...streams.values()],
  };
}
