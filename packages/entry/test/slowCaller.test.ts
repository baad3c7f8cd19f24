import http from 'node:http';
import { text } from 'node:stream/consumers';
import { ACCOUNT_KEY, createChatBody, startHarness, waitFor } from './harness';
import type { Harness } from './harness';

/** The answer is larger than the system's buffers of a connection. */
const PIECES = 14;
const PIECE_BYTES = 1_000_000;
/** Time in which the instance hands the answer to the connection. */
const HANDED_OVER_MS = 1000;

let harness: Harness | undefined;

afterEach(() => harness?.close());

// An engine whose answers have a few very long tokens.
function createLargeEngine(): http.Server {
  const piece = 'x'.repeat(PIECE_BYTES);
  return http.createServer((request, response) => {
    if (request.url === '/v1/load') {
      response.end(JSON.stringify({ running: 0, queued: 0, state: 'live' }));
      return;
    }
    const usage = { prompt_tokens: 1, completion_tokens: PIECES };
    const chunks = Array.from({ length: PIECES }, (_, index) => {
      const delta = JSON.stringify({ choices: [{ delta: { content: piece } }] });
      return `id: ${index}\ndata: ${delta}\n\n`;
    });
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    const choices = [{ delta: {}, finish_reason: 'stop' }];
    response.end(`${chunks.join('')}data: ${JSON.stringify({ choices, usage })}\n\n`);
  });
}

// Returns the response of a caller that has read nothing of a large answer yet.
async function startSlowCaller(flags: Record<string, string> = {}): Promise<http.IncomingMessage> {
  harness = await startHarness(1, flags, { engine: createLargeEngine() });
  await harness.callAsOperator('POST', '/v1/topups', {
    budget: 'dispatch/routes',
    id: 'a',
    tokens: 1e6,
  });
  const url = `http://${harness.instance.callersAddress}/v1/chat/completions`;
  const headers = { authorization: `Bearer ${ACCOUNT_KEY}`, connection: 'keep-alive' };
  const response = await new Promise<http.IncomingMessage>((resolve) => {
    const request = http.request(url, { method: 'POST', agent: false, headers }, resolve);
    request.end(JSON.stringify(createChatBody('x')));
  });
  await new Promise((resolve) => {
    setTimeout(resolve, HANDED_OVER_MS);
  });
  return response;
}

async function readOpen(): Promise<number> {
  return (await harness!.callAsOperator('GET', '/dump')).json.requests.open;
}

test('a drain does not cut an answer that a slow caller is still reading', async () => {
  const response = await startSlowCaller();
  expect(await readOpen()).toBe(1);
  const drained = harness!.instance.drain();
  await new Promise((resolve) => {
    setTimeout(resolve, HANDED_OVER_MS);
  });
  expect((await text(response)).length).toBeGreaterThan(PIECES * PIECE_BYTES);
  expect(await drained).toBe(true);
});

test('a drain ends at its limit although a caller reads nothing', async () => {
  const response = await startSlowCaller({ 'drain-timeout': '300' });
  response.on('error', () => undefined);
  expect(await harness!.instance.drain()).toBe(false);
  response.resume();
  await waitFor(async () => response.closed, Boolean);
  expect(response.complete).toBe(false);
});
