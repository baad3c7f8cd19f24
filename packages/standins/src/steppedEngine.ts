import { sleep } from '@pomeloroad/core';
import type { Clock, Milliseconds, Random } from '@pomeloroad/core';

/** Number of streams that get an event in one step; others wait in line. */
const BATCH_SIZE = 3;
const STEP_MIN_MS: Milliseconds = 20;
const STEP_MAX_MS: Milliseconds = 700;
/** Time for which an engine keeps its pace. */
const PACE_MIN_MS: Milliseconds = 1000;
const PACE_MAX_MS: Milliseconds = 4000;
/** Time between two steps of an engine that ends streams apart from their last event. */
const TURN_MS: Milliseconds = 10;

/** A stream that an engine makes. */
export interface SteppedStream {
  /** Elapsed time of the clock that no step may pass. */
  deadline: Milliseconds;
  isOpen(): boolean;
  /** The engine has taken the stream out of the line. */
  begin(): void;
  /** Sends the next event, and the end after the last one. */
  sendEvent(): void;
  /** Ends the stream in order short of its deadline. */
  stop(): void;
  /** The stream can't begin before its deadline. */
  decline(): void;
}

/** Makes streams in steps, each of which gives one event to each stream of a batch. */
export interface SteppedEngine {
  /** Adds a stream to the end of the line. */
  add(stream: SteppedStream): void;
  countWaiting(): number;
}

/** How an engine works for a time. */
interface Pace {
  step: Milliseconds;
  /** Whether streams are stopped as a step begins, and not together with their last event. */
  isApart: boolean;
  /** Elapsed time at which the engine changes its pace. */
  until: Milliseconds;
}

/** Creates an engine that draws its pace, and changes it from time to time. */
export function createSteppedEngine(clock: Clock, random: Random): SteppedEngine {
  let waiting: SteppedStream[] = [];
  let batch: SteppedStream[] = [];
  let pace = drawPace();
  let isWorking = false;

  function drawPace(): Pace {
    const step = random.integer(STEP_MIN_MS, STEP_MAX_MS);
    const isApart = random.integer(0, 1) === 1;
    return { step, isApart, until: clock.elapsed() + random.integer(PACE_MIN_MS, PACE_MAX_MS) };
  }

  async function work(): Promise<void> {
    isWorking = true;
    while (hasStreams()) {
      if (clock.elapsed() > pace.until) pace = drawPace();
      beginStep();
      await sleep(clock, pace.step);
      endStep();
      if (pace.isApart) await sleep(clock, TURN_MS);
    }
    isWorking = false;
  }

  function hasStreams(): boolean {
    batch = batch.filter(isOpen);
    waiting = waiting.filter(isOpen);
    return batch.length + waiting.length > 0;
  }

  function beginStep(): void {
    batch.filter(passesDeadline).forEach((stream) => stream.stop());
    waiting.filter(passesDeadline).forEach((stream) => stream.decline());
    batch = batch.filter(isOpen);
    waiting = waiting.filter(isOpen);
    const next = waiting.splice(0, BATCH_SIZE - batch.length);
    next.forEach((stream) => stream.begin());
    batch.push(...next);
  }

  function endStep(): void {
    batch.filter(isOpen).forEach((stream) => {
      stream.sendEvent();
      if (!pace.isApart && isOpen(stream) && passesDeadline(stream)) stream.stop();
    });
  }

  function passesDeadline({ deadline }: SteppedStream): boolean {
    return clock.elapsed() + pace.step > deadline;
  }

  return {
    add(stream) {
      waiting.push(stream);
      if (!isWorking) work();
    },
    countWaiting: () => waiting.filter(isOpen).length,
  };
}

function isOpen(stream: SteppedStream): boolean {
  return stream.isOpen();
}
