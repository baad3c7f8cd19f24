import http from 'node:http';
import type { IncomingMessage } from 'node:http';
import { getResponseFraming, watchClose } from '@pomeloroad/core';
import { ACCOUNT_KEY, startHarness } from './harness';
import type { Harness } from './harness';

/** How a service ends its connection after an answer without a length. */
type ServiceEnd = 'close' | 'reset' | 'reset with the data';

/** What a caller received. `error` is set if the answer broke off. */
interface Received {
  headers: http.IncomingHttpHeaders;
  body: string;
  error?: string;
}

const HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n';
const RESET_DELAY_MS = 50;

let harness: Harness;
let end: ServiceEnd = 'close';
let runs = 0;

const service = http.createServer((request, response) => {
  runs += 1;
  if (request.method === 'HEAD' || request.url === '/empty') {
    response.writeHead(request.method === 'HEAD' ? 200 : 204).end();
    return;
  }
  if (request.url === '/chunks') {
    response.write('half');
    setTimeout(() => request.socket.end(), RESET_DELAY_MS);
    return;
  }
  request.socket.write(`${HEAD}text`);
  if (end === 'close') request.socket.end();
  else if (end === 'reset') setTimeout(() => request.socket.resetAndDestroy(), RESET_DELAY_MS);
  else request.socket.resetAndDestroy();
});

beforeAll(async () => {
  harness = await startHarness(1, {}, { service });
  await harness.callAsOperator('POST', '/v1/topups', {
    budget: 'dispatch/routes',
    id: 'a',
    tokens: 1e6,
  });
});

afterAll(() => harness.close());

function send(path: string, headers: object = {}, method = 'GET'): Promise<Received> {
  const url = `http://${harness.instance.callersAddress}/v1/services/boards${path}`;
  const allHeaders = {
    connection: 'keep-alive',
    authorization: `Bearer ${ACCOUNT_KEY}`,
    ...headers,
  };
  return new Promise((resolve) => {
    const fail = (error: Error) => resolve({ headers: {}, body: '', error: error.message });
    const listener = (response: IncomingMessage) =>
      readResponse(response, method).then(resolve, fail);
    const request = http.request(url, { method, headers: allHeaders, agent: false }, listener);
    request.on('error', fail);
    request.end();
  });
}

async function readResponse(response: IncomingMessage, method: string): Promise<Received> {
  const endsWithConnection = getResponseFraming(response, method) === 'close';
  const isClosedProperly = watchClose(response);
  const { headers } = response;
  let body = '';
  try {
    for await (const chunk of response) body += String(chunk);
    if (!endsWithConnection || (await isClosedProperly())) return { headers, body };
    return { headers, body, error: 'connection reset' };
  } catch (error) {
    return { headers, body, error: (error as Error).message };
  }
}

test('an answer that only the end of its connection ends is not stated to be whole', async () => {
  end = 'close';
  const received = await send('/plain');
  expect(received.body).toBe('text');
  expect(received.headers).toMatchObject({ connection: 'close' });
  expect(received.headers).not.toHaveProperty('transfer-encoding');
  expect(received.headers).not.toHaveProperty('content-length');
});

test('a retained answer without a length is not stated to be whole later', async () => {
  end = 'close';
  const headers = { 'idempotency-key': 'kept' };
  await send('/kept', headers);
  const runsBefore = runs;
  const received = await send('/kept', headers);
  expect(runs).toBe(runsBefore);
  expect(received.body).toBe('text');
  expect(received.headers).not.toHaveProperty('transfer-encoding');
});

test.each<ServiceEnd>(['reset', 'reset with the data'])(
  'an answer without a length whose connection is reset does not look complete: %s',
  async (serviceEnd) => {
    end = serviceEnd;
    expect((await send('/plain', {}, 'POST')).error).toBeDefined();
  },
);

test('an answer in chunks without its last chunk does not look complete', async () => {
  expect((await send('/chunks', {}, 'POST')).error).toBeDefined();
});

test('an answer that has no body keeps its connection', async () => {
  const head = await send('/plain', {}, 'HEAD');
  const empty = await send('/empty');
  expect([head, empty].map(({ headers, error }) => [headers.connection, error])).toEqual([
    ['keep-alive', undefined],
    ['keep-alive', undefined],
  ]);
});

test('an answer of a service is sent from its start whatever last event the caller names', async () => {
  end = 'close';
  const received = await send('/plain', { 'last-event-id': '7' });
  expect(received.headers['content-type']).toBe('text/plain');
  expect(received.body).toBe('text');
});
