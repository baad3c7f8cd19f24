import { createCondition, hashText } from '@pomeloroad/core';
import type { Clock, Condition, Milliseconds } from '@pomeloroad/core';
import { generateAnswer } from './generate';
import type { ChatMessage, GeneratedAnswer } from './generate';
import type { PrefixCache } from './prefixCache';

const CHARACTERS_PER_TOKEN = 4;

/** Capacity and speed of a model engine. */
export interface EnginePerformance {
  /** Number of streams that run at the same time. */
  slots: number;
  /** Time between two tokens of each running stream. */
  step: Milliseconds;
  /** Uncached prompt characters that are read per millisecond. */
  prefillRate: number;
  /** Time after which a stream that lost its last reader is cancelled. */
  resumeWindow: Milliseconds;
}

/** The state of a stream; a queued stream waits for a slot. */
export type StreamState = 'queued' | 'running' | 'finished' | 'cancelled';

/** A stream of tokens that answers one chat request, in any state. */
export interface Stream {
  id: string;
  /** Hash of the messages. */
  prompt: string;
  answer: GeneratedAnswer;
  /** A queued stream with a higher value runs first. */
  priority: number;
  /** Leading characters of the prompt that were cached when the stream was created. */
  cachedCharacters: number;
  startedAt: string;
  /** Notified after each token and at cancellation. */
  changed: Condition;
  state(): StreamState;
  /** Number of tokens generated so far. */
  generated(): number;
  attachReader(): void;
  /** Removes a reader; the resume window starts when none is left. */
  detachReader(): void;
}

/** A stream with the methods that only the scheduler calls. */
interface ScheduledStream extends Stream {
  admit(): void;
  /** Generates one token, unless the stream is not running or its prompt is still being read. */
  generateToken(): void;
  cancel(): void;
}

/** Keeps all streams of one engine and generates their tokens. */
export interface StreamScheduler {
  /** Queues a stream; returns `undefined` if the id is in use or was stopped. */
  start(id: string, messages: ChatMessage[], limit: number, priority: number): Stream | undefined;
  get(id: string): Stream | undefined;
  /** Cancels a stream; if the id is unknown, prevents a later start of it. */
  stop(id: string): Stream | undefined;
  count(state: StreamState): number;
  list(): Stream[];
}

/** Creates a scheduler without streams; its timer runs only while a stream is queued or running. */
export function createStreamScheduler(
  clock: Clock,
  speed: EnginePerformance,
  cache: PrefixCache,
): StreamScheduler {
  const streams = new Map<string, ScheduledStream>();
  const activeStreams = new Set<ScheduledStream>();
  const stoppedIds = new Set<string>();
  let isTickScheduled = false;

  function countActive(state: StreamState): number {
    return [...activeStreams].filter((stream) => stream.state() === state).length;
  }

  function admit(): void {
    const queued = [...activeStreams].filter((stream) => stream.state() === 'queued');
    queued.sort((a, b) => b.priority - a.priority);
    const freeSlots = speed.slots - countActive('running');
    queued.slice(0, Math.max(0, freeSlots)).forEach((stream) => stream.admit());
  }

  function tick(): void {
    admit();
    activeStreams.forEach((stream) => {
      stream.generateToken();
      if (stream.state() === 'finished') activeStreams.delete(stream);
    });
    isTickScheduled = activeStreams.size > 0;
    if (isTickScheduled) clock.after(speed.step, tick);
  }

  function stop(id: string): Stream | undefined {
    const stream = streams.get(id);
    if (!stream) stoppedIds.add(id);
    else if (activeStreams.delete(stream)) stream.cancel();
    return stream;
  }

  return {
    start(id, messages, limit, priority) {
      if (stoppedIds.has(id) || streams.has(id)) return undefined;
      const prompt = JSON.stringify(messages);
      const cachedCharacters = cache.lookUpAndInsert(prompt);
      const answer = generateAnswer(messages, limit);
      const immutableFields = { id, prompt: hashText(prompt), answer, priority, cachedCharacters };
      const stream = createStream(clock, speed, immutableFields, () => stop(id));
      streams.set(id, stream);
      activeStreams.add(stream);
      if (!isTickScheduled) tick();
      return stream;
    },
    get: (id) => streams.get(id),
    stop,
    count: countActive,
    list: () => [...streams.values()],
  };
}

type ImmutableFields = Pick<Stream, 'id' | 'prompt' | 'answer' | 'priority' | 'cachedCharacters'>;

function createStream(
  clock: Clock,
  speed: EnginePerformance,
  immutableFields: ImmutableFields,
  onAbandoned: () => void,
): ScheduledStream {
  const { answer, cachedCharacters } = immutableFields;
  const changed = createCondition();
  let state: StreamState = 'queued';
  let generated = 0;
  let readers = 0;
  let prefillEndsAt: Milliseconds = 0;

  return {
    ...immutableFields,
    changed,
    startedAt: clock.now().toISOString(),
    state: () => state,
    generated: () => generated,
    attachReader() {
      readers += 1;
    },
    detachReader() {
      readers -= 1;
      if (readers > 0) return;
      clock.after(speed.resumeWindow, () => {
        if (readers === 0) onAbandoned();
      });
    },
    admit() {
      state = 'running';
      const characters = answer.promptTokens * CHARACTERS_PER_TOKEN;
      const uncachedCharacters = Math.max(0, characters - cachedCharacters);
      prefillEndsAt = clock.elapsed() + uncachedCharacters / speed.prefillRate;
    },
    generateToken() {
      if (state !== 'running' || clock.elapsed() < prefillEndsAt) return;
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
