import type { IncomingMessage, ServerResponse } from 'node:http';
import { z } from 'zod';
import { readBody, writeJson } from '@pomeloroad/core';
import type { Milliseconds, Random } from '@pomeloroad/core';

const FaultsSchema = z.strictObject({
  latency: z.number().min(0).optional(),
  isDown: z.boolean().optional(),
  lostAnswerShare: z.number().min(0).max(1).optional(),
  isFeedStalled: z.boolean().optional(),
});

/** Faults that a stand-in injects into its answers. */
export interface InjectedFaults {
  /** Delay before each request is served. */
  latency: Milliseconds;
  /** Answers every request with 503; no request takes effect. */
  isDown: boolean;
  /** Share, from 0 to 1, of requests that take effect but get no answer. */
  lostAnswerShare: number;
  /** Whether a feed of changes tells none. */
  isFeedStalled: boolean;
}

/** Serves a request and resolves to the answer, or to `undefined` for an unknown route. */
export type RequestHandler = (
  request: IncomingMessage,
  url: URL,
  body: string,
) => Promise<StandinReply | undefined>;

/** An answer of a stand-in. A string body is sent as it is, any other body as JSON. */
export interface StandinReply {
  status: number;
  body: unknown;
}

/** Injects faults into the requests of a stand-in; `PUT /standin/faults` sets the faults. */
export interface FaultInjector {
  /**
   * Resolves to whether the caller should serve the request, after the injected latency. If false,
   * the request has been answered.
   */
  shouldServe(request: IncomingMessage, response: ServerResponse): Promise<boolean>;
  /** Decides at random whether the answer to a request that took effect is dropped. */
  shouldDropAnswer(): boolean;
  isFeedStalled(): boolean;
}

/** Creates an injector with all faults off. */
export function createFaultInjector(random: Random): FaultInjector {
  const faults: InjectedFaults = {
    latency: 0,
    isDown: false,
    lostAnswerShare: 0,
    isFeedStalled: false,
  };
  return {
    async shouldServe(request, response) {
      if (request.url === '/standin/faults') {
        const body = (await readBody(request)).toString('utf8');
        Object.assign(faults, FaultsSchema.parse(JSON.parse(body)));
        writeJson(response, 200, faults);
        return false;
      }
      if (request.url?.startsWith('/standin/')) return true;
      if (faults.latency > 0) await delayBy(faults.latency);
      if (faults.isDown) writeJson(response, 503, { message: 'down' });
      return !faults.isDown;
    },
    shouldDropAnswer: () => random.fraction() < faults.lostAnswerShare,
    isFeedStalled: () => faults.isFeedStalled,
  };
}

/**
 * Returns a listener for `http.createServer` that serves requests with the given handler and
 * injects faults. An unknown route is answered with 404, a handler that throws with 400.
 */
export function createFaultInjectingHandler(random: Random, handler: RequestHandler) {
  const injector = createFaultInjector(random);

  return async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    if (!(await injector.shouldServe(request, response))) return;
    const url = new URL(request.url ?? '/', 'http://standin');
    const body = (await readBody(request).catch(() => Buffer.alloc(0))).toString('utf8');
    const reply = await callHandler(handler, request, url, body);
    if (injector.shouldDropAnswer()) {
      response.destroy();
      return;
    }
    if (typeof reply.body === 'string') response.writeHead(reply.status).end(reply.body);
    else writeJson(response, reply.status, reply.body);
  };
}

async function callHandler(
  handler: RequestHandler,
  request: IncomingMessage,
  url: URL,
  body: string,
): Promise<StandinReply> {
  try {
    return (await handler(request, url, body)) ?? { status: 404, body: { message: 'none' } };
  } catch (error) {
    return { status: 400, body: { message: (error as Error).message } };
  }
}

function delayBy(delay: Milliseconds): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delay);
  });
}
