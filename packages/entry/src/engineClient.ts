import http from 'node:http';
import { createParser } from 'eventsource-parser';
import type { EventSourceMessage } from 'eventsource-parser';
import { Err, Ok } from 'ts-results';
import { z } from 'zod';
import { callHttp, onConnected, readBody } from '@pomeloroad/core';
import type { Outcome, RunStatus, Tokens } from '@pomeloroad/core';
import type { LoadReport } from '@pomeloroad/routing';

const STREAM_HEADER = 'x-stream-id';
const ERROR_BODY_LIMIT_BYTES = 4096;
/** Maximum number of characters of a stream without the end of an event. */
const EVENT_MAX_LENGTH = 4_194_304;
/** Shorter than the idle timeout after which middleboxes drop a connection. */
const IDLE_SOCKET_TIMEOUT_MS = 4000;

/** The fields used of a stream's chunk. No schema checks them: there is a chunk for each token. */
interface Chunk {
  choices?: { delta?: { content?: unknown }; finish_reason?: unknown }[];
  usage?: { prompt_tokens?: unknown; completion_tokens?: unknown } | null;
}

const StoppedStream = z.object({
  state: z.enum(['finished', 'cancelled', 'never']),
  prompt_tokens: z.number(),
  completion_tokens: z.number(),
});
const OrderReply = z.object({ fencing: z.number() });
const Load = z.object({
  running: z.number(),
  queued: z.number(),
  state: z.enum(['live', 'leaving']),
});

/** An event of an engine's stream. */
export type EngineEvent =
  | { kind: 'delta'; index: number; text: string }
  | { kind: 'usage'; promptTokens: Tokens; completionTokens: Tokens; finish: string };

/** Why a call of an engine failed. `ran` says whether the engine ran the request. */
export interface EngineError {
  kind: 'busy' | 'rejected' | 'failed';
  ran: RunStatus;
  message: string;
}

/** The usage of a stopped stream, and whether it had finished or never started. */
export interface StoppedUsage {
  state: 'finished' | 'cancelled' | 'never';
  promptTokens: Tokens;
  completionTokens: Tokens;
}

/** Options of connections to engines. */
export interface EngineClientOptions {
  /** Local IP address of connections; if it is empty, the system chooses one. */
  sourceAddress: string;
}

/** A request for a stream of an engine. */
export interface EngineCall {
  address: string;
  stream: string;
  body: Record<string, unknown>;
  priority: number;
  /** Whether to open a new connection; if that fails, the request certainly did not run. */
  hasOwnConnection: boolean;
  signal: AbortSignal;
}

/** Receives the events of a stream. The next event is read after the promise has resolved. */
export type EngineSink = (event: EngineEvent) => Promise<void>;

/** A client of the model engines' HTTP interface. */
export interface EngineClient {
  /** Runs a stream to its end. Silence ends neither this call nor `resume`; the signal does. */
  run(call: EngineCall, sink: EngineSink): Promise<Outcome<void, EngineError>>;
  /** Reads a started stream from the event after index `after`. */
  resume(call: EngineCall, after: number, sink: EngineSink): Promise<Outcome<void, EngineError>>;
  /** Stops a stream and returns its usage. If it is not known, a later start is refused. */
  stop(address: string, stream: string): Promise<Outcome<StoppedUsage, EngineError>>;
  /** Sends an order with the fencing token of its issuer's lease. */
  order(address: string, fencing: number, order: object): Promise<Outcome<void, EngineError>>;
  getLoad(address: string): Promise<Outcome<LoadReport, EngineError>>;
}

const CONTROL_CALL_TIMEOUT_MS = 1000;

