import type http from 'node:http';
import { callHttp, createSystemClock, hashText, listen } from '@pomeloroad/core';
import { createModelEngine, createPlainService, startPlatform } from '@pomeloroad/standins';
import { parseSettings, startInstance } from '../src';
import type { Instance } from '../src';

const FREE_PORT = '127.0.0.1:0';
const TIMEOUT_MS = 20_000;

export const ACCOUNT_KEY = 'pk-tests';
export const OPERATOR_KEY = 'operator-of-the-tests';

/** An instance, its platform, an engine and a plain service, all in this process. */
export interface Harness {
  instance: Instance;
  engineUrl: string;
  serviceUrl: string;
  /** Sends a request of the client account. */
  call(method: string, path: string, body?: unknown, headers?: object): Promise<Reply>;
  /** Sends a request of an operator. */
  callAsOperator(method: string, path: string, body?: unknown): Promise<Reply>;
  /** Drains the instance and stops the stand-ins. */
  close(): Promise<void>;
}

/** An HTTP response; `json` is undefined if the body is not JSON. */
export interface Reply {
  status: number;
  headers: http.IncomingHttpHeaders;
  text: string;
  json: any;
}

/** Servers of a test in place of the stand-ins. */
export interface TestServers {
  engine?: http.Server;
  service?: http.Server;
}

/** Starts an instance and its stand-ins; the engine takes `step` ms for each token. */
export async function startHarness(
  step = 1,
  flags: Record<string, string> = {},
  servers: TestServers = {},
): Promise<Harness> {
  const platform = await startPlatform(
    { table: FREE_PORT, objects: FREE_PORT, membership: FREE_PORT },
    1,
    { lag: 0, expiry: 60_000 },
  );
  const speed = { slots: 8, step, prefillRate: 1000, resumeWindow: 500 };
  const options = { ...speed, cacheBlocks: 8, loadLag: 50, eventLag: 0, seed: 1 };
  const engine =
    servers.engine ?? createModelEngine(createSystemClock(), { ...options, checksFencing: true });
  const service = servers.service ?? createPlainService(1);
  const engineAddress = await listen(engine, FREE_PORT);
  const serviceAddress = await listen(service, FREE_PORT);
  const settings = parseSettings(
    {
      instance: 'tested',
      'data-centre': 'kent',
      'callers-address': FREE_PORT,
      'peers-address': FREE_PORT,
      'operators-address': FREE_PORT,
      'table-url': `http://${platform.addresses.table}`,
      'objects-url': `http://${platform.addresses.objects}`,
      'membership-url': `http://${platform.addresses.membership}`,
      'fleet-key': 'fleet-key-of-the-tests',
      'operator-key': OPERATOR_KEY,
      'settle-interval': '20',
      'drain-notice': '0',
      'log-level': 'error',
      ...flags,
    },
    {},
  );
  const instance = await startInstance(settings.unwrap());
  const harness: Harness = {
    instance,
    engineUrl: `http://${engineAddress}`,
    serviceUrl: `http://${serviceAddress}`,
    call: (method, path, body, headers = {}) =>
      send(`http://${instance.callersAddress}${path}`, method, ACCOUNT_KEY, body, headers),
    callAsOperator: (method, path, body) =>
      send(`http://${instance.operatorsAddress}${path}`, method, OPERATOR_KEY, body),
    async close() {
      await instance.drain();
      platform.close();
      [engine, service].forEach((server) => {
        server.close();
        server.closeAllConnections();
      });
    },
  };
  await harness.callAsOperator(
    'PUT',
    '/v1/configuration',
    createConfigurationText(engineAddress, serviceAddress),
  );
  return harness;
}

function createConfigurationText(engine: string, service: string): string {
  const base = 'dataCentre: kent';
  return `
accounts:
  - name: dispatch
    budgets: [routes, small]
    keys: [{ name: k, hash: ${hashText(ACCOUNT_KEY)}, budget: routes }]
pools: [{ model: planner, defaultOutputTokens: 32 }]
services: [{ name: boards, tokensPerCall: 5 }]
endpoints:
  - { name: e, kind: engine, ${base}, address: ${engine}, models: [planner] }
  - { name: b, kind: service, ${base}, address: ${service}, service: boards }
`;
}

async function send(
  url: string,
  method: string,
  key: string,
  body: unknown,
  headers: object = {},
): Promise<Reply> {
  const text = typeof body === 'string' || body === undefined ? body : JSON.stringify(body);
  const answer = await callHttp({
    method,
    url,
    headers: { authorization: `Bearer ${key}`, ...headers },
    body: text,
    timeout: TIMEOUT_MS,
  });
  const value = answer.unwrap();
  const content = value.body.toString();
  return { status: value.status, headers: value.headers, text: content, json: tryParse(content) };
}

function tryParse(text: string): any {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** Creates the body of a chat request for the model of the tests. */
export function createChatBody(content: string, extra: object = {}) {
  return { model: 'planner', messages: [{ role: 'user', content }], ...extra };
}

/** Polls `read` until its value satisfies `test`; throws if it does not within 20 s. */
export async function waitFor<T>(read: () => Promise<T>, test: (value: T) => boolean): Promise<T> {
  const deadline = Date.now() + TIMEOUT_MS;
  let value = await read();
  while (!test(value)) {
    if (Date.now() > deadline)
      throw new Error(`condition not met in time: ${JSON.stringify(value)}`);
    await new Promise((resolve) => {
      setTimeout(resolve, 10);
    });
    value = await read();
  }
  return value;
}
