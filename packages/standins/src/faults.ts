import type { IncomingMessage, ServerResponse } from 'node:http';
import { z } from 'zod';
import { readBody, writeJson } from '@pomeloroad/core';
import type { Milliseconds, Random } from '@pomeloroad/core';

const FaultsSchema = z.strictObject({
  latency: z.number().min(0).optional(),
  isDown: z.boolean().optional(),
  lostAnswerShare: z.number().min(0).max(1).optional(),
});

/** Faults that a stand-in shows on request. */
export interface Faults {
  /** Added to each answer. */
  latency: Milliseconds;
  /** Every request is answered with 503, and nothing takes effect. */
  isDown: boolean;
  /** Share of requests that take effect but get no answer, from 0 to 1. */
  lostAnswerShare: number;
}

/** Answers a request; `undefined` if the route is not known. */
export type Serve = (
  request: IncomingMessage,
  url: URL,
  body: string,
) => Promise<StandinReply | undefined>;

/** The answer of a stand-in: JSON, or text as it is. */
export interface StandinReply {
  status: number;
  body: unknown;
}

/** Lets requests through to a stand-in, or not; `PUT /standin/faults` sets the faults. */
export interface FaultGate {
  /** Whether the request may be served; otherwise it is answered already. */
  enter(request: IncomingMessage, response: ServerResponse): Promise<boolean>;
  /** Whether this request takes effect but gets no answer. */
  losesAnswer(): boolean;
}

/** Creates a gate without faults. */
export function createFaultGate(random: Random): FaultGate {
  const faults: Faults = { latency: 0, isDown: false, lostAnswerShare: 0 };
  return {
    async enter(request, response) {
      if (request.url === '/standin/faults') {
        const body = (await readBody(request)).toString('utf8');
        Object.assign(faults, FaultsSchema.parse(JSON.parse(body)));
        writeJson(response, 200, faults);
        return false;
      }
      if (request.url?.startsWith('/standin/')) return true;
      if (faults.latency > 0) await pause(faults.latency);
      if (faults.isDown) writeJson(response, 503, { message: 'down' });
      return !faults.isDown;
    },
    losesAnswer: () => random.fraction() < faults.lostAnswerShare,
  };
}

/** Wraps a service so that it shows faults. */
export function createFaultyHandler(random: Random, serve: Serve) {
  const gate = createFaultGate(random);

  return async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    if (!(await gate.enter(request, response))) return;
    const url = new URL(request.url ?? '/', 'http://standin');
    const body = (await readBody(request).catch(() => Buffer.alloc(0))).toString('utf8');
    const reply = await serveSafely(serve, request, url, body);
    if (gate.losesAnswer()) {
      response.destroy();
      return;
    }
    if (typeof reply.body === 'string') response.writeHead(reply.status).end(reply.body);
    else writeJson(response, reply.status, reply.body);
  };
}

async function serveSafely(
  serve: Serve,
  request: IncomingMessage,
  url: URL,
  body: string,
): Promise<StandinReply> {
  try {
    return (await serve(request, url, body)) ?? { status: 404, body: { message: 'none' } };
  } catch (error) {
    return { status: 400, body: { message: (error as Error).message } };
  }
}

function pause(delay: Milliseconds): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delay);
  });
}
