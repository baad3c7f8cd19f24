import type { ServerResponse } from 'node:http';
import { cutResponse, endWithConnection, MS_PER_SECOND, writeJson } from '@pomeloroad/core';
import type { Milliseconds } from '@pomeloroad/core';
import { RefusalStatus } from '@pomeloroad/requests';
import type { AnswerEnd, AnswerEvent, Refusal } from '@pomeloroad/requests';
import { CallerHeader } from './callerHeaders';

/** How an answer is sent to its caller. */
export interface Delivery {
  form: 'json' | 'events' | 'service';
  request: string;
  model: string;
  /** Position of the first event to send in the form of events; other forms begin at the start. */
  from: number;
  createdAt: Date;
  writeTimeout: Milliseconds;
}

/**
 * Sends a refusal as a JSON error with its HTTP status. Does nothing if headers were sent before or
 * the caller has disconnected.
 */
export function writeRefusal(response: ServerResponse, request: string, refusal: Refusal): void {
  const { code, retryAfter } = refusal;
  const headers: Record<string, string | number> = { [CallerHeader.requestId]: request };
  if (retryAfter !== undefined) headers['retry-after'] = Math.max(1, toSeconds(retryAfter));
  if (response.headersSent || response.destroyed) return;
  writeJson(response, RefusalStatus[code], toErrorBody(request, refusal), headers);
}

function toErrorBody(request: string, { code, message, ran, retryAfter }: Refusal) {
  const retry = retryAfter === undefined ? {} : { retry_after_ms: Math.ceil(retryAfter) };
  return { error: { code, message, ran, request_id: request, ...retry } };
}

function toSeconds(delay: Milliseconds): number {
  return Math.ceil(delay / MS_PER_SECOND);
}

/** Writes an answer in one of the forms of delivery. */
export interface AnswerWriter {
  event(event: AnswerEvent, position: number): Promise<void>;
  end(end: AnswerEnd): void;
}

/** Creates the writer of an answer of which nothing is written. */
export function createAnswerWriter(response: ServerResponse, delivery: Delivery): AnswerWriter {
  if (delivery.form === 'events') return createEventWriter(response, delivery);
  if (delivery.form === 'service') return createServiceWriter(response, delivery);
  return createJsonWriter(response, delivery);
}

function createJsonWriter(response: ServerResponse, delivery: Delivery): AnswerWriter {
  const texts: string[] = [];
  let usage: Extract<AnswerEvent, { kind: 'usage' }> | undefined;
  return {
    async event(event) {
      if (event.kind === 'delta') texts.push(event.text);
      if (event.kind === 'usage') usage = event;
    },
    end(end) {
      if (end.kind === 'refused') {
        writeRefusal(response, delivery.request, end.refusal);
        return;
      }
      const body = {
        ...describeChat(delivery, 'chat.completion'),
        choices: [
          {
            index: 0,
            message: { role: 'assistant', content: texts.join('') },
            finish_reason: usage?.finish ?? 'stop',
          },
        ],
        usage: toUsageBody(usage),
      };
      writeJson(response, 200, body, { [CallerHeader.requestId]: delivery.request });
    },
  };
}

function describeChat({ request, createdAt, model }: Delivery, object: string) {
  const created = Math.floor(createdAt.getTime() / MS_PER_SECOND);
  return { id: `chatcmpl-${request}`, object, created, model };
}

function toUsageBody(usage: Extract<AnswerEvent, { kind: 'usage' }> | undefined) {
  const promptTokens = usage?.promptTokens ?? 0;
  const completionTokens = usage?.completionTokens ?? 0;
  return {
    prompt_tokens: promptTokens,
    completion_tokens: completionTokens,
    total_tokens: promptTokens + completionTokens,
  };
}

function createEventWriter(response: ServerResponse, delivery: Delivery): AnswerWriter {
  function start(): void {
    if (response.headersSent) return;
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-cache',
      [CallerHeader.requestId]: delivery.request,
    });
  }

  function toChunk(event: AnswerEvent) {
    const base = describeChat(delivery, 'chat.completion.chunk');
    if (event.kind === 'delta') {
      const delta = { role: 'assistant', content: event.text };
      return { ...base, choices: [{ index: 0, delta, finish_reason: null }] };
    }
    const finish = event.kind === 'usage' ? event.finish : 'stop';
    const usage = event.kind === 'usage' ? toUsageBody(event) : undefined;
    return { ...base, choices: [{ index: 0, delta: {}, finish_reason: finish }], usage };
  }

  return {
    async event(event, position) {
      start();
      const text = `id: ${position}\ndata: ${JSON.stringify(toChunk(event))}\n\n`;
      await writeBytes(response, text, delivery.writeTimeout);
    },
    end(end) {
      if (end.kind === 'complete') {
        start();
        response.end('data: [DONE]\n\n');
      } else if (response.headersSent) {
        const body = JSON.stringify(toErrorBody(delivery.request, end.refusal));
        // No `[DONE]` follows, which tells the caller that the answer is incomplete.
        response.end(`event: error\ndata: ${body}\n\n`);
      } else {
        writeRefusal(response, delivery.request, end.refusal);
      }
    },
  };
}

function createServiceWriter(response: ServerResponse, delivery: Delivery): AnswerWriter {
  return {
    async event(event) {
      if (event.kind === 'head') writeServiceHead(response, delivery, event);
      if (event.kind === 'bytes') await writeBytes(response, event.data, delivery.writeTimeout);
    },
    end(end) {
      if (end.kind === 'complete') response.end();
      else if (response.headersSent) cutResponse(response);
      else writeRefusal(response, delivery.request, end.refusal);
    },
  };
}

function writeServiceHead(
  response: ServerResponse,
  { request }: Delivery,
  { status, headers, endsWithConnection }: Extract<AnswerEvent, { kind: 'head' }>,
): void {
  // The last chunk would state that the answer is whole, which the service has not stated.
  if (endsWithConnection) endWithConnection(response);
  response.writeHead(status, { ...headers, [CallerHeader.requestId]: request });
}

// Applies backpressure: resolves once the caller has taken the data or disconnected. A caller that
// takes none before the timeout is disconnected.
function writeBytes(
  response: ServerResponse,
  data: string | Buffer,
  timeout: Milliseconds,
): Promise<void> {
  if (response.destroyed || response.write(data)) return Promise.resolve();
  return new Promise((resolve) => {
    const timer = setTimeout(() => cutResponse(response), timeout);
    const finish = () => {
      clearTimeout(timer);
      response.off('drain', finish);
      response.off('close', finish);
      resolve();
    };
    response.once('drain', finish);
    response.once('close', finish);
  });
}
