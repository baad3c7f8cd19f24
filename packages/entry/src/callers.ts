import http from 'node:http';
import https from 'node:https';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { Err, Ok } from 'ts-results';
import {
  createId,
  hashText,
  listen,
  readBody,
  sleep,
  withTimeout,
  writeJson,
} from '@pomeloroad/core';
import type { Clock, Identity, Milliseconds, Outcome } from '@pomeloroad/core';
import { hasBudget } from '@pomeloroad/configuration';
import type { Configuration, Service } from '@pomeloroad/configuration';
import { createRefusal, issueKey, parseIssuedKey } from '@pomeloroad/requests';
import type { Refusal } from '@pomeloroad/requests';
import type { AnswerSource } from './answerSource';
import { CallerHeader, parseCallerHeaders } from './callerHeaders';
import type { CallerOptions } from './callerHeaders';
import { parseChatRequest } from './chatRequest';
import { createKeyIndex } from './credentials';
import type { Credentials, KeyIndex } from './credentials';
import type { InstanceMetrics } from './instanceMetrics';
import type { Opener } from './named';
import type { RunRequest, Work } from './runRequest';
import type { Settings } from './settings';
import { createLostRefusal, deliverAnswer, writeRefusal } from './writer';
import type { Delivery } from './writer';

const SERVICE_PATH = /^\/v1\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/;
const KEEP_ALIVE_MS = 65_000;
const NOT_READY_RETRY_MS = 1000;
const IDLE_SWEEP_MS = 100;
/** Longer than it takes to notice that a runner is lost and to take its stream over. */
const REOPEN_PATIENCE_MS = 10_000;
const REOPEN_DELAY_MS = 1000;

/** Request headers of a caller that a plain service does not get. */
const PRIVATE_HEADERS = new Set<string>([
  'authorization',
  'connection',
  'content-length',
  'expect',
  'host',
  'keep-alive',
  'te',
  'transfer-encoding',
  'upgrade',
  CallerHeader.budget,
  CallerHeader.priority,
  CallerHeader.deadline,
]);

/** Methods that HTTP defines as idempotent. */
const IDEMPOTENT_METHODS = new Set(['GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS']);

/** What the callers' interface needs from its surroundings. */
export interface CallersHost {
  clock: Clock;
  self: Identity;
  settings: Settings;
  opener: Opener;
  metrics: InstanceMetrics;
  getConfiguration(): Configuration | undefined;
  isDraining(): boolean;
}

/** The HTTP interface of callers. */
export interface Callers {
  listen(): Promise<string>;
  /** Requests that are not answered yet. */
  open(): number;
  close(): Promise<void>;
}

interface Exchange {
  request: IncomingMessage;
  response: ServerResponse;
  id: string;
  configuration: Configuration;
  credentials: Credentials;
}

