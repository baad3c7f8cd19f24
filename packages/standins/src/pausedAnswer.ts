import { sleep } from '@pomeloroad/core';
import type { Clock, Milliseconds } from '@pomeloroad/core';
import type { EndpointLine } from './endpointLines';
import type { OpenAnswers, Run } from './openAnswers';
import { WireHeader } from './platformWire';
import { endAnswer, hasFault, hasForgotten, isOpen } from './soakAnswer';
import { getDeadline } from './soakRuns';
import type { Arrival, SoakRuns } from './soakRuns';
import { isCrashing } from './soakWork';
import type { AnswerFault } from './soakWork';

const LATE_ANSWER_DELAY_MS: Milliseconds = 1000;
const SILENCE_MS: Milliseconds = 1500;
const CRASH_DELAY_MS: Milliseconds = 30;

/** Dependencies of answers with a pause before each event. */
export interface PausedAnswerHost {
  clock: Clock;
  /** Id of the endpoint. */
  id: string;
  runs: SoakRuns;
  answers: OpenAnswers;
  record(line: EndpointLine): void;
  /** Ends the process at once. */
  die(): void;
}

/** Answers a request with a pause before each event, and with the fault that it asks for. */
export async function answerWithPauses(host: PausedAnswerHost, arrival: Arrival): Promise<void> {
  const { clock, id, runs, record } = host;
  const { request, response, name } = arrival;
  const deadline = getDeadline(clock, request);
  const run = runs.begin(arrival);
  const fault = hasFault(id, name) ? run.work.fault : 'none';
  const isShort = endsShort(run, fault);
  if (fault === 'late') await sleep(clock, LATE_ANSWER_DELAY_MS);
  runs.tellHead(run, fault);
  response.flushHeaders();
  await dieOfRequest(host, run);
  await sendEvents(host, run, deadline, fault);
  if (response.writableEnded) return;
  const { step, work, number } = run;
  if (!isShort) await runs.waitForEnd(run);
  if (response.destroyed) {
    record({ event: 'closed', ...step, number });
    return;
  }
  if (!isShort) record({ event: 'stated', ...step, number });
  endAnswer(request, response, work, isShort ? 'short' : fault);
}

async function dieOfRequest(
  { clock, record, die }: PausedAnswerHost,
  { request, step, work }: Run,
): Promise<void> {
  const prompt = String(request.headers[WireHeader.promptParts] ?? '');
  if (work.fault !== 'crash-request' && !isCrashing(prompt)) return;
  record({ event: 'crash', ...step });
  await sleep(clock, CRASH_DELAY_MS);
  die();
}

async function sendEvents(
  { clock, id, runs, answers }: PausedAnswerHost,
  run: Run,
  deadline: Milliseconds,
  fault: AnswerFault,
): Promise<void> {
  const { response, work, after } = run;
  const middle = getMiddle(run);
  const last = endsShort(run, fault) ? middle : work.events;
  const answer = answers.open(run);
  if (after < last) answers.stopAtBegin(answer, after > 0 && hasForgotten(id, work));
  while (run.number < last && isOpen(response)) {
    if (clock.elapsed() + work.pause > deadline) answer.stop('time-limit');
    await answers.stopAtSharedEnd(answer);
    if (!isOpen(response)) break;
    const isSilent = fault === 'silent' && run.number === middle;
    await sleep(clock, isSilent ? SILENCE_MS : work.pause);
    await answers.waitWhileHalted();
    if (!isOpen(response)) break;
    runs.sendEvent(run);
  }
  answers.close(answer);
}

function endsShort({ after }: Run, fault: AnswerFault): boolean {
  return fault === 'short' || ((fault === 'empty' || fault === 'forgotten') && after === 0);
}

function getMiddle({ after, work }: Run): number {
  return Math.floor((after + work.events) / 2);
}
