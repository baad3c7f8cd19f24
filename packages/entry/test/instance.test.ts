import http from 'node:http';
import net from 'node:net';
import { generateAnswer } from '@pomeloroad/standins';
import { createChatBody, OPERATOR_KEY, ACCOUNT_KEY, startHarness, waitFor } from './harness';
import type { Harness } from './harness';

const CHAT_PATH = '/v1/chat/completions';

let harness: Harness;

beforeAll(async () => {
  harness = await startHarness();
  await harness.callAsOperator('POST', '/v1/topups', {
    budget: 'dispatch/routes',
    id: 'a',
    tokens: 1e6,
  });
  await harness.callAsOperator('POST', '/v1/topups', {
    budget: 'dispatch/small',
    id: 'a',
    tokens: 100,
  });
});

afterAll(() => harness.close());

async function readUsageRecords(): Promise<{ request: string; key?: string; tokens: number }[]> {
  return (await harness.callAsOperator('GET', '/v1/usage')).json.records;
}

function generateExpectedText(content: string, limit = 32): string {
  return generateAnswer([{ role: 'user', content }], limit).tokens.join('');
}

test('a complete answer is billed once', async () => {
  const reply = await harness.call('POST', CHAT_PATH, createChatBody('whole'));
  expect(reply.json.choices[0].message.content).toBe(generateExpectedText('whole'));
  const id = reply.headers['x-request-id'];
  const records = await waitFor(readUsageRecords, (all) => all.some((bill) => bill.request === id));
  const own = records.filter((bill) => bill.request === id);
  expect(own).toHaveLength(1);
  expect(own[0]?.tokens).toBe(reply.json.usage.total_tokens);
});

test('a streamed answer has numbered events and ends with [DONE]', async () => {
  const reply = await harness.call('POST', CHAT_PATH, createChatBody('streamed', { stream: true }));
  expect(reply.headers['content-type']).toBe('text/event-stream');
  expect(reply.text).toMatch(/^id: 0\ndata: /);
  expect(reply.text).toMatch(/data: \[DONE\]\n\n$/);
});

test('a retry reads the same answer and is not billed again', async () => {
  const headers = { 'idempotency-key': 'retry' };
  const body = createChatBody('retried', { stream: true });
  const [first, second] = await Promise.all([
    harness.call('POST', CHAT_PATH, body, headers),
    harness.call('POST', CHAT_PATH, body, headers),
  ]);
  const third = await harness.call('POST', CHAT_PATH, createChatBody('retried'), headers);
  expect(third.json.choices[0].message.content).toBe(generateExpectedText('retried'));
  expect(first.text.length).toBe(second.text.length);
  const hasKey = (bill: { key?: string }) => bill.key === 'retry';
  await waitFor(readUsageRecords, (all) => all.some(hasKey));
  expect((await readUsageRecords()).filter(hasKey)).toHaveLength(1);
});

