import http from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { hashText, readBody, sleep, writeJson } from '@pomeloroad/core';
import type { Clock, Milliseconds, Random } from '@pomeloroad/core';
import { ORDERLY_END_PATH } from './endpointLines';
import type { EndpointLine, OrderlyEnd } from './endpointLines';
import { createOpenAnswers } from './openAnswers';
import type { OpenAnswer, Run, RunEntry } from './openAnswers';
import { WireHeader } from './platformWire';
import { createReplicas } from './replicas';
import { drawEndDelay, endAnswer, hasFault, hasForgotten, isOpen, writeHead } from './soakAnswer';
import { decodeWork, isCrashing, renderEvent } from './soakWork';
import type { AnswerFault } from './soakWork';
import { createSteppedEngine } from './steppedEngine';

const LATE_ANSWER_DELAY_MS: Milliseconds = 1000;
const SILENCE_MS: Milliseconds = 1500;
const CRASH_DELAY_MS: Milliseconds = 30;
const MISDIRECTED_STATUS = 421;
const DECLINED_STATUS = 503;
/** Where an endpoint reports its runs. */
const REPORT_PATH = '/v1/report';

/** Dependencies and settings of an endpoint of the soak. */
export interface SoakEndpointHost {
  clock: Clock;
  /** Draws the pace of its engine and how late ends come. */
  random: Random;
  /** Share of the streams whose end comes apart from their last event. */
  apartShare: number;
  id: string;
  /** Address at which others reach it. */
  address: string;
  slots: number;
  /** Version of its software. */
  version: string;
  record(line: EndpointLine): void;
  /** Whether each request is declined, as by an endpoint with a full queue. */
  isFull(): boolean;
  /** Ends the process at once. */
  die(): void;
  /** Returns the requests a second that answers name as its limit; `undefined` for none. */
  getRateLimit(): number | undefined;
  /** Is told to end all answers in order. */
  end(end: OrderlyEnd): void;
}

/** An endpoint that serves. */
export interface SoakEndpoint {
  server: http.Server;
  /** Number of requests that it works on. */
  countActive(): number;
  /** Ends all open answers, and those that come, in order with events missing; resolves when that is sent. */
  endAnswers(end: OrderlyEnd): Promise<void>;
  /** Sends answers that come whole again. */
  resume(): void;
  /** Sends a part of the next event of all open answers; the process is to die in this turn of its loop. */
  tearEvents(): void;
}

/**
 * Creates an endpoint that sends what the path of a request asks for. It keeps to the time limit that
 * it is told, counted from the request's arrival: it begins no event that would come later. An engine makes
 * the streams that are asked for in steps.
 */
