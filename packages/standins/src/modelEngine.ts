import http from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { z } from 'zod';
import { createId, createRandom, readBody, writeJson } from '@pomeloroad/core';
import type { Clock, Milliseconds } from '@pomeloroad/core';
import { createFaultInjector } from './faults';
import { createPrefixCache } from './prefixCache';
import { createStreamScheduler } from './streams';
import type { EnginePerformance, Stream, StreamState } from './streams';

const STREAM_PATH_PATTERN = /^\/v1\/streams\/([^/]+)$/;
const CACHE_EVENT_LIMIT = 200;

const ChatRequestSchema = z.looseObject({
  model: z.string(),
  messages: z.array(z.looseObject({ role: z.string(), content: z.unknown().optional() })).min(1),
  max_tokens: z.number().int().positive().default(128),
  stream: z.boolean().default(false),
});
const OrderSchema = z.object({ fencing: z.number().int(), order: z.unknown() });

/** Configuration of a model engine stand-in. */
export interface ModelEngineOptions extends EnginePerformance {
  /** Capacity of the prefix cache. */
  cacheBlocks: number;
  /** Interval at which the reported load is refreshed. */
  loadLag: Milliseconds;
  /** Delay until a cache event is published. */
  eventLag: Milliseconds;
  /** Seed of the random choices of injected faults. */
  seed: number;
  /** Refuses orders whose fencing number is below the highest one seen. */
  checksFencing: boolean;
}

/** Creates the HTTP server of a model engine stand-in; the caller makes it listen. */
export function createModelEngine(clock: Clock, options: ModelEngineOptions): http.Server {
  const injector = createFaultInjector(createRandom(options.seed));
  const cache = createPrefixCache(clock, {
    capacityBlocks: options.cacheBlocks,
    eventLimit: CACHE_EVENT_LIMIT,
    eventLag: options.eventLag,
  });
  const streams = createStreamScheduler(clock, options, cache);
  const orders: { fencing: number; order: unknown; at: string }[] = [];
  let state: 'live' | 'leaving' = 'live';
  let load = { running: 0, queued: 0 };
  let highestFencing = 0;

  function refreshLoad(): void {
    load = { running: streams.count('running'), queued: streams.count('queued') };
    clock.after(options.loadLag, refreshLoad);
  }

  async function handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (!(await injector.shouldServe(request, response))) return;
    const url = new URL(request.url ?? '/', 'http://engine');
    const route = `${request.method} ${url.pathname}`;
    const streamId = STREAM_PATH_PATTERN.exec(url.pathname)?.[1];
    if (route === 'POST /v1/chat/completions') await handleChat(request, response);
    else if (route === 'GET /v1/load') writeJson(response, 200, { ...load, state });
    else if (route === 'GET /v1/cache-events') {
      const after = Number(url.searchParams.get('after') ?? 0);
      writeJson(response, 200, { events: cache.events(after) });
    } else if (route === 'POST /v1/orders') await acceptOrder(request, response);
    else if (route === 'GET /standin/record') {
      writeJson(response, 200, { streams: streams.list().map(toRecord), orders });
    } else if (route === 'PUT /standin/state') {
      state = (await readBody(request)).toString() === 'leaving' ? 'leaving' : 'live';
      writeJson(response, 200, { state });
    } else if (streamId !== undefined) handleStreamRequest(request, response, streamId);
    else writeJson(response, 404, { error: { message: `nothing at ${url.pathname}` } });
  }

  async function handleChat(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = ChatRequestSchema.safeParse(JSON.parse((await readBody(request)).toString()));
    if (!body.success) {
      writeJson(response, 400, { error: { message: z.prettifyError(body.error) } });
      return;
    }
    const id = String(request.headers['x-stream-id'] ?? createId());
    const priority = Number(request.headers['x-priority'] ?? 0);
    const { messages, max_tokens: limit } = body.data;
    const stream = streams.start(id, messages, limit, priority);
    if (!stream) writeJson(response, 409, { error: { message: 'this stream was stopped' } });
    else if (injector.shouldDropAnswer()) response.destroy();
    else await sendTokens(response, stream, 0);
  }

  function handleStreamRequest(
    request: IncomingMessage,
    response: ServerResponse,
    id: string,
  ): void {
    if (request.method === 'DELETE') {
      const stopped = streams.stop(id);
      writeJson(response, 200, {
        state: stopped ? stopped.state() : 'never',
        prompt_tokens: stopped ? countPromptTokensRead(stopped) : 0,
        completion_tokens: stopped?.generated() ?? 0,
      });
      return;
    }
    const stream = streams.get(id);
    if (!stream || stream.state() === 'cancelled') {
      writeJson(response, 404, { error: { message: 'no such stream' } });
      return;
    }
    sendTokens(response, stream, Number(request.headers['last-event-id'] ?? -1) + 1);
  }

  async function acceptOrder(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { fencing, order } = OrderSchema.parse(JSON.parse((await readBody(request)).toString()));
    if (options.checksFencing && fencing < highestFencing) {
      writeJson(response, 409, { error: { message: 'old fencing number', highestFencing } });
      return;
    }
    highestFencing = Math.max(highestFencing, fencing);
    orders.push({ fencing, order, at: clock.now().toISOString() });
    writeJson(response, 200, { fencing });
  }

  async function sendTokens(
    response: ServerResponse,
    stream: Stream,
    firstPosition: number,
  ): Promise<void> {
    stream.attachReader();
    response.once('close', () => stream.changed.notify());
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    let position = firstPosition;
    while (!response.destroyed && stream.state() !== 'cancelled') {
      const generatedCount = stream.generated();
      for (; position < generatedCount; position += 1) writeToken(response, stream, position);
      if (stream.state() === 'finished') {
        writeFinalChunk(response, stream);
        break;
      }
      if (position === stream.generated()) await stream.changed.wait();
    }
    stream.detachReader();
    if (stream.state() === 'cancelled') response.destroy();
  }

  // A caller that goes away while its request is read is no failure of the engine.
  async function serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      await handle(request, response);
    } catch (error) {
      if (request.errored !== error) throw error;
    }
  }

  refreshLoad();
  return http.createServer({ keepAliveTimeout: 60_000 }, serve);
}

function writeToken(response: ServerResponse, stream: Stream, position: number): void {
  const delta = { content: stream.answer.tokens[position] };
  const chunk = { id: stream.id, choices: [{ index: 0, delta, finish_reason: null }] };
  response.write(`id: ${position}\ndata: ${JSON.stringify(chunk)}\n\n`);
}

function writeFinalChunk(response: ServerResponse, stream: Stream): void {
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

/** A stream as `GET /standin/record` reports it. */
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
    promptTokens: countPromptTokensRead(stream),
    completionTokens: stream.generated(),
    state: stream.state(),
    cachedCharacters,
    startedAt,
  };
}

// The prompt of a queued stream has not been read and costs nothing.
function countPromptTokensRead(stream: Stream): number {
  const hasRun = stream.generated() > 0 || stream.state() === 'running';
  return hasRun ? stream.answer.promptTokens : 0;
}
