import http from 'node:http';
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { watchClose } from '@pomeloroad/core';
import { ACCOUNT_KEY, startHarness } from './harness';
import type { Harness } from './harness';

const HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n';
/** Starts of an answer, and what is sent before its connection is closed in order. */
const BY_CLOSE = { start: `${HEAD}\r\ntext`, end: '' };
const IN_CHUNKS = {
  start: `${HEAD}Transfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n`,
  end: '0\r\n\r\n',
};

let harness: Harness | undefined;

afterEach(() => harness?.close());

/** What a service does while its answer is open. */
type Act = (service: http.Server, harness: Harness) => Promise<void>;

// Returns the body that a caller gets of an answer that the service then ends and closes in order, and whether
// the caller's answer ends in order too.
async function ask(
  act: Act,
  { start, end } = BY_CLOSE,
): Promise<{ body: string; isClosedProperly: boolean }> {
  let open: ((socket: Socket) => void) | undefined;
  const opened = new Promise<Socket>((resolve) => {
    open = resolve;
  });
  const service = http.createServer((request) => {
    request.socket.write(start);
    open?.(request.socket);
  });
  const started = await startHarness(1, {}, { service });
  harness = started;
  const topUp = { budget: 'dispatch/routes', id: 'a', tokens: 1e6 };
  await started.callAsOperator('POST', '/v1/topups', topUp);
  const answer = readAnswer(`http://${started.instance.callersAddress}/v1/services/boards/x`);
  const socket = await opened;
  await act(service, started);
  socket.end(end);
  return answer;
}

async function readAnswer(url: string): Promise<{ body: string; isClosedProperly: boolean }> {
  const headers = { authorization: `Bearer ${ACCOUNT_KEY}` };
  const response = await new Promise<IncomingMessage>((resolve, reject) => {
    http.get(url, { headers, agent: false }, resolve).on('error', reject);
  });
  const isClosedProperly = watchClose(response);
  let body = '';
  try {
    for await (const chunk of response) body += String(chunk);
  } catch {
    return { body, isClosedProperly: false };
  }
  // A last chunk states the end by itself.
  const isStated = response.headers['transfer-encoding'] === 'chunked' && response.complete;
  return { body, isClosedProperly: isStated || (await isClosedProperly()) };
}

test('an answer without a length that a dead service closed does not look complete', async () => {
  const answer = await ask(async (service) => {
    service.close();
  });
  expect(answer.isClosedProperly).toBe(false);
});

test('an answer without a length of a service that goes on is passed on', async () => {
  expect(await ask(async () => undefined)).toEqual({ body: 'text', isClosedProperly: true });
});

test('an answer without a length of a service that is drained and stops is passed on', async () => {
  const answer = await ask(async (service, { callAsOperator }) => {
    await callAsOperator('POST', '/v1/drains', { endpoint: 'b', isDraining: true });
    service.close();
  });
  expect(answer).toEqual({ body: 'text', isClosedProperly: true });
});

test('an answer in chunks that a dead service ended does not look complete', async () => {
  const answer = await ask(async (service) => {
    service.close();
  }, IN_CHUNKS);
  expect(answer.isClosedProperly).toBe(false);
});

test('an answer in chunks of a service that goes on is passed on', async () => {
  const answer = await ask(async () => undefined, IN_CHUNKS);
  expect(answer).toEqual({ body: 'text', isClosedProperly: true });
});