export function createSoakEndpoint(host: SoakEndpointHost): SoakEndpoint {
  const { clock, id, slots, version, record } = host;
  const engine = createSteppedEngine(clock, host.random);
  const answers = createOpenAnswers(host);
  let active = 0;
  let runs = 0;
  const underWay = new Map<number, Run>();
  const replicas = createReplicas({ ...host, findRun });

  async function serve(
    request: IncomingMessage,
    response: ServerResponse,
    body: string,
  ): Promise<void> {
    const name = String(request.headers[WireHeader.requestId] ?? '');
    const expected = request.headers[WireHeader.endpoint];
    const goesOnFrom = request.headers[WireHeader.goOnFrom];
    if (expected !== undefined && expected !== id) {
      decline(response, name, MISDIRECTED_STATUS, 'other-endpoint');
    } else if (active >= slots || host.isFull()) {
      decline(response, name, DECLINED_STATUS, 'full');
    } else if (goesOnFrom !== undefined && !replicas.take(String(goesOnFrom))) {
      decline(response, name, DECLINED_STATUS, 'no-replica');
    } else {
      const { fault } = decodeWork(request.url ?? '/');
      const serving = fault === 'steps' ? runInSteps : runWithPauses;
      active += 1;
      await serving(request, response, name, body).finally(() => {
        active -= 1;
      });
    }
  }

  function decline(
    response: ServerResponse,
    request: string,
    status: number,
    reason: 'full' | 'other-endpoint' | 'no-replica' | 'time-limit',
    waited?: Milliseconds,
  ): void {
    record({ event: 'declined', request, reason, waited });
    const headers = { [WireHeader.requestId]: request, [WireHeader.notRun]: '1' };
    response.writeHead(status, { ...headers, 'content-length': 0 }).end();
  }

  async function runWithPauses(
    request: IncomingMessage,
    response: ServerResponse,
    name: string,
    body: string,
  ): Promise<void> {
    const deadline = getDeadline(request);
    const begun = begin(request, response, name, body);
    const { step, work, after } = begun;
    const fault = hasFault(id, name) ? work.fault : 'none';
    const middle = Math.floor((after + work.events) / 2);
    const isShort =
      fault === 'short' || ((fault === 'empty' || fault === 'forgotten') && after === 0);
    const last = isShort ? middle : work.events;
    if (fault === 'late') await sleep(clock, LATE_ANSWER_DELAY_MS);
    tellHead(begun, fault);
    response.flushHeaders();
    const prompt = String(request.headers[WireHeader.promptParts] ?? '');
    if (work.fault === 'crash-request' || isCrashing(prompt)) {
      record({ event: 'crash', ...step });
      await sleep(clock, CRASH_DELAY_MS);
      host.die();
    }
    const answer = answers.open(begun);
    if (after < last) answers.stopAtBegin(answer, after > 0 && hasForgotten(id, work));
    while (begun.number < last && isOpen(response)) {
      if (clock.elapsed() + work.pause > deadline) answer.stop('time-limit');
      await answers.stopAtSharedEnd(answer);
      if (!isOpen(response)) break;
      const isSilent = fault === 'silent' && begun.number === middle;
      await sleep(clock, isSilent ? SILENCE_MS : work.pause);
      await answers.waitWhileHalted();
      if (!isOpen(response)) break;
      sendEvent(begun);
    }
    answers.close(answer);
    if (response.writableEnded) return;
    const { number } = begun;
    if (!isShort) await waitForEnd(begun);
    if (response.destroyed) record({ event: 'closed', ...step, number });
    else {
      if (!isShort) record({ event: 'stated', ...step, number });
      endAnswer(request, response, work, isShort ? 'short' : fault);
    }
  }

  async function waitForEnd({ step, work }: Run): Promise<void> {
    const delay = drawEndDelay(host.random, step.request, host.apartShare);
    if (work.route.startsWith('stream') && delay > 0) await sleep(clock, delay);
  }

  function runInSteps(
    request: IncomingMessage,
    response: ServerResponse,
    name: string,
    body: string,
  ): Promise<void> {
    const arrivedAt = clock.elapsed();
    const getWait = () => Math.round(clock.elapsed() - arrivedAt);
    let stream: { run: Run; answer: OpenAnswer } | undefined;
    engine.add({
      deadline: getDeadline(request),
      isOpen: () => isOpen(response) && !(stream && hasSentAll(stream.run)),
      begin() {
        const begun = begin(request, response, name, body, getWait());
        tellHead(begun, 'none');
        stream = { run: begun, answer: answers.open(begun) };
      },
      sendEvent() {
        if (stream) sendStep(stream.run);
      },
      stop: () => stream?.answer.stop('time-limit'),
      decline: () => decline(response, name, DECLINED_STATUS, 'time-limit', getWait()),
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

  async function sendStep(run: Run): Promise<void> {
    const { step, response, number } = sendEvent(run);
    if (!hasSentAll(run)) return;
    await waitForEnd(run);
    if (!isOpen(response)) return;
    record({ event: 'stated', ...step, number });
    response.end();
  }

  function getDeadline({ headers }: IncomingMessage): Milliseconds {
    return clock.elapsed() + Number(headers[WireHeader.timeLeft] ?? Infinity);
  }

  function begin(
    request: IncomingMessage,
    response: ServerResponse,
    name: string,
    body: string,
    waited?: Milliseconds,
  ): Run {
    const path = request.url ?? '/';
    const after = Number(request.headers[WireHeader.resumeAfter] ?? 0);
    const account = String(request.headers[WireHeader.account] ?? '');
    runs += 1;
    const step = { request: name, run: runs };
    const entry: RunEntry = [name, 0, 0, 0];
    const goesOnFrom = request.headers[WireHeader.goOnFrom]?.toString();
    record({ event: 'run', ...step, path, after, account, version, body, waited, goesOnFrom });
    const work = decodeWork(path);
    const begun: Run = { step, entry, request, response, work, after, number: after };
    underWay.set(step.run, begun);
    const backup = request.headers[WireHeader.backup]?.toString();
    const endBackup = backup === undefined ? undefined : replicas.startBackup(name, backup);
    response.once('close', () => {
      underWay.delete(step.run);
      endBackup?.(hasSentAll(begun));
    });
    return begun;
  }

  function findRun(name: string) {
    const run = [...underWay.values()].find(
      ({ step, response }) => step.request === name && isOpen(response),
    );
    if (!run) return undefined;
    return {
      request: name,
      getNumber: () => run.number,
      cut() {
        record({ event: 'moved', ...run.step, number: run.number });
        run.response.destroy();
      },
    };
  }

  function tellHead({ step, response, work, after }: Run, fault: AnswerFault): void {
    const rateLimit = host.getRateLimit();
    const head = { endpoint: id, version, name: step.request, work, after, fault, rateLimit };
    writeHead(response, head);
  }

  function sendEvent(run: Run): Run {
    const { step, entry, response, after } = run;
    run.number += 1;
    entry[2] = run.number - after;
    // Recorded first: what the kernel has taken may arrive although the process is killed.
    record({ event: 'sent', ...step, number: run.number });
    response.write(renderEvent(step.request, run.number, version));
    return run;
  }

  const server = http.createServer((request, response) => {
    if (replicas.serve(request, response)) return;
    if (request.url === REPORT_PATH) {
      const list = [...underWay.values()].map(({ entry }) => entry);
      const queued = engine.countWaiting();
      writeJson(response, 200, { queued, active: list.length, runs: list });
      return;
    }
    const accept = async (body: Buffer) => {
      if (request.url !== ORDERLY_END_PATH) return serve(request, response, hashText(String(body)));
      response.end();
      return host.end(JSON.parse(String(body)) as OrderlyEnd);
    };
    readBody(request).then(accept, () => undefined);
  });
  return {
    server,
    countActive: () => active,
    endAnswers: answers.endAll,
    resume: answers.resume,
    tearEvents: answers.tearEvents,
  };
}

function hasSentAll({ number, work }: Run): boolean {
  return number >= work.events;
}
