import http from 'node:http';
import { openPlainCaller, parseAnswers } from '@pomeloroad/standins';
import { ACCOUNT_KEY, createChatBody, startHarness, waitFor } from './harness';
import type { Harness } from './harness';

const CHAT_PATH = '/v1/chat/completions';
const HOST = 'Host: a.example\r\n';
const LARGE = 'x'.repeat(150_000);
const POST = `POST ${CHAT_PATH} HTTP/1.1\r\n${HOST}Authorization: Bearer ${ACCOUNT_KEY}\r\n`;
const CHUNKED = `${POST}Transfer-Encoding: chunked\r\n\r\n`;
const GET = `GET /v1/models HTTP/1.1\r\n${HOST}Authorization: Bearer ${ACCOUNT_KEY}\r\n\r\n`;
/** Milliseconds that the engine takes for each token. */
const STEP = 10;

/** What can't be served, and the status of its refusal, after which the connection closes. */
const REFUSED: [string, string, number][] = [
  ['bytes that are no request', 'no request\r\n\r\n', 400],
  ['a head above the limit', `GET / HTTP/1.1\r\n${HOST}X-A: ${LARGE}\r\n\r\n`, 431],
  ['two lengths', `${POST}Content-Length: 1\r\nContent-Length: 2\r\n\r\nab`, 400],
  ['an unreadable chunk size', `${CHUNKED}zz\r\nab\r\n0\r\n\r\n`, 400],
  [
    'chunks above the limit',
    `${CHUNKED}${LARGE.length.toString(16)}\r\n${LARGE}\r\n0\r\n\r\n`,
    413,
  ],
  ['a tunnel', 'CONNECT a.example:80 HTTP/1.1\r\nHost: a.example\r\n\r\n', 400],
  ['no host', 'GET / HTTP/1.1\r\n\r\n', 400],
];

let harness: Harness;

beforeAll(async () => {
  harness = await startHarness(STEP, { 'body-limit': '100000' });
  const topUp = { budget: 'dispatch/routes', id: 'a', tokens: 1e6 };
  await harness.callAsOperator('POST', '/v1/topups', topUp);
});

afterAll(() => harness.close());

function createChat(content: string, extra: object = {}): string {
  const body = JSON.stringify(createChatBody(content, extra));
  return `${POST}Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`;
}

async function readRecords(): Promise<{ request: string; tokens: number }[]> {
  return (await harness.callAsOperator('GET', '/v1/usage')).json.records;
}

async function countOpen(): Promise<number> {
  return (await harness.callAsOperator('GET', '/dump')).json.requests.open;
}

test.each(REFUSED)(
  'a running request is answered before %s behind it and billed once',
  async (name, bytes, status) => {
    const before = (await readRecords()).length;
    const caller = openPlainCaller(harness.instance.callersAddress);
    caller.socket.write(createChat(name));
    await waitFor(countOpen, (open) => open === 1);
    caller.socket.write(bytes);
    expect(await caller.closed).toBe(true);
    const answers = parseAnswers(caller.text());
    expect(answers.map((answer) => answer.status)).toEqual([200, status]);
    const { id, usage } = JSON.parse(answers[0]!.body);
    const isOwn = ({ request }: { request: string }) => `chatcmpl-${request}` === id;
    const records = await waitFor(readRecords, (all) => all.some(isOwn));
    expect(records.filter(isOwn)).toMatchObject([{ tokens: usage.total_tokens }]);
    expect(records).toHaveLength(before + 1);
    await waitFor(countOpen, (open) => open === 0);
  },
);

test.each(REFUSED)('a stream goes on to its end before %s', async (name, bytes, status) => {
  const caller = openPlainCaller(harness.instance.callersAddress);
  caller.socket.write(createChat(`stream ${name}`, { stream: true }));
  await waitFor(
    async () => caller.text(),
    (text) => text.includes('data: '),
  );
  caller.socket.write(bytes);
  expect(await caller.closed).toBe(true);
  const [first, second] = parseAnswers(caller.text());
  expect(first).toMatchObject({ status: 200, isWhole: true });
  expect(first!.body).toMatch(/data: \[DONE\]\n\n$/);
  expect(second).toMatchObject({ status, isWhole: true });
});

// Guards against a response that is waited for although its request has lost its connection.
test.each(REFUSED)('%s alone are refused once', async (_, bytes, status) => {
  const caller = openPlainCaller(harness.instance.callersAddress);
  caller.socket.write(bytes);
  await caller.closed;
  expect(parseAnswers(caller.text())).toMatchObject([{ status, isWhole: true }]);
  await waitFor(countOpen, (open) => open === 0);
});

test('requests in one write with unreadable bytes are all answered', async () => {
  const caller = openPlainCaller(harness.instance.callersAddress);
  caller.socket.write(`${createChat('one')}${GET}${createChat('two')}no request\r\n\r\n${GET}`);
  expect(await caller.closed).toBe(true);
  const statuses = parseAnswers(caller.text()).map(({ status }) => status);
  expect(statuses).toEqual([200, 200, 200, 400]);
});

// Guards against a drain that closes a connection after the first of the requests that run on it.
test('a drain answers all requests of a connection', async () => {
  const other = await startHarness(STEP);
  const topUp = { budget: 'dispatch/routes', id: 'a', tokens: 1e6 };
  await other.callAsOperator('POST', '/v1/topups', topUp);
  const caller = openPlainCaller(other.instance.callersAddress);
  const open = async () => (await other.callAsOperator('GET', '/dump')).json.requests.open;
  caller.socket.write(createChat('one') + createChat('two'));
  await waitFor(open, (count) => count === 2);
  await other.close();
  await caller.closed;
  const statuses = parseAnswers(caller.text()).map(({ status }) => status);
  expect(statuses).toEqual([200, 200]);
});

test('the connection is kept after an answer without a body to read', async () => {
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  const ask = () =>
    new Promise<boolean>((resolve) => {
      const url = `http://${harness.instance.callersAddress}/v1/models`;
      const headers = { authorization: `Bearer ${ACCOUNT_KEY}` };
      const request = http.get(url, { agent, headers }, (response) => {
        response.resume().on('end', () => resolve(request.reusedSocket));
      });
    });
  expect([await ask(), await ask()]).toEqual([false, true]);
  agent.destroy();
});
