import http from 'node:http';
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { watchClose } from '@pomeloroad/core';
import { ACCOUNT_KEY, startHarness } from './harness';
import type { Harness } from './harness';

const HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n';

let harness: Harness | undefined;

afterEach(() => harness?.close());

/** What a service does while its answer without a length is open. */
type Act = (service: http.Server, harness: Harness) => Promise<void>;

// Returns the body that a caller gets of an answer that the service then closes in order, and whether
// the caller's connection is closed in order too.
async function ask(act: Act): Promise<{ body: string; isClosedProperly: boolean }> {
  let open: ((socket: Socket) => void) | undefined;
  const opened = new Promise<Socket>((resolve) => {
    open = resolve;
  });
  const service = http.createServer((request) => {
    request.socket.write(`${HEAD}text`);
    open?.(request.socket);
  });
  const started = await startHarness(1, {}, { service });
  harness = started;
  const topUp = { budget: 'dispatch/routes', id: 'a', tokens: 1e6 };
  await started.callAsOperator('POST', '/v1/topups', topUp);
  const answer = readAnswer(`http://${started.instance.callersAddress}/v1/services/boards/x`);
  const socket = await opened;
  await act(service, started);
  socket.end();
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
  return { body, isClosedProperly: await isClosedProperly() };
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