test('a retry resumes from the event that the caller names', async () => {
  const body = createChatBody('resumed', { stream: true });
  const headers = { 'idempotency-key': 'resumed' };
  const whole = await harness.call('POST', CHAT_PATH, body, headers);
  const retry = { ...headers, 'last-event-id': '2' };
  const reply = await harness.call('POST', CHAT_PATH, body, retry);
  expect(reply.text).toMatch(/^id: 3\n/);
  const toContents = (text: string) => [...text.matchAll(/"content":"[^"]*"/g)].map(String);
  expect(toContents(reply.text)).toEqual(toContents(whole.text).slice(3));
});

test('an answer is not ended as whole for a caller that names an event beyond it', async () => {
  const body = createChatBody('short', { stream: true });
  const headers = { 'idempotency-key': 'short' };
  const whole = await harness.call('POST', CHAT_PATH, body, headers);
  const last = [...whole.text.matchAll(/^id: (\d+)$/gm)].length - 1;
  const ask = (event: number) =>
    harness.call('POST', CHAT_PATH, body, { ...headers, 'last-event-id': String(event) });
  expect((await ask(last)).text).toBe('data: [DONE]\n\n');
  const beyond = await ask(last + 1);
  expect([beyond.status, beyond.json?.error.code]).toEqual([409, 'outcome_unknown']);
});

test.each([
  ['under a key that was not used', { 'idempotency-key': 'unused' }, 409, 'outcome_unknown'],
  ['without a key', {}, 400, 'key_required'],
])('the rest of an answer that nobody has is refused: %s', async (_name, key, status, code) => {
  const body = createChatBody('rest', { stream: true });
  const reply = await harness.call('POST', CHAT_PATH, body, { ...key, 'last-event-id': '2' });
  expect([reply.status, reply.json.error.code]).toEqual([status, code]);
});

test('the bill states that no record of it is missing', async () => {
  expect((await harness.callAsOperator('GET', '/v1/usage')).json.faults).toEqual([]);
});

test('an idempotency key cannot be reused for another body', async () => {
  const headers = { 'idempotency-key': 'one-content' };
  await harness.call('POST', CHAT_PATH, createChatBody('this'), headers);
  const reply = await harness.call('POST', CHAT_PATH, createChatBody('that'), headers);
  expect([reply.status, reply.json.error.code]).toEqual([422, 'key_reused']);
});

test('a non-idempotent call runs once, however often it is sent', async () => {
  const headers = { 'idempotency-key': 'once', 'x-non-idempotent': 'true' };
  const send = () => harness.call('POST', '/v1/services/boards/loads/once', 'x', headers);
  const replies = await Promise.all([send(), send(), send()]);
  replies.push(await send());
  expect(new Set(replies.map((reply) => reply.status))).toEqual(new Set([200]));
  const record = await fetch(`${harness.serviceUrl}/standin/record`).then((r) => r.json());
  const { calls } = record as { calls: { path: string }[] };
  expect(calls.filter((call) => call.path === '/loads/once')).toHaveLength(1);
});

test('a non-idempotent call with an issued key runs once without the table', async () => {
  const { key } = (await harness.call('POST', '/v1/idempotency-keys')).json;
  const headers = { 'idempotency-key': key, 'x-non-idempotent': 'true' };
  const send = () => harness.call('POST', '/v1/services/boards/loads/issued', 'x', headers);
  const statuses = (await Promise.all([send(), send()])).map((reply) => reply.status);
  expect(statuses).toEqual([200, 200]);
  const record = await fetch(`${harness.serviceUrl}/standin/record`).then((r) => r.json());
  const { calls } = record as { calls: { path: string }[] };
  expect(calls.filter((call) => call.path === '/loads/issued')).toHaveLength(1);
});

test.each([
  ['broken JSON', '{', {}, 400, 'invalid_request'],
  ['no messages', { model: 'planner', messages: [] }, {}, 400, 'invalid_request'],
  ['unknown model', { ...createChatBody('x'), model: 'none' }, {}, 404, 'not_found'],
  ['too long an answer', createChatBody('x', { max_tokens: 1e6 }), {}, 400, 'invalid_request'],
  ['too large a body', 'x'.repeat(2 ** 20 + 1), {}, 413, 'body_too_large'],
  ['wrong key', createChatBody('x'), { authorization: 'Bearer no' }, 401, 'unauthorized'],
  ['foreign budget', createChatBody('x'), { 'x-budget': 'other' }, 403, 'forbidden'],
  ['no key', createChatBody('x'), { 'x-non-idempotent': 'true' }, 400, 'key_required'],
  ['bad priority', createChatBody('x'), { 'x-priority': 'top' }, 400, 'invalid_request'],
  [
    'spent budget',
    createChatBody('x', { max_tokens: 99 }),
    { 'x-budget': 'small' },
    402,
    'budget_exhausted',
  ],
])('a request is refused and does not run: %s', async (_name, body, headers, status, code) => {
  const reply = await harness.call('POST', CHAT_PATH, body, headers);
  expect(reply.status).toBe(status);
  expect(reply.json.error).toMatchObject({ code, ran: 'no' });
  expect(reply.json.error.request_id).toBe(reply.headers['x-request-id']);
});

test('a partially sent request keeps no reservation', async () => {
  const [host, port] = harness.instance.callersAddress.split(':');
  const socket = net.connect({ host, port: Number(port) });
  const head = `POST ${CHAT_PATH} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${ACCOUNT_KEY}\r\n`;
  socket.write(`${head}content-length: 100\r\n\r\n{"model"`);
  socket.end();
  const dump = await waitFor(
    async () => (await harness.callAsOperator('GET', '/dump')).json,
    (state) => state.requests.open === 0,
  );
  expect(dump.budgets.every((budget: { reserved: number }) => budget.reserved === 0)).toBe(true);
});

test('a caller that disconnects is billed for the generated tokens', async () => {
  const slow = await startHarness(30);
  await slow.callAsOperator('POST', '/v1/topups', {
    budget: 'dispatch/routes',
    id: 'a',
    tokens: 1e6,
  });
  const request = http.request(`http://${slow.instance.callersAddress}${CHAT_PATH}`, {
    method: 'POST',
    headers: { authorization: `Bearer ${ACCOUNT_KEY}` },
  });
  request.on('error', () => undefined);
  request.on('response', (response) => response.once('data', () => request.destroy()));
  request.end(JSON.stringify(createChatBody('leaves', { stream: true, max_tokens: 500 })));
  const read = async () => (await slow.callAsOperator('GET', '/v1/usage')).json.records;
  const [bill] = await waitFor(read, (records) => records.length > 0);
  const record = await fetch(`${slow.engineUrl}/standin/record`).then((r) => r.json());
  const [stream] = (record as { streams: any[] }).streams;
  expect(stream.state).toBe('cancelled');
  expect(bill.tokens).toBe(stream.promptTokens + stream.completionTokens);
  await slow.close();
});

test('a drain finishes open requests and returns the grants', async () => {
  const slow = await startHarness(20);
  await slow.callAsOperator('POST', '/v1/topups', {
    budget: 'dispatch/routes',
    id: 'a',
    tokens: 1e6,
  });
  const open = slow.call('POST', CHAT_PATH, createChatBody('drained'));
  const dump = async () => (await slow.callAsOperator('GET', '/dump')).json;
  await waitFor(dump, (state) => state.requests.running === 1);
  const drained = slow.instance.drain();
  const ready = await slow.callAsOperator('GET', '/health/ready');
  expect(ready.status).toBe(503);
  expect((await open).json.choices[0].message.content).toBe(generateExpectedText('drained'));
  expect(await drained).toBe(true);
  await slow.close();
});

test('the state dump requires the operator key', async () => {
  const url = `http://${harness.instance.operatorsAddress}/dump`;
  expect((await fetch(url)).status).toBe(401);
  const headers = { authorization: `Bearer ${OPERATOR_KEY}` };
  expect((await fetch(url, { headers })).status).toBe(200);
});

test('metrics are in the text exposition format', async () => {
  const { text } = await harness.callAsOperator('GET', '/metrics');
  expect(text).toMatch(/^# TYPE pomeloroad_requests_total counter$/m);
  expect(text).toMatch(/^pomeloroad_request_duration_milliseconds\{quantile="0.99"\} [\d.]+$/m);
});

test('an invalid configuration is rejected with line and path', async () => {
  const reply = await harness.callAsOperator('PUT', '/v1/configuration', 'pools: [{}]');
  expect(reply.status).toBe(400);
  expect(reply.json.error.faults[0]).toMatchObject({ line: 1, path: 'pools[0].model' });
});

test('applying to an outdated base returns the accepted version', async () => {
  const { text, version } = (await harness.callAsOperator('GET', '/v1/configuration')).json;
  const applied = await harness.callAsOperator(
    'PUT',
    `/v1/configuration?base=${version}`,
    `${text}\n`,
  );
  expect(applied.status).toBe(200);
  const late = await harness.callAsOperator('PUT', `/v1/configuration?base=${version}`, text);
  expect(late.status).toBe(409);
  expect(late.json.error.accepted.version).toBe(applied.json.version);
});

test('the audit accounts for each token', async () => {
  await waitFor(
    async () => (await harness.callAsOperator('GET', '/dump')).json,
    (state) => state.budgets.every((budget: any) => budget.reserved + budget.unsettled === 0),
  );
  const { json } = await harness.callAsOperator('GET', '/v1/audit');
  expect(json.faults).toEqual([]);
});

test('a drain does not wait for idle connections', async () => {
  const slow = await startHarness(20);
  await slow.callAsOperator('POST', '/v1/topups', {
    budget: 'dispatch/routes',
    id: 'a',
    tokens: 1e6,
  });
  const agent = new http.Agent({ keepAlive: true });
  const answered = new Promise<void>((resolve) => {
    const request = http.request(`http://${slow.instance.callersAddress}${CHAT_PATH}`, {
      method: 'POST',
      agent,
      headers: { authorization: `Bearer ${ACCOUNT_KEY}` },
    });
    request.on('response', (response) => response.resume().on('end', resolve));
    request.end(JSON.stringify(createChatBody('kept alive')));
  });
  const dump = async () => (await slow.callAsOperator('GET', '/dump')).json;
  await waitFor(dump, (state) => state.requests.running === 1);
  const drained = slow.instance.drain();
  await answered;
  // The agent keeps the connection open for longer than this test may take.
  expect(await drained).toBe(true);
  agent.destroy();
  await slow.close();
});
