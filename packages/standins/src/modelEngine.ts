import http from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { z } from 'zod';
import { createId, createRandom, readBody, writeJson } from '@pomeloroad/core';
import type { Clock, Milliseconds } from '@pomeloroad/core';
import { createFaultGate } from './faults';
import { createPrefixCache } from './prefixCache';
import { createStreams } from './streams';
import type { EngineSpeed, Stream, StreamState } from './streams';

const STREAM_PATH = /^\/v1\/streams\/([^/]+)$/;
const EVENTS_KEPT = 200;

const ChatBody = z.looseObject({
  model: z.string(),
  messages: z.array(z.looseObject({ role: z.string(), content: z.unknown().optional() })).min(1),
  max_tokens: z.number().int().positive().default(128),
  stream: z.boolean().default(false),
});
const OrderBody = z.object({ fencing: z.number().int(), order: z.unknown() });

/** How a model engine behaves. */
export interface EngineOptions extends EngineSpeed {
  cacheBlocks: number;
  /** Age of the load that it reports. */
  loadLag: Milliseconds;
  /** Age that a cache event must have to be published. */
  eventLag: Milliseconds;
  /** Seed of injected faults. */
  seed: number;
  checksFencing: boolean;
}

/** Creates the HTTP server of a model engine stand-in. */
export function createModelEngine(clock: Clock, options: EngineOptions): http.Server {
  const gate = createFaultGate(createRandom(options.seed));
  const cache = createPrefixCache(clock, {
    capacityBlocks: options.cacheBlocks,
    eventsKept: EVENTS_KEPT,
    eventLag: options.eventLag,
  });
  const streams = createStreams(clock, options, cache);
  const orders: { fencing: number; order: unknown; at: string }[] = [];
  let state: 'live' | 'leaving' = 'live';
  let load = { running: 0, queued: 0 };
  let highestFencing = 0;

  function reportLoad(): void {
    load = { running: streams.count('running'), queued: streams.count('queued') };
    clock.after(options.loadLag, reportLoad);
  }

  async function handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (!(await gate.enter(request, response))) return;
    const url = new URL(request.url ?? '/', 'http://engine');
    const route = `${request.method} ${url.pathname}`;
    const stream = STREAM_PATH.exec(url.pathname)?.[1];
    if (route === 'POST /v1/chat/completions') await chat(request, response);
    else if (route === 'GET /v1/load') writeJson(response, 200, { ...load, state });
    else if (route === 'GET /v1/cache-events') {
      const after = Number(url.searchParams.get('after') ?? 0);
      writeJson(response, 200, { events: cache.events(after) });
    } else if (route === 'POST /v1/orders') await takeOrder(request, response);
    else if (route === 'GET /standin/record') {
      writeJson(response, 200, { streams: streams.list().map(toRecord), orders });
    } else if (route === 'PUT /standin/state') {
      state = (await readBody(request)).toString() === 'leaving' ? 'leaving' : 'live';
      writeJson(response, 200, { state });
    } else if (stream !== undefined) serveStream(request, response, stream);
    else writeJson(response, 404, { error: { message: `nothing at ${url.pathname}` } });
  }

  async function chat(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = ChatBody.safeParse(JSON.parse((await readBody(request)).toString()));
    if (!body.success) {
      writeJson(response, 400, { error: { message: z.prettifyError(body.error) } });
      return;
    }
    const id = String(request.headers['x-stream-id'] ?? createId());
    const priority = Number(request.headers['x-priority'] ?? 0);
    const { messages, max_tokens: limit } = body.data;
    const stream = streams.start(id, messages, limit, priority);
    if (!stream) writeJson(response, 409, { error: { message: 'this stream was stopped' } });
    else if (gate.losesAnswer()) response.destroy();
    else await follow(response, stream, 0);
  }

  function serveStream(request: IncomingMessage, response: ServerResponse, id: string): void {
    if (request.method === 'DELETE') {
      const stopped = streams.stop(id);
      writeJson(response, 200, {
        state: stopped ? stopped.state() : 'never',
        prompt_tokens: stopped ? getPromptCost(stopped) : 0,
        completion_tokens: stopped?.generated() ?? 0,
      });
      return;
    }
    const stream = streams.get(id);
    if (!stream || stream.state() === 'cancelled') {
      writeJson(response, 404, { error: { message: 'no such stream' } });
      return;
    }
    follow(response, stream, Number(request.headers['last-event-id'] ?? -1) + 1);
  }

  async function takeOrder(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { fencing, order } = OrderBody.parse(JSON.parse((await readBody(request)).toString()));
    if (options.checksFencing && fencing < highestFencing) {
      writeJson(response, 409, { error: { message: 'old fencing number', highestFencing } });
      return;
    }
    highestFencing = Math.max(highestFencing, fencing);
    orders.push({ fencing, order, at: clock.now().toISOString() });
    writeJson(response, 200, { fencing });
  }

  async function follow(response: ServerResponse, stream: Stream, from: number): Promise<void> {
    stream.attach();
    response.once('close', () => stream.changed.notify());
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    let position = from;
    while (!response.destroyed && stream.state() !== 'cancelled') {
      const upTo = stream.generated();
      for (; position < upTo; position += 1) writeToken(response, stream, position);
      if (stream.state() === 'finished') {
        writeEnd(response, stream);
        break;
      }
      if (position === stream.generated()) await stream.changed.wait();
    }
    stream.detach();
    if (stream.state() === 'cancelled') response.destroy();
  }

  reportLoad();
  return http.createServer({ keepAliveTimeout: 60_000 }, handle);
}

function writeToken(response: ServerResponse, stream: Stream, position: number): void {
  const delta = { content: stream.answer.tokens[position] };
  const chunk = { id: stream.id, choices: [{ index: 0, delta, finish_reason: null }] };
  response.write(`id: ${position}\ndata: ${JSON.stringify(chunk)}\n\n`);
}

function writeEnd(response: ServerResponse, stream: Stream): void {
  const chunk = {
    id: stream.id,
    choices: [{ index: 0, delta: {}, finish_reason: stream.answer.finish }],
    usage: {
      prompt_tokens: stream.answer.promptTokens,
      completion_tokens: stream.generated(),
    },
  };
  response.end(`id: ${stream.generated()}\ndata: ${JSON.stringify(chunk)}\n\ndata: [DONE]\n\n`);
}

/** A stream as the engine's own record shows it. */
export interface StreamRecord {
  id: string;
  /** Hash of the messages. */
  prompt: string;
  promptTokens: number;
  completionTokens: number;
  state: StreamState;
  cachedCharacters: number;
  startedAt: string;
}

function toRecord(stream: Stream): StreamRecord {
  const { id, prompt, cachedCharacters, startedAt } = stream;
  return {
    id,
    prompt,
    promptTokens: getPromptCost(stream),
    completionTokens: stream.generated(),
    state: stream.state(),
    cachedCharacters,
    startedAt,
  };
}

// A prompt is read when its stream starts to run, not while it is queued.
function getPromptCost(stream: Stream): number {
  const hasRun = stream.generated() > 0 || stream.state() === 'running';
  return hasRun ? stream.answer.promptTokens : 0;
}