/** Creates a client for all engines. */
export function createEngineClient(options: EngineClientOptions): EngineClient {
  const localAddress = options.sourceAddress || undefined;
  const agent = new http.Agent({ keepAlive: true, timeout: IDLE_SOCKET_TIMEOUT_MS, localAddress });

  function openRequest(
    call: EngineCall,
    method: string,
    path: string,
    headers: http.OutgoingHttpHeaders,
  ) {
    return http.request(`http://${call.address}${path}`, {
      method,
      headers,
      agent: call.hasOwnConnection ? new http.Agent({ localAddress }) : agent,
      signal: call.signal,
    });
  }

  async function callControl<T>(
    method: string,
    address: string,
    path: string,
    schema: z.ZodType<T>,
    extra: { body?: string; agent?: http.Agent } = {},
  ): Promise<Outcome<T, EngineError>> {
    const url = `http://${address}${path}`;
    const timeout = CONTROL_CALL_TIMEOUT_MS;
    const answer = await callHttp({ method, url, timeout, agent, ...extra });
    if (answer.err)
      return Err({ kind: 'failed', ran: answer.val.ran, message: answer.val.message });
    const parsed = schema.safeParse(parseJson(answer.val.body.toString()));
    if (parsed.success) return Ok(parsed.data);
    return Err({ kind: 'failed', ran: 'unknown', message: 'unexpected answer of the engine' });
  }

  return {
    run(call, sink) {
      const body = JSON.stringify(call.body);
      const request = openRequest(call, 'POST', '/v1/chat/completions', {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(body),
        [STREAM_HEADER]: call.stream,
        'x-priority': call.priority,
      });
      return readStream(request, body, sink);
    },
    resume(call, after, sink) {
      const headers = { 'last-event-id': String(after) };
      const request = openRequest(call, 'GET', `/v1/streams/${call.stream}`, headers);
      return readStream(request, undefined, sink);
    },
    async stop(address, stream) {
      // Follows a failure, after which connections of the pool may be dead too.
      const own = { agent: new http.Agent({ localAddress }) };
      const path = `/v1/streams/${stream}`;
      const stopped = await callControl('DELETE', address, path, StoppedStream, own);
      return stopped.map((value) => ({
        state: value.state,
        promptTokens: value.prompt_tokens,
        completionTokens: value.completion_tokens,
      }));
    },
    async order(address, fencing, order) {
      const body = JSON.stringify({ fencing, order });
      const taken = await callControl('POST', address, '/v1/orders', OrderReply, { body });
      return taken.map(() => undefined);
    },
    getLoad: (address) => callControl('GET', address, '/v1/load', Load),
  };
}

async function readStream(
  request: http.ClientRequest,
  body: string | undefined,
  sink: EngineSink,
): Promise<Outcome<void, EngineError>> {
  let isSent = false;
  let isComplete = false;
  onConnected(request, () => {
    isSent = true;
  });
  try {
    const response = await sendRequest(request, body);
    if (response.statusCode !== 200) return Err(await readRejection(response));
    await readEvents(response, async (event) => {
      isComplete = isComplete || event.kind === 'usage';
      await sink(event);
    });
    if (isComplete) return Ok.EMPTY;
    return Err({ kind: 'failed', ran: 'unknown', message: 'the stream ended before its end mark' });
  } catch (error) {
    const ran: RunStatus = isSent ? 'unknown' : 'no';
    return Err({ kind: 'failed', ran, message: (error as Error).message });
  }
}

function sendRequest(
  request: http.ClientRequest,
  body: string | undefined,
): Promise<http.IncomingMessage> {
  return new Promise((resolve, reject) => {
    request.once('response', resolve);
    request.on('error', reject);
    request.end(body);
  });
}

// Engines answer 429 and 503 before they run anything, and other 4xx to requests they can't run.
async function readRejection(response: http.IncomingMessage): Promise<EngineError> {
  const status = response.statusCode ?? 0;
  const body = await readBody(response, ERROR_BODY_LIMIT_BYTES);
  const message = `status ${status}: ${body.toString()}`;
  if (status === 429 || status === 503) return { kind: 'busy', ran: 'no', message };
  if (status >= 400 && status < 500) return { kind: 'rejected', ran: 'no', message };
  return { kind: 'failed', ran: 'unknown', message };
}

async function readEvents(response: http.IncomingMessage, sink: EngineSink): Promise<void> {
  const messages: EventSourceMessage[] = [];
  const parser = createParser({ onEvent: (message) => messages.push(message) });
  response.setEncoding('utf8');
  let pendingLength = 0;
  for await (const text of response) {
    pendingLength += (text as string).length;
    if (pendingLength > EVENT_MAX_LENGTH) throw new RangeError('too many bytes without an event');
    parser.feed(text as string);
    if (messages.length > 0) pendingLength = 0;
    for (const message of messages.splice(0)) {
      for (const event of toEvents(message)) await sink(event);
    }
  }
}

function toEvents(message: EventSourceMessage): EngineEvent[] {
  if (!message.data.startsWith('{')) return [];
  const chunk = parseJson(message.data) as Chunk | undefined;
  const choice = chunk?.choices?.[0];
  const text = choice?.delta?.content;
  const events: EngineEvent[] = [];
  if (typeof text === 'string' && text !== '') {
    events.push({ kind: 'delta', index: Number(message.id ?? 0), text });
  }
  const usage = toUsage(chunk, String(choice?.finish_reason ?? 'stop'));
  if (usage) events.push(usage);
  return events;
}

function toUsage(chunk: Chunk | undefined, finish: string): EngineEvent | undefined {
  const promptTokens = chunk?.usage?.prompt_tokens;
  const completionTokens = chunk?.usage?.completion_tokens;
  if (!isCount(promptTokens) || !isCount(completionTokens)) return undefined;
  return { kind: 'usage', promptTokens, completionTokens, finish };
}

function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
