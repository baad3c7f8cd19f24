import http from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { hashText, readBody, writeJson } from '@pomeloroad/core';
import type { Clock, Milliseconds, Random } from '@pomeloroad/core';
import { ORDERLY_END_PATH } from './endpointLines';
import type { EndpointLine, OrderlyEnd } from './endpointLines';
import { createOpenAnswers } from './openAnswers';
import { answerWithPauses } from './pausedAnswer';
import { WireHeader } from './platformWire';
import { createReplicas } from './replicas';
import { KEEP_ALIVE } from './soakAnswer';
import { createSoakRuns } from './soakRuns';
import type { Arrival } from './soakRuns';
import { decodeWork } from './soakWork';
import { createSteppedEngine } from './steppedEngine';
import { answerInSteps } from './steppedAnswer';

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
  /** Unix time in milliseconds at which its process started. */
  born: number;
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

/** Why an endpoint does not run a request. */
type DeclineReason = 'full' | 'other-endpoint' | 'no-replica' | 'time-limit';

/**
 * Creates an endpoint that sends what the path of a request asks for. It keeps to the time limit that
 * it is told, counted from the request's arrival: it begins no event that would come later. An engine makes
 * the streams that are asked for in steps.
 */
export function createSoakEndpoint(host: SoakEndpointHost): SoakEndpoint {
  const { clock, id, slots, born, record } = host;
  const engine = createSteppedEngine(clock, host.random);
  const answers = createOpenAnswers(host);
  const replicas = createReplicas({ ...host, findRun: (name) => runs.find(name) });
  const runs = createSoakRuns({ ...host, startBackup: replicas.startBackup });
  const parts = { ...host, engine, answers, runs, decline: declineLate };
  let active = 0;

  async function serve(arrival: Arrival): Promise<void> {
    const { headers, url = '/' } = arrival.request;
    const expected = headers[WireHeader.endpoint];
    const goesOnFrom = headers[WireHeader.goOnFrom];
    if (expected !== undefined && expected !== id) {
      decline(arrival, MISDIRECTED_STATUS, 'other-endpoint');
    } else if (active >= slots || host.isFull()) {
      decline(arrival, DECLINED_STATUS, 'full');
    } else if (goesOnFrom !== undefined && !replicas.take(String(goesOnFrom))) {
      decline(arrival, DECLINED_STATUS, 'no-replica');
    } else {
      const { fault } = decodeWork(url);
      const answer = fault === 'steps' ? answerInSteps : answerWithPauses;
      active += 1;
      await answer(parts, arrival).finally(() => {
        active -= 1;
      });
    }
  }

  function declineLate(arrival: Arrival, waited: Milliseconds): void {
    decline(arrival, DECLINED_STATUS, 'time-limit', waited);
  }

  function decline(
    { response, name }: Arrival,
    status: number,
    reason: DeclineReason,
    waited?: Milliseconds,
  ): void {
    record({ event: 'declined', request: name, reason, waited });
    const headers = { [WireHeader.requestId]: name, [WireHeader.notRun]: '1' };
    response.writeHead(status, { ...headers, 'content-length': 0 }).end();
  }

  async function handleBody(
    request: IncomingMessage,
    response: ServerResponse,
    body: string,
  ): Promise<void> {
    if (request.url === ORDERLY_END_PATH) {
      response.end();
      host.end(JSON.parse(body) as OrderlyEnd);
      return;
    }
    const name = String(request.headers[WireHeader.requestId] ?? '');
    await serve({ request, response, name, body: hashText(body) });
  }

  function report(response: ServerResponse): void {
    const entries = runs.listEntries();
    const queued = engine.countWaiting();
    const state = { born, queued, active: entries.length, runs: entries };
    // Left to Node, an idle timeout of less than a second is announced as none.
    writeJson(response, 200, state, KEEP_ALIVE);
  }

  const server = http.createServer((request, response) => {
    if (replicas.serve(request, response)) return;
    if (request.url === REPORT_PATH) {
      report(response);
      return;
    }
    const accept = (body: Buffer) => handleBody(request, response, String(body));
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
