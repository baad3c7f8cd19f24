import type { IncomingMessage, ServerResponse } from 'node:http';
import { closeAfter, createId, hashText, writeJson } from '@pomeloroad/core';
import type { Clock, Identity } from '@pomeloroad/core';
import { hasBudget } from '@pomeloroad/configuration';
import type { Configuration } from '@pomeloroad/configuration';
import { createRefusal, issueKey, parseIssuedKey } from '@pomeloroad/requests';
import type { Refusal } from '@pomeloroad/requests';
import type { AnswerOpener } from './answerOpener';
import { writeRefusal } from './answerWriter';
import { deliverAnswer } from './deliverAnswer';
import { receiveBody } from './callerBody';
import { CallerHeader, parseCallerHeaders } from './callerHeaders';
import { createRunRequest } from './callerRequest';
import type { CallerRequest, Exchange } from './callerRequest';
import { parseChatRequest } from './chatRequest';
import { createKeyIndex } from './credentials';
import type { KeyIndex } from './credentials';
import type { InstanceMetrics } from './instanceMetrics';
import { createReopen } from './reopen';
import type { Work } from './runRequest';
import { createServiceCall, findService, hashServiceCall, parseServiceUrl } from './serviceRequest';
import type { ServiceTarget } from './serviceRequest';
import type { Settings } from './settings';

const NOT_READY_RETRY_AFTER_MS = 1000;

/** Dependencies of answering callers' requests. */
export interface CallerHandlerHost {
  clock: Clock;
  self: Identity;
  settings: Settings;
  opener: AnswerOpener;
  metrics: InstanceMetrics;
  getConfiguration(): Configuration | undefined;
  isDraining(): boolean;
}

/** Answers one request of a caller; resolves once the answer is written. */
export type CallerHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

/** Creates the handler of all paths that callers use. */
export function createCallerHandler(host: CallerHandlerHost): CallerHandler {
  const { clock, self, settings, metrics } = host;
  let cachedIndex: { configuration: Configuration; keys: KeyIndex } | undefined;

  function getKeys(configuration: Configuration): KeyIndex {
    if (cachedIndex?.configuration !== configuration) {
      cachedIndex = { configuration, keys: createKeyIndex(configuration) };
    }
    return cachedIndex.keys;
  }

  async function handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const id = createId();
    const startedAt = clock.elapsed();
    const refusal = await serve(request, response, id);
    if (refusal) {
      metrics.refused(refusal.code);
      closeAfterDrain(response);
      writeRefusal(response, id, refusal);
    }
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
      closeAfterDrain(response);
      writeJson(response, 200, listModels(configuration));
      return undefined;
    }
    if (path === '/v1/idempotency-keys') {
      if (method !== 'POST') return METHOD_NOT_ALLOWED;
      const key = issueKey(settings.fleetKey, self, credentials.account.name);
      closeAfterDrain(response);
      writeJson(response, 201, { key });
      return undefined;
    }
    const target = parseServiceUrl(url);
    if (target) return serveService(exchange, target);
    return createRefusal('not_found', 'no', `There is nothing at ${path}.`);
  }

  async function serveChat(exchange: Exchange): Promise<Refusal | undefined> {
    const { request, response } = exchange;
    const headers = parseCallerHeaders(request.headers, settings);
    if (headers.err) return headers.val;
    const body = await receiveBody(clock, settings, request, response);
    if (body.err) return body.val;
    const text = body.val.toString('utf8');
    const chat = parseChatRequest(exchange.configuration, text);
    if (chat.err) return chat.val;
    const form = chat.val.isStreamed ? 'events' : 'json';
    const digest = hashText(JSON.stringify(Object.entries(chat.val.body).sort()));
    const work: Work = { kind: 'chat', chat: chat.val };
    return run(exchange, { options: headers.val, work, digest, form });
  }

  async function serveService(
    exchange: Exchange,
    target: ServiceTarget,
  ): Promise<Refusal | undefined> {
    const { request, response, configuration } = exchange;
    const service = findService(configuration, target.name);
    if (service.err) return service.val;
    const headers = parseCallerHeaders(request.headers, settings);
    if (headers.err) return headers.val;
    const body = await receiveBody(clock, settings, request, response);
    if (body.err) return body.val;
    const call = createServiceCall(request, service.val, target, body.val);
    const digest = hashServiceCall(call, target);
    const work: Work = { kind: 'call', call };
    return run(exchange, { options: headers.val, work, digest, form: 'service' });
  }

  async function run(exchange: Exchange, asked: CallerRequest): Promise<Refusal | undefined> {
    const { id, response, credentials } = exchange;
    const { options, work, form } = asked;
    const { account, key } = credentials;
    const budget = options.budget ?? key.budget;
    if (!hasBudget(account, budget)) {
      return createRefusal('forbidden', 'no', `The account has no budget "${budget}".`);
    }
    const issued = options.key ? parseIssuedKey(settings.fleetKey, options.key) : undefined;
    if (issued && issued.account !== account.name) return KEY_OF_OTHER_ACCOUNT;
    const request = createRunRequest(exchange, asked, budget, issued);
    const source = await host.opener.open(request, issued);
    if ('code' in source) return source;
    const model = work.kind === 'chat' ? work.chat.model : work.call.service;
    const { writeTimeout } = settings;
    const { from } = options;
    const delivery = { form, request: id, model, from, createdAt: clock.now(), writeTimeout };
    closeAfterDrain(response);
    await deliverAnswer(response, delivery, source, createReopen(host, request, issued));
    return undefined;
  }

  // Decided as late as possible: requests that have come behind it by then are answered too.
  function closeAfterDrain(response: ServerResponse): void {
    if (host.isDraining()) closeAfter(response);
  }

  return handle;
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

// With a key, it is unknown whether another instance has run an earlier attempt under the same key.
function refuseNotReady({ headers }: IncomingMessage): Refusal {
  const ran = headers[CallerHeader.key] === undefined ? 'no' : 'unknown';
  const message = 'The instance has no configuration yet.';
  return createRefusal('not_ready', ran, message, NOT_READY_RETRY_AFTER_MS);
}

const UNAUTHORIZED = createRefusal('unauthorized', 'no', 'Present a known key as a bearer token.');
const METHOD_NOT_ALLOWED = createRefusal('method_not_allowed', 'no', 'This method is not allowed.');
const KEY_OF_OTHER_ACCOUNT = createRefusal(
  'forbidden',
  'no',
  'The key was issued to another account.',
);
