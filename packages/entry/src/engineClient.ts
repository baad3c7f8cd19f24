import http from 'node:http';
import { createParser } from 'eventsource-parser';
import type { EventSourceMessage } from 'eventsource-parser';
import { Err, Ok, Result } from 'ts-results';
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
  /**
   * Event number `index` of the stream, from 0 on; its text is empty if it has none. `finish` is the
   * engine's word for why the text ends there.
   */
  | { kind: 'delta'; index: number; text: string; finish?: string | undefined }
  /** The end. Without a number it follows the event before it on the same connection. */
  | {
      kind: 'usage';
      index?: number | undefined;
      promptTokens: Tokens;
      completionTokens: Tokens;
      finish?: string | undefined;
    };

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
    return Result.wrap<http.ClientRequest, Error>(() =>
      http.request(`http://${call.address}${path}`, {
        method,
        headers,
        agent: call.hasOwnConnection ? new http.Agent({ localAddress }) : agent,
        signal: call.signal,
      }),
    );
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
      return readStream(request, body, false, sink);
    },
    resume(call, after, sink) {
      const headers = { 'last-event-id': String(after) };
      const request = openRequest(call, 'GET', `/v1/streams/${call.stream}`, headers);
      return readStream(request, undefined, true, sink);
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
  opened: Outcome<http.ClientRequest, Error>,
  body: string | undefined,
  isRest: boolean,
  sink: EngineSink,
): Promise<Outcome<void, EngineError>> {
  if (opened.err) return Err({ kind: 'failed', ran: 'no', message: opened.val.message });
  const request = opened.val;
  let isSent = false;
  let isComplete = false;
  let hasEvents = false;
  onConnected(request, () => {
    isSent = true;
  });
  try {
    const response = await sendRequest(request, body);
    if (response.statusCode !== 200) return Err(await readRejection(response));
    await readEvents(response, async (event) => {
      const isUnplaced = event.kind === 'usage' && event.index === undefined;
      // Nothing tells whether such an end is that of the events that were received before.
      if (isUnplaced && isRest && !hasEvents)
        throw new Error('the rest has an end without a number');
      hasEvents = true;
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
    request.once('close', () => reject(new Error('closed without an answer')));
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

// Each numbered event counts, also one without a text, so that a missing one is noticed.
function toEvents({ id, data }: EventSourceMessage): EngineEvent[] {
  const index = parseIndex(id);
  const chunk = data.startsWith('{') ? (parseJson(data) as Chunk | undefined) : {};
  if (!chunk) throw new Error('an event can not be read');
  const choice = chunk.choices?.[0];
  const content = choice?.delta?.content;
  const text = typeof content === 'string' ? content : '';
  const reason = choice?.finish_reason;
  const finish = typeof reason === 'string' ? reason : undefined;
  const usage = toUsage(chunk, index, finish);
  if (usage && text === '') return [usage];
  if (index === undefined && text !== '') throw new Error('an event with text has no number');
  const deltas: EngineEvent[] = index === undefined ? [] : [{ kind: 'delta', index, text, finish }];
  return usage ? [...deltas, usage] : deltas;
}

function parseIndex(id: string | undefined): number | undefined {
  const index = id === undefined || id === '' ? undefined : Number(id);
  return isCount(index) ? index : undefined;
}

function toUsage(
  chunk: Chunk,
  index: number | undefined,
  finish: string | undefined,
): EngineEvent | undefined {
  const promptTokens = chunk.usage?.prompt_tokens;
  const completionTokens = chunk.usage?.completion_tokens;
  if (!isCount(promptTokens) || !isCount(completionTokens)) return undefined;
  return { kind: 'usage', index, promptTokens, completionTokens, finish };
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
