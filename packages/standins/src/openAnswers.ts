import type { IncomingMessage, ServerResponse } from 'node:http';
import { sleep } from '@pomeloroad/core';
import type { Clock, Milliseconds, Random } from '@pomeloroad/core';
import type { EarlyEndReason, EndpointLine, OrderlyEnd } from './endpointLines';
import { isOpen } from './soakAnswer';
import { renderEvent } from './soakWork';
import type { Work } from './soakWork';

/** Time within which the ends of open answers are sent before the process exits. */
const EXIT_TIMEOUT_MS: Milliseconds = 200;
const HALT_INTERVAL_MS: Milliseconds = 10;

/** One of the runs of a report. */
export type RunEntry = [id: string, tokensInMemory: number, events: number, priority: number];

/** A run of a request. */
export interface Run {
  step: { request: string; run: number };
  entry: RunEntry;
  request: IncomingMessage;
  response: ServerResponse;
  work: Work;
  /** Last event that the instance had. */
  after: number;
  /** Last event that was sent. */
  number: number;
}

/** An answer that has begun. */
export interface OpenAnswer {
  run: Run;
  response: ServerResponse;
  stop(reason: EarlyEndReason): void;
}

/** Dependencies of the open answers. */
export interface OpenAnswersHost {
  clock: Clock;
  /** Draws where events are torn. */
  random: Random;
  /** Version of the endpoint's software. */
  version: string;
  record(line: EndpointLine): void;
}

/** The open answers of an endpoint, which it may be told to end in order with events missing. */
export interface OpenAnswers {
  open(run: Run): OpenAnswer;
  /** The answer has come to its end. */
  close(answer: OpenAnswer): void;
  /** Stops an answer at once if all have to end, or if the endpoint can't go on with it. */
  stopAtBegin(answer: OpenAnswer, isForgotten: boolean): void;
  /** Stops an answer, after a time, at the event at which all endpoints of the service stop it. */
  stopAtSharedEnd(answer: OpenAnswer): Promise<void>;
  waitWhileHalted(): Promise<void>;
  /** Ends all open answers, and those that come, in order with events missing; resolves when that is sent. */
  endAll(end: OrderlyEnd): Promise<void>;
  /** Sends answers that come whole again. */
  resume(): void;
  /** Sends a part of the next event of all open answers; the process is to die in this turn of its loop. */
  tearEvents(): void;
}

/** Creates the open answers of an endpoint, of which there are none. */
export function createOpenAnswers({
  clock,
  random,
  version,
  record,
}: OpenAnswersHost): OpenAnswers {
  const openAnswers = new Set<OpenAnswer>();
  let isHalted = false;
  let endReason: EarlyEndReason | undefined;
  let endDelay: Milliseconds = 0;

  return {
    open(run) {
      const { step, request, response, work } = run;
      const answer: OpenAnswer = {
        run,
        response,
        stop(reason) {
          record({ event: 'stopped', ...step, number: run.number, reason });
          // What a length still promises is never sent.
          if (work.framing === 'length') request.socket.destroySoon();
          else response.end();
        },
      };
      openAnswers.add(answer);
      response.once('close', () => openAnswers.delete(answer));
      return answer;
    },
    close: (answer) => openAnswers.delete(answer),
    stopAtBegin(answer, isForgotten) {
      const reason = isForgotten && endReason === undefined ? 'resumed' : endReason;
      if (reason && reason !== 'same-event') answer.stop(reason);
    },
    async stopAtSharedEnd(answer) {
      if (endReason !== 'same-event' || !isAtSharedEnd(answer.run)) return;
      await sleep(clock, endDelay);
      if (isOpen(answer.response)) answer.stop('same-event');
    },
    async waitWhileHalted() {
      while (isHalted) await sleep(clock, HALT_INTERVAL_MS);
    },
    async endAll({ reason, delay }) {
      if (reason === 'same-event') {
        endDelay = delay;
        endReason = reason;
        return;
      }
      isHalted = reason === 'preempted';
      await sleep(clock, delay);
      isHalted = false;
      endReason = reason;
      const ending = [...openAnswers].map(({ response, stop }) => {
        const sent = new Promise((resolve) => {
          response.once('close', resolve);
          response.once('finish', resolve);
        });
        stop(reason);
        return sent;
      });
      await Promise.race([sleep(clock, EXIT_TIMEOUT_MS), Promise.all(ending)]);
    },
    resume() {
      endReason = undefined;
    },
    tearEvents() {
      openAnswers.forEach(({ run, response }) => {
        const text = renderEvent(run.step.request, run.number + 1, version);
        response.write(text.slice(0, random.integer(1, text.length - 1)));
      });
    },
  };
}

// All endpoints end the answer of a request at the same event.
function isAtSharedEnd({ number, work }: Run): boolean {
  return number >= Math.max(1, Math.floor(work.events / 2));
}
