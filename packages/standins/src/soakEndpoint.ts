import http from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { match } from 'ts-pattern';
import { hashText, readBody, sleep, writeJson } from '@pomeloroad/core';
import type { Clock, Milliseconds } from '@pomeloroad/core';
import { WireHeader } from './platformWire';
import { decodeWork, isCrashing, renderEvent, renderEvents, signAnswer } from './soakWork';
import type { AnswerFault, Work } from './soakWork';

const LATE_ANSWER_DELAY_MS: Milliseconds = 1000;
const SILENCE_MS: Milliseconds = 1500;
const CRASH_DELAY_MS: Milliseconds = 30;
/** Time within which the ends of open answers are sent before the process exits. */
const EXIT_TIMEOUT_MS: Milliseconds = 200;
const HALT_INTERVAL_MS: Milliseconds = 10;
const MISDIRECTED_STATUS = 421;
const DECLINED_STATUS = 503;
/** Announces a time that the server's own idle timeout may undercut. */
const KEEP_ALIVE = { connection: 'keep-alive', 'keep-alive': 'timeout=5' };
const EXTRA_ANSWER = 'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmore';
/** Share of the requests with a fault, in 16 parts, that an endpoint answers with it. */
const FAULTY_SIXTEENTHS = 8;
/** One endpoint in this many states the ends of `empty` streams that it is asked to go on with at once. */
const FORGETFUL_STEP = 4;

/** Why an endpoint ends all its answers in order though they are not whole. */
export type OrderlyEndReason = 'exit' | 'leaving' | 'no-room' | 'preempted';
/**
 * Why an answer ends in order though it is not whole: the next event would come after its time limit,
 * it was to go on after some events, or all answers of its endpoint end.
 */
export type EarlyEndReason = 'time-limit' | 'resumed' | OrderlyEndReason;

/** How an endpoint ends all its answers in order though they are not whole. */
export interface OrderlyEnd {
  reason: OrderlyEndReason;
  /** Time until the ends; an endpoint that preempts sends nothing meanwhile. */
  delay: Milliseconds;
  /** Time from the ends to the exit of the process; `undefined` if it serves on. */
  exitAfter?: Milliseconds | undefined;
}

/** Where an endpoint reports its runs. */
const REPORT_PATH = '/v1/report';
/** Where an endpoint is told to end all its answers, with an `OrderlyEnd`. */
export const ORDERLY_END_PATH = '/standin/end';

/** One of the runs of a report: id, tokens in memory, events made, priority. */
type RunEntry = [string, number, number, number];

/** What an endpoint of the soak records, one line for each step of a request. */
export type EndpointLine =
  | {
      event: 'run';
      request: string;
      run: number;
      path: string;
      after: number;
      account: string;
      version: string;
      /** Hash of the body that came. */
      body: string;
    }
  | { event: 'sent'; request: string; run: number; number: number }
  /** The answer is complete as far as the endpoint states it in its framing. */
  | { event: 'stated'; request: string; run: number; number: number }
  /** The answer ends in order, with events missing. */
  | { event: 'stopped'; request: string; run: number; number: number; reason: EarlyEndReason }
  | { event: 'closed'; request: string; run: number; number: number }
  /** The process dies of the request or of a part of its prompt. */
  | { event: 'crash'; request: string; run: number }
  | { event: 'declined'; request: string; reason: 'full' | 'leaving' | 'other-endpoint' };

