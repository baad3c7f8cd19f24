import type { IncomingMessage, ServerResponse } from 'node:http';
import { sleep } from '@pomeloroad/core';
import type { Clock, Milliseconds, Random } from '@pomeloroad/core';
import type { EndpointLine } from './endpointLines';
import type { Run, RunEntry } from './openAnswers';
import { WireHeader } from './platformWire';
import type { ReplicatedRun, Replicas } from './replicas';
import { drawEndDelay, isOpen, writeHead } from './soakAnswer';
import { decodeWork, renderEvent } from './soakWork';
import type { AnswerFault } from './soakWork';

/** A request that has arrived at an endpoint. */
export interface Arrival {
  request: IncomingMessage;
  response: ServerResponse;
  /** Id of the request. */
  name: string;
  /** Hash of the body that came. */
  body: string;
}

/** Dependencies of the runs of an endpoint. */
export interface SoakRunsHost extends Pick<Replicas, 'startBackup'> {
  clock: Clock;
  /** Draws how late ends come. */
  random: Random;
  /** Share of the streams whose end comes apart from their last event. */
  apartShare: number;
  id: string;
  /** Version of its software. */
  version: string;
  record(line: EndpointLine): void;
  /** Returns the requests a second that answers name as its limit; `undefined` for none. */
  getRateLimit(): number | undefined;
}

/** The runs of an endpoint that are under way. */
export interface SoakRuns {
  /** Begins the run of a request, which has waited in line for the time. */
  begin(arrival: Arrival, waited?: Milliseconds): Run;
  /** Sets the head of the run's answer. */
  tellHead(run: Run, fault: AnswerFault): void;
  /** Sends the next event. */
  sendEvent(run: Run): void;
  /** Waits from the last event until the end comes. */
  waitForEnd(run: Run): Promise<void>;
  /** Returns the run of a request whose answer is open. */
  find(name: string): ReplicatedRun | undefined;
  listEntries(): RunEntry[];
}

/** Creates the runs of an endpoint that has none yet. */
export function createSoakRuns(host: SoakRunsHost): SoakRuns {
  const { clock, id, version, record } = host;
  const underWay = new Map<number, Run>();
  let count = 0;

  function begin(arrival: Arrival, waited?: Milliseconds): Run {
    const { request, response, name, body } = arrival;
    const path = request.url ?? '/';
    const after = Number(request.headers[WireHeader.resumeAfter] ?? 0);
    const account = String(request.headers[WireHeader.account] ?? '');
    count += 1;
    const step = { request: name, run: count };
    const entry: RunEntry = [name, 0, 0, 0];
    const goesOnFrom = request.headers[WireHeader.goOnFrom]?.toString();
    record({ event: 'run', ...step, path, after, account, version, body, waited, goesOnFrom });
    const work = decodeWork(path);
    const begun: Run = { step, entry, request, response, work, after, number: after };
    underWay.set(step.run, begun);
    const backup = request.headers[WireHeader.backup]?.toString();
    const endBackup = backup === undefined ? undefined : host.startBackup(name, backup);
    response.once('close', () => {
      underWay.delete(step.run);
      endBackup?.(hasSentAll(begun));
    });
    return begun;
  }

  function tellHead({ step, response, work, after }: Run, fault: AnswerFault): void {
    const rateLimit = host.getRateLimit();
    const head = { endpoint: id, version, name: step.request, work, after, fault, rateLimit };
    writeHead(response, head);
  }

  function sendEvent(sending: Run): void {
    const run = sending;
    const { step, entry, response, after } = run;
    run.number += 1;
    entry[2] = run.number - after;
    // Recorded first: what the kernel has taken may arrive although the process is killed.
    record({ event: 'sent', ...step, number: run.number });
    response.write(renderEvent(step.request, run.number, version));
  }

  async function waitForEnd({ step, work }: Run): Promise<void> {
    const delay = drawEndDelay(host.random, step.request, host.apartShare);
    if (work.route.startsWith('stream') && delay > 0) await sleep(clock, delay);
  }

  function find(name: string): ReplicatedRun | undefined {
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

  return {
    begin,
    tellHead,
    sendEvent,
    waitForEnd,
    find,
    listEntries: () => [...underWay.values()].map(({ entry }) => entry),
  };
}

/** Returns whether all events of the run's answer were sent. */
export function hasSentAll({ number, work }: Run): boolean {
  return number >= work.events;
}

/** Returns the elapsed time of the clock at which the time limit that the request tells ends. */
export function getDeadline(clock: Clock, { headers }: IncomingMessage): Milliseconds {
  return clock.elapsed() + Number(headers[WireHeader.timeLeft] ?? Infinity);
}
