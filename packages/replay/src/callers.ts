import http from 'node:http';
import { createParser } from 'eventsource-parser';
import { readBody } from '@pomeloroad/core';
import { getSecret } from './deployments';
import { pause } from './pause';
import type { Testbed, TestbedInstance } from './testbed';
import { getMessages } from './trace';
import type { TraceRequest } from './trace';

const REQUEST_TIMEOUT_MS = 30_000;
const MAX_ATTEMPTS = 5;
/** Pause before the next attempt, times the number of attempts so far. */
const RETRY_DELAY_STEP_MS = 300;
/** Codes of refusals after which a caller tries again. */
const RETRYABLE_CODES = new Set(['not_ready', 'endpoint_failed']);

/** One attempt to send a request, and its result. */
export interface Attempt {
  request: TraceRequest;
  instance: string;
  /** Data centre of the instance. */
  site: string;
  startedAt: Date;
  endedAt: Date;
  result:
    | { kind: 'answered'; status: number; text: string; id: string }
    | { kind: 'refused'; status: number; code: string; ran: string; id: string }
    /** The connection ended without a complete answer. */
    | { kind: 'lost'; message: string };
}

/** Sends the requests of a trace as the clients behind the balancer do. */
export interface Callers {
  /**
   * Sends a request from a data centre and retries it where that is safe. Resolves to all attempts;
   * to none if no instance was ready.
   */
  send(request: TraceRequest, site: string): Promise<Attempt[]>;
  /** Returns the number of requests that are in flight. */
  open(): number;
}

/** Creates callers that choose instances as the platform's balancer does. */
export function createCallers(testbed: Testbed): Callers {
  const agent = new http.Agent({ keepAlive: true, maxSockets: Infinity });
  let turns = 0;
  let open = 0;

  // Round-robin over the ready instances of the data centre, or over all ready ones if it has none.
  function pickReadyInstance(site: string): TestbedInstance | undefined {
    const ready = testbed.instances.filter((instance) => instance.isReady);
    const local = ready.filter((instance) => instance.site === site);
    const candidates = local.length > 0 ? local : ready;
    turns += 1;
    return candidates[turns % candidates.length];
  }

  async function sendOnce(request: TraceRequest, instance: TestbedInstance): Promise<Attempt> {
    const startedAt = new Date();
    const result = await sendHttp(agent, request, instance.callersUrl);
    const { name, site } = instance;
    return { request, instance: name, site, startedAt, endedAt: new Date(), result };
  }

  return {
    async send(request, site) {
      const attempts: Attempt[] = [];
      open += 1;
      for (let count = 0; count < MAX_ATTEMPTS; count += 1) {
        const instance = pickReadyInstance(site);
        if (instance) {
          const attempt = await sendOnce(request, instance);
          attempts.push(attempt);
          if (!mayRetry(request, attempt)) break;
        }
        await pause(RETRY_DELAY_STEP_MS * (count + 1));
      }
      open -= 1;
      return attempts;
    },
    open: () => open,
  };
}

// A lost request is retried only with an idempotency key; a refused one only with a retryable code
// and either a key or the statement that it did not run.
function mayRetry(request: TraceRequest, { result }: Attempt): boolean {
  if (result.kind === 'answered') return false;
  if (result.kind === 'lost') return request.key !== undefined;
  const isSafe = result.ran === 'no' || request.key !== undefined;
  return isSafe && RETRYABLE_CODES.has(result.code);
}

async function sendHttp(
  agent: http.Agent,
  request: TraceRequest,
  url: string,
): Promise<Attempt['result']> {
  const { method, path, body } = createHttpCall(request);
  const headers = {
    authorization: `Bearer ${getSecret(request.account)}`,
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    'x-budget': request.budget,
    'x-priority': request.priority,
    ...(request.key === undefined ? {} : { 'idempotency-key': request.key }),
    ...(request.isIdempotent ? {} : { 'x-non-idempotent': 'true' }),
  };
  const call = http.request(`${url}${path}`, { method, headers, agent });
  call.setTimeout(REQUEST_TIMEOUT_MS, () => call.destroy(new Error('timeout')));
  try {
    const response = await new Promise<http.IncomingMessage>((resolve, reject) => {
      call.once('response', resolve);
      call.on('error', reject);
      call.end(body);
    });
    const text = (await readBody(response)).toString('utf8');
    return parseResponse(request, response, text);
  } catch (error) {
    return { kind: 'lost', message: (error as Error).message };
  }
}

function createHttpCall(request: TraceRequest): { method: string; path: string; body: string } {
  if (request.kind === 'call') {
    const { method, service, path, body } = request;
    return { method, path: `/v1/services/${service}${path}`, body };
  }
  const { model, maxTokens, isStreamed } = request;
  const content = {
    model,
    messages: getMessages(request),
    max_tokens: maxTokens,
    stream: isStreamed,
  };
  return { method: 'POST', path: '/v1/chat/completions', body: JSON.stringify(content) };
}

function parseResponse(
  request: TraceRequest,
  response: http.IncomingMessage,
  text: string,
): Attempt['result'] {
  const status = response.statusCode ?? 0;
  const id = String(response.headers['x-request-id'] ?? '');
  if (status !== 200) return parseRefusal(status, id, text);
  if (request.kind === 'call') return { kind: 'answered', status, text, id };
  if (request.isStreamed) return parseEventStream(status, id, text);
  const body = JSON.parse(text) as { choices: { message: { content: string } }[] };
  return { kind: 'answered', status, text: body.choices[0]?.message.content ?? '', id };
}

function parseRefusal(status: number, id: string, text: string): Attempt['result'] {
  try {
    const { error } = JSON.parse(text) as { error: { code: string; ran: string } };
    return { kind: 'refused', status, code: error.code, ran: error.ran, id };
  } catch {
    return { kind: 'lost', message: `status ${status}: ${text.slice(0, 100)}` };
  }
}

function parseEventStream(status: number, id: string, text: string): Attempt['result'] {
  const parts: string[] = [];
  let isWhole = false;
  let failure: Attempt['result'] | undefined;
  const parser = createParser({
    onEvent({ event, data }) {
      if (data === '[DONE]') isWhole = true;
      else if (event === 'error') failure = parseRefusal(status, id, data);
      else {
        const chunk = JSON.parse(data) as { choices: { delta: { content?: string } }[] };
        parts.push(chunk.choices[0]?.delta.content ?? '');
      }
    },
  });
  parser.feed(text);
  if (failure) return failure;
  if (!isWhole) return { kind: 'lost', message: 'the stream ended without [DONE]' };
  return { kind: 'answered', status, text: parts.join(''), id };
}