/** Dependencies and settings of an endpoint of the soak. */
export interface SoakEndpointHost {
  clock: Clock;
  id: string;
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

/** An answer that has begun. */
interface OpenAnswer {
  response: ServerResponse;
  stop(reason: EarlyEndReason): void;
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
}

/**
 * Creates an endpoint that sends what the path of a request asks for. It keeps to the time limit that
 * it is told, counted from the request's arrival: it begins no event that would come later.
 */
export function createSoakEndpoint(host: SoakEndpointHost): SoakEndpoint {
  const { clock, id, slots, version, record } = host;
  const openAnswers = new Set<OpenAnswer>();
  let active = 0;
  let runs = 0;
  let isHalted = false;
  let endReason: EarlyEndReason | undefined;
  const underWay = new Map<number, RunEntry>();

  async function serve(
    request: IncomingMessage,
    response: ServerResponse,
    body: string,
  ): Promise<void> {
    const name = String(request.headers[WireHeader.requestId] ?? '');
    const expected = request.headers[WireHeader.endpoint];
    if (expected !== undefined && expected !== id) {
      decline(response, name, MISDIRECTED_STATUS, 'other-endpoint');
    } else if (active >= slots || host.isFull()) {
      decline(response, name, DECLINED_STATUS, 'full');
    } else {
      active += 1;
      await run(request, response, name, body).finally(() => {
        active -= 1;
      });
    }
  }

  function decline(
    response: ServerResponse,
    request: string,
    status: number,
    reason: 'full' | 'other-endpoint',
  ): void {
    record({ event: 'declined', request, reason });
    const headers = { [WireHeader.requestId]: request, [WireHeader.notRun]: '1' };
    response.writeHead(status, { ...headers, 'content-length': 0 }).end();
  }

  async function run(
    request: IncomingMessage,
    response: ServerResponse,
    name: string,
    body: string,
  ): Promise<void> {
    const path = request.url ?? '/';
    const deadline = clock.elapsed() + Number(request.headers[WireHeader.timeLeft] ?? Infinity);
    const work = decodeWork(path);
    const after = Number(request.headers[WireHeader.resumeAfter] ?? 0);
    const account = String(request.headers[WireHeader.account] ?? '');
    runs += 1;
    const step = { request: name, run: runs };
    const entry: RunEntry = [name, 0, 0, 0];
    underWay.set(step.run, entry);
    response.once('close', () => underWay.delete(step.run));
    record({ event: 'run', ...step, path, after, account, version, body });
    const fault = hasFault(id, name) ? work.fault : 'none';
    const middle = Math.floor((after + work.events) / 2);
    const isShort =
      fault === 'short' || ((fault === 'empty' || fault === 'forgotten') && after === 0);
    const last = isShort ? middle : work.events;
    if (fault === 'late') await sleep(clock, LATE_ANSWER_DELAY_MS);
    writeHead(response, name, work, after, fault);
    const prompt = String(request.headers[WireHeader.promptParts] ?? '');
    if (work.fault === 'crash-request' || isCrashing(prompt)) {
      record({ event: 'crash', ...step });
      await sleep(clock, CRASH_DELAY_MS);
      host.die();
    }
    let number = after;
    const answer: OpenAnswer = {
      response,
      stop(reason) {
        record({ event: 'stopped', ...step, number, reason });
        // What a length still promises is never sent.
        if (work.framing === 'length') request.socket.destroySoon();
        else response.end();
      },
    };
    openAnswers.add(answer);
    response.once('close', () => openAnswers.delete(answer));
    const isForgotten = after > 0 && hasForgotten(id, work);
    const early = endReason ?? (isForgotten ? 'resumed' : undefined);
    if (early && after < last) answer.stop(early);
    while (number < last && isOpen(response)) {
      if (clock.elapsed() + work.pause > deadline) answer.stop('time-limit');
      if (!isOpen(response)) break;
      const isSilent = fault === 'silent' && number === middle;
      await sleep(clock, isSilent ? SILENCE_MS : work.pause);
      while (isHalted) await sleep(clock, HALT_INTERVAL_MS);
      if (!isOpen(response)) break;
      number += 1;
      entry[2] = number - after;
      // Recorded first: what the kernel has taken may arrive although the process is killed.
      record({ event: 'sent', ...step, number });
      response.write(renderEvent(name, number, version));
    }
    openAnswers.delete(answer);
    if (response.writableEnded) return;
    if (response.destroyed) record({ event: 'closed', ...step, number });
    else {
      if (!isShort) record({ event: 'stated', ...step, number });
      endAnswer(request, response, work, isShort ? 'short' : fault);
    }
  }

  function writeHead(
    response: ServerResponse,
    name: string,
    work: Work,
    after: number,
    fault: AnswerFault,
  ): void {
    const content = renderEvents(name, after, work.events, version);
    const extra = fault === 'length' ? 1 : 0;
    const framing = match(work.framing)
      .with('length', () => ({ ...KEEP_ALIVE, 'content-length': content.length + extra }))
      .with('chunked', () => ({ ...KEEP_ALIVE, 'transfer-encoding': 'chunked' }))
      .with('close', () => ({ connection: 'close' }))
      .exhaustive();
    // Without this, Node frames an answer that has neither a length nor chunks in chunks.
    response.useChunkedEncodingByDefault = work.framing === 'chunked';
    const limit = host.getRateLimit();
    if (limit !== undefined) response.setHeader(WireHeader.rateLimit, limit);
    response.writeHead(200, {
      [WireHeader.requestId]: fault === 'other' ? `${name}-other` : name,
      [WireHeader.signature]: signAnswer(id, name),
      'content-type': 'text/event-stream',
      ...framing,
    });
    response.flushHeaders();
  }

  const server = http.createServer((request, response) => {
    if (request.url === REPORT_PATH) {
      const list = [...underWay.values()];
      writeJson(response, 200, { queued: 0, active: list.length, runs: list });
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
    async endAnswers({ reason, delay }) {
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
  };
}

function isOpen(response: ServerResponse): boolean {
  return !response.destroyed && !response.writableEnded;
}

// An answer cut short closes its connection in order and, in chunks, without the last one.
function endAnswer(
  request: IncomingMessage,
  response: ServerResponse,
  { framing }: Work,
  fault: AnswerFault,
): void {
  if (fault === 'short' || fault === 'length') {
    request.socket.end();
    return;
  }
  response.end();
  // Without a length or chunks they would belong to the answer.
  if (fault === 'extra' && framing !== 'close') request.socket.write(EXTRA_ANSWER);
}

function hasFault(endpoint: string, request: string): boolean {
  return parseInt(hashText(`${endpoint}/${request}`).slice(0, 1), 16) < FAULTY_SIXTEENTHS;
}

// As endpoints are numbered, one of two that serve a version; of many, several confirm each other.
function hasForgotten(endpoint: string, { fault }: Work): boolean {
  const isForgetful = Number(endpoint.split('-').at(-1)) % FORGETFUL_STEP === 1;
  return fault === 'forgotten' || (fault === 'empty' && isForgetful);
}
