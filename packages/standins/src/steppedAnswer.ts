import type { Clock, Milliseconds } from '@pomeloroad/core';
import type { EndpointLine } from './endpointLines';
import type { OpenAnswer, OpenAnswers, Run } from './openAnswers';
import { isOpen } from './soakAnswer';
import { getDeadline, hasSentAll } from './soakRuns';
import type { Arrival, SoakRuns } from './soakRuns';
import type { SteppedEngine } from './steppedEngine';

/** Dependencies of answers that an engine makes in steps. */
export interface SteppedAnswerHost {
  clock: Clock;
  engine: SteppedEngine;
  runs: SoakRuns;
  answers: OpenAnswers;
  record(line: EndpointLine): void;
  /** Declines a request that would pass its time limit and has waited in line for the time. */
  decline(arrival: Arrival, waited: Milliseconds): void;
}

/** Answers a request by an engine that makes streams in steps; resolves when the answer has closed. */
export function answerInSteps(host: SteppedAnswerHost, arrival: Arrival): Promise<void> {
  const { clock, engine, runs, answers, record } = host;
  const { request, response } = arrival;
  const arrivedAt = clock.elapsed();
  const getWait = () => Math.round(clock.elapsed() - arrivedAt);
  let stream: { run: Run; answer: OpenAnswer } | undefined;
  engine.add({
    deadline: getDeadline(clock, request),
    isOpen: () => isOpen(response) && !(stream && hasSentAll(stream.run)),
    begin() {
      const run = runs.begin(arrival, getWait());
      runs.tellHead(run, 'none');
      stream = { run, answer: answers.open(run) };
    },
    sendEvent() {
      if (stream) sendStep(host, stream.run);
    },
    stop: () => stream?.answer.stop('time-limit'),
    decline: () => host.decline(arrival, getWait()),
  });
  return new Promise((resolve) => {
    response.once('close', () => {
      if (stream && !response.writableEnded) {
        record({ event: 'closed', ...stream.run.step, number: stream.run.number });
      }
      resolve();
    });
  });
}

async function sendStep({ runs, record }: SteppedAnswerHost, run: Run): Promise<void> {
  runs.sendEvent(run);
  if (!hasSentAll(run)) return;
  const { step, response, number } = run;
  await runs.waitForEnd(run);
  if (!isOpen(response)) return;
  record({ event: 'stated', ...step, number });
  response.end();
}
