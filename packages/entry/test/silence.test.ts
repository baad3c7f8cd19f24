import { createChatBody, startHarness } from './harness';
import type { Harness } from './harness';

const STALL_TIMEOUT_MS = 100;
/** The engine is silent for this time before each answer, and then goes on. */
const SILENCE_MS = 300;

let harness: Harness | undefined;

afterEach(() => harness?.close());

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