/** Creates the callers' interface. */
export function createCallers(host: CallersHost, tls?: { cert: string; key: string }): Callers {
  const { clock, self, settings, metrics } = host;
  const serverOptions = { maxHeaderSize: settings.headerLimit, keepAliveTimeout: KEEP_ALIVE_MS };
  const server = tls
    ? https.createServer({ ...serverOptions, ...tls }, handle)
    : http.createServer(serverOptions, handle);
  server.maxConnections = settings.connectionLimit;
  server.headersTimeout = settings.requestTimeout;
  server.requestTimeout = settings.requestTimeout;
  let open = 0;
  let indexed: { configuration: Configuration; keys: KeyIndex } | undefined;

  function getKeys(configuration: Configuration): KeyIndex {
    if (indexed?.configuration !== configuration) {
      indexed = { configuration, keys: createKeyIndex(configuration) };
    }
    return indexed.keys;
  }

  async function handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const id = createId();
    const startedAt = clock.elapsed();
    open += 1;
    if (host.isDraining()) response.setHeader('connection', 'close');
    const refusal = await serve(request, response, id);
    if (refusal) {
      metrics.refused(refusal.code);
      writeRefusal(response, id, refusal);
    }
    open -= 1;
    metrics.finished(clock.elapsed() - startedAt);
  }

  async function serve(
    request: IncomingMessage,
    response: ServerResponse,
    id: string,
  ): Promise<Refusal | undefined> {
    const configuration = host.getConfiguration();
    if (!configuration) return refuseNotReady(request);
    const credentials = getKeys(configuration).find(request.headers.authorization);
    if (!credentials) return UNAUTHORIZED;
    return route({ request, response, id, configuration, credentials });
  }

  async function route(exchange: Exchange): Promise<Refusal | undefined> {
    const { request, response, configuration, credentials } = exchange;
    const { url = '', method = '' } = request;
    const path = url.split('?')[0];
    if (path === '/v1/chat/completions') {
      return method === 'POST' ? serveChat(exchange) : METHOD_NOT_ALLOWED;
    }
    if (path === '/v1/models') {
      if (method !== 'GET') return METHOD_NOT_ALLOWED;
      writeJson(response, 200, listModels(configuration));
      return undefined;
    }
    if (path === '/v1/idempotency-keys') {
      if (method !== 'POST') return METHOD_NOT_ALLOWED;
      const key = issueKey(settings.fleetKey, self, credentials.account.name);
      writeJson(response, 201, { key });
      return undefined;
    }
    const service = SERVICE_PATH.exec(url);
    if (service) return serveService(exchange, service);
    return createRefusal('not_found', 'no', `There is nothing at ${path}.`);
  }

  async function serveChat(exchange: Exchange): Promise<Refusal | undefined> {
    const headers = parseCallerHeaders(exchange.request.headers, settings);
    if (headers.err) return headers.val;
    const body = await readRequestBody(exchange.request);
    if (body.err) return body.val;
    const text = body.val.toString('utf8');
    const chat = parseChatRequest(exchange.configuration, text);
    if (chat.err) return chat.val;
    const form = chat.val.isStreamed ? 'events' : 'json';
    const digest = hashText(JSON.stringify(Object.entries(chat.val.body).sort()));
    const work: Work = { kind: 'chat', chat: chat.val };
    return run(exchange, headers.val, work, digest, form);
  }

  async function serveService(
    exchange: Exchange,
    [, name = '', path = '/', query = '']: RegExpExecArray,
  ): Promise<Refusal | undefined> {
    const { request, configuration } = exchange;
    const service = configuration.services.find((candidate) => candidate.name === name);
    if (!service) return createRefusal('not_found', 'no', `There is no service "${name}".`);
    const headers = parseCallerHeaders(request.headers, settings);
    if (headers.err) return headers.val;
    const body = await readRequestBody(request);
    if (body.err) return body.val;
    const work = createServiceWork(request, service, path + query, body.val);
    const content = [request.method, path, query, body.val.toString('base64')];
    return run(exchange, headers.val, work, hashText(JSON.stringify(content)), 'service');
  }

  async function run(
    exchange: Exchange,
    options: CallerOptions,
    work: Work,
    digest: string,
    form: Delivery['form'],
  ): Promise<Refusal | undefined> {
    const { id, response, credentials } = exchange;
    const { account, key } = credentials;
    const budget = options.budget ?? key.budget;
    if (!hasBudget(account, budget)) {
      return createRefusal('forbidden', 'no', `The account has no budget "${budget}".`);
    }
    const issued = options.key ? parseIssuedKey(settings.fleetKey, options.key) : undefined;
    if (issued && issued.account !== account.name) return FOREIGN_KEY;
    const request: RunRequest = {
      id,
      account: account.name,
      budget: `${account.name}/${budget}`,
      name: options.key ? { account: account.name, key: options.key } : undefined,
      digest,
      isIdempotent: options.isIdempotent && isIdempotentMethod(work),
      isProvisional: false,
      needsClaim: !options.isIdempotent && !issued,
      priority: options.priority,
      patience: options.patience,
      work,
    };
    const source = await host.opener.open(request, issued);
    if ('code' in source) return source;
    const model = work.kind === 'chat' ? work.chat.model : work.call.service;
    const { writeTimeout } = settings;
    const { from } = options;
    const delivery = { form, request: id, model, from, createdAt: clock.now(), writeTimeout };
    await deliver(response, delivery, source, request, issued !== undefined);
    return undefined;
  }

  async function deliver(
    response: ServerResponse,
    delivery: Delivery,
    source: AnswerSource,
    request: RunRequest,
    isIssued: boolean,
  ): Promise<void> {
    let lostAt: Milliseconds | undefined;
    await deliverAnswer(response, delivery, source, async () => {
      lostAt ??= clock.elapsed();
      const isHopeless = clock.elapsed() - lostAt > REOPEN_PATIENCE_MS;
      if (!request.name || isIssued || isHopeless) return createLostRefusal();
      // A lost runner is only taken for lost after some silence.
      await sleep(clock, REOPEN_DELAY_MS);
      return host.opener.open({ ...request, id: createId() }, undefined);
    });
  }

  async function readRequestBody(request: IncomingMessage): Promise<Outcome<Buffer, Refusal>> {
    const limit = settings.bodyLimit;
    if (Number(request.headers['content-length'] ?? 0) > limit) return Err(tooLarge(limit));
    const reading = readBody(request, limit).then(
      (body): Outcome<Buffer, Refusal> => Ok(body),
      (error: Error): Outcome<Buffer, Refusal> =>
        Err(error instanceof RangeError ? tooLarge(limit) : HALF_SENT),
    );
    const late: Outcome<Buffer, Refusal> = Err(TOO_SLOW);
    return withTimeout(clock, settings.requestTimeout, reading, late);
  }

  return {
    listen: () => listen(server, settings.callersAddress),
    open: () => open,
    close: () =>
      new Promise((resolve) => {
        // A connection whose request began before the drain goes idle only after its answer.
        const sweep = setInterval(() => server.closeIdleConnections(), IDLE_SWEEP_MS);
        server.close(() => {
          clearInterval(sweep);
          resolve();
        });
      }),
  };
}

