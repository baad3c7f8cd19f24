import type http from 'node:http';
import { createParser } from 'eventsource-parser';
import type { EventSourceMessage } from 'eventsource-parser';
import { Err, Ok } from 'ts-results';
import {
  isCount,
  limitLateUpload,
  onConnected,
  outlastErrors,
  parseJson,
  readBody,
} from '@pomeloroad/core';
import type { Outcome, RunStatus } from '@pomeloroad/core';
import type { EngineError, EngineEvent, EngineSink } from './engineTypes';

const ERROR_BODY_LIMIT_BYTES = 4096;
/** Maximum number of characters of a stream without the end of an event. */
const EVENT_MAX_LENGTH = 4_194_304;

/** The fields used of a stream's chunk. No schema checks them: there is a chunk for each token. */
interface Chunk {
  choices?: { delta?: { content?: unknown }; finish_reason?: unknown }[];
  usage?: { prompt_tokens?: unknown; completion_tokens?: unknown } | null;
}

/**
 * Reads the events of a stream from the answer to a request, which is sent with this body. `isRest`: the
 * stream is not read from its start.
 */
export async function readStream(
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
  outlastErrors(request);
  limitLateUpload(request);
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
