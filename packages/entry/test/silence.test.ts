import http from 'node:http';
import { createChatBody, startHarness } from './harness';
import type { Harness } from './harness';

const STALL_TIMEOUT_MS = 100;
/** The engine is silent for this time before each answer, and then goes on. */
const SILENCE_MS = 300;

let harness: Harness | undefined;

afterEach(() => harness?.close());

/** Longer than the silence after which an endpoint counts as stalled. */
const BUSY_MS = 1000;

async function sleep(delay: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, delay);
  });
}

async function isFailing(endpoint: string): Promise<boolean> {
  const { endpoints } = (await harness!.callAsOperator('GET', '/dump')).json;
  const found = (view: { endpoint: { name: string } }) => view.endpoint.name === endpoint;
  return endpoints.find(found).isFailing;
}

// A service that sends its answer in parts.
function createSlowService(): http.Server {
  return http.createServer(async (_request, response) => {
    for (let sent = 0; sent < BUSY_MS * 2; sent += 100) {
      response.write('part');
      await sleep(100);
    }
    response.end();
  });
}

async function topUp(): Promise<void> {
  const topUpRequest = { budget: 'dispatch/routes', id: 'a', tokens: 100_000 };
  await harness!.callAsOperator('POST', '/v1/topups', topUpRequest);
}

async function setLatency(latency: number): Promise<void> {
  const body = JSON.stringify({ latency });
  await fetch(`${harness!.engineUrl}/standin/faults`, { method: 'PUT', body });
}

test('a chat is answered whole by an engine that falls silent before its head and goes on', async () => {
  const flags = { 'stall-timeout': String(STALL_TIMEOUT_MS), 'first-byte-timeout': '2000' };
  harness = await startHarness(1, flags);
  await topUp();
  await setLatency(SILENCE_MS);
  const reply = await harness.call('POST', '/v1/chat/completions', createChatBody('x'));
  await setLatency(0);
  expect(reply).toMatchObject({ status: 200 });
});

test('an engine that sends events all the time does not count as failing', async () => {
  harness = await startHarness(100);
  await topUp();
  const body = createChatBody('x'.repeat(200), { stream: true });
  const answered = harness.call('POST', '/v1/chat/completions', body);
  await sleep(BUSY_MS);
  expect(await isFailing('e')).toBe(false);
  expect((await answered).status).toBe(200);
});

test('a service that sends parts all the time does not count as failing', async () => {
  harness = await startHarness(1, {}, { service: createSlowService() });
  await topUp();
  const answered = harness.call('GET', '/v1/services/boards/x');
  await sleep(BUSY_MS);
  expect(await isFailing('b')).toBe(false);
  expect((await answered).status).toBe(200);
});