function isIdempotentMethod(work: Work): boolean {
  return work.kind === 'chat' || IDEMPOTENT_METHODS.has(work.call.method);
}

function createServiceWork(
  request: IncomingMessage,
  service: Service,
  path: string,
  body: Buffer,
): Work {
  const headers = Object.entries(request.headers)
    .filter(([name, value]) => value !== undefined && !PRIVATE_HEADERS.has(name))
    .map(([name, value]): [string, string] => [name, String(value)]);
  return {
    kind: 'call',
    call: {
      service: service.name,
      method: request.method ?? 'GET',
      path,
      headers: Object.fromEntries(headers),
      body,
      tokens: service.tokensPerCall,
    },
  };
}

function listModels(configuration: Configuration) {
  const data = configuration.pools.map((pool) => ({
    id: pool.model,
    object: 'model',
    created: 0,
    owned_by: 'pomeloroad',
  }));
  return { object: 'list', data };
}

function tooLarge(limit: number): Refusal {
  return createRefusal('body_too_large', 'no', `The body is larger than ${limit} bytes.`);
}

// Another instance may have run an earlier attempt under the same key.
function refuseNotReady({ headers }: IncomingMessage): Refusal {
  const ran = headers[CallerHeader.key] === undefined ? 'no' : 'unknown';
  const message = 'The instance has no configuration yet.';
  return createRefusal('not_ready', ran, message, NOT_READY_RETRY_MS);
}

const UNAUTHORIZED = createRefusal('unauthorized', 'no', 'Present a known key as a bearer token.');
const METHOD_NOT_ALLOWED = createRefusal('method_not_allowed', 'no', 'This method is not allowed.');
const FOREIGN_KEY = createRefusal('forbidden', 'no', 'The key was issued to another account.');
const HALF_SENT = createRefusal('invalid_request', 'no', 'The request was not sent to its end.');
const TOO_SLOW = createRefusal('request_timeout', 'no', 'The request took too long to be sent.');
