import http from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { createChatBody, startHarness } from './harness';
import type { Harness } from './harness';

const CHAT_PATH = '/v1/chat/completions';
/** Events of the stream before its end. */
const TEXTS = ['a', 'b', 'c'];
const TOKENS = TEXTS.length;
const USAGE = { prompt_tokens: 1, completion_tokens: TOKENS };
const LOAD = { running: 0, queued: 0, state: 'live' };
const STOPPED = { state: 'finished', ...USAGE };

/** What an engine sends on one connection: whole events, and then the last chunk or a reset. */
interface Connection {
  events: string[];
  isReset?: boolean;
}

const text = (index: number, finish: string | null = null) => {
  const choice = { delta: { content: TEXTS[index] }, finish_reason: finish };
  return `id: ${index}\ndata: ${JSON.stringify({ choices: [choice] })}\n\n`;
};
const end = (finish: string | null = 'stop', id = `id: ${TOKENS}\n`) => {
  const choices = [{ delta: {}, finish_reason: finish }];
  return `${id}data: ${JSON.stringify({ choices, usage: USAGE })}\n\ndata: [DONE]\n\n`;
};
const WHOLE = [...TEXTS.map((_, index) => text(index)), end()];

let harness: Harness | undefined;

afterEach(() => harness?.close());

function send(response: ServerResponse, { events, isReset = false }: Connection): void {
  response.writeHead(200, { 'content-type': 'text/event-stream' });
  if (!isReset) response.end(events.join(''));
  else response.write(events.join(''), () => response.destroy());
}

// An engine that answers the first connection of a stream, and all later ones alike.
function createEngine(first: Connection, later: Connection): http.Server {
  let isFirst = true;
  return http.createServer((request: IncomingMessage, response: ServerResponse) => {
    request.resume();
    if (request.url === '/v1/load') response.end(JSON.stringify(LOAD));
    else if (request.method === 'DELETE') response.end(JSON.stringify(STOPPED));
    else {
      send(response, isFirst ? first : later);
      isFirst = false;
    }
  });
}

// Returns the text that a caller gets, whether it ends as whole, and its finish reason.
async function ask(first: Connection, later: Connection = first) {
  const engine = createEngine(first, later);
  harness = await startHarness(
    1,
    { 'between-timeout': '500', 'first-byte-timeout': '500' },
    { engine },
  );
  const topUp = { budget: 'dispatch/routes', id: 'a', tokens: 1e6 };
  await harness.callAsOperator('POST', '/v1/topups', topUp);
  const reply = await harness.call('POST', CHAT_PATH, createChatBody('x', { stream: true }));
  const texts = [...reply.text.matchAll(/"content":"(\w*)"/g)].map(([, content]) => content);
  const [, finish] = /"finish_reason":"(\w+)"/.exec(reply.text) ?? [];
  return { text: texts.join(''), isWhole: reply.text.includes('[DONE]'), finish };
}

test('a resumption that states the end without the rest does not complete an answer', async () => {
  const answer = await ask({ events: WHOLE.slice(0, 1), isReset: true }, { events: [end()] });
  expect(answer).toMatchObject({ text: 'a', isWhole: false });
});

test('a resumption that leaves out an event does not complete an answer', async () => {
  const first = { events: WHOLE.slice(0, 1), isReset: true };
  const answer = await ask(first, { events: WHOLE.slice(2) });
  expect(answer).toMatchObject({ text: 'a', isWhole: false });
});

test('a resumption whose end has no number does not complete an answer by itself', async () => {
  const first = { events: WHOLE.slice(0, 1), isReset: true };
  const answer = await ask(first, { events: [end('stop', '')] });
  expect(answer).toMatchObject({ text: 'a', isWhole: false });
});

test('a resumption that brings the rest completes an answer', async () => {
  const answer = await ask(
    { events: WHOLE.slice(0, 1), isReset: true },
    { events: WHOLE.slice(1) },
  );
  expect(answer).toMatchObject({ text: 'abc', isWhole: true });
});

test('a resumption that states the end completes an answer of which only that was missing', async () => {
  const answer = await ask({ events: WHOLE.slice(0, 3), isReset: true }, { events: [end()] });
  expect(answer).toMatchObject({ text: 'abc', isWhole: true });
});

test('a stream that lacks its first event is not whole', async () => {
  expect(await ask({ events: WHOLE.slice(1) })).toMatchObject({ text: '', isWhole: false });
});

test('a stream with an event that can not be read is not whole', async () => {
  const events = [text(0), 'id: 1\ndata: {"choices":[{"delta"\n\n', ...WHOLE.slice(2)];
  expect(await ask({ events })).toMatchObject({ text: 'a', isWhole: false });
});

test('a stream whose events have no numbers is not whole', async () => {
  const events = WHOLE.map((event) => event.replace(/^id: \d+\n/, ''));
  expect((await ask({ events })).isWhole).toBe(false);
});

test('a stream with numbered events without a text, also after its end, is whole', async () => {
  const [first = '', second = ''] = WHOLE;
  const empty = second.replace('"b"', '""');
  const done = end().replace('data: [DONE]', `id: ${TOKENS + 1}\ndata: [DONE]`);
  const answer = await ask({ events: [first, empty, text(2), done] });
  expect(answer).toMatchObject({ text: 'ac', isWhole: true });
});

test.each(['abort', 'error', null])(
  'a stream that its engine stops with its usage and the reason %s is not whole',
  async (finish) => {
    const answer = await ask({ events: [text(0), end(finish, 'id: 1\n')] });
    expect(answer).toMatchObject({ text: 'a', isWhole: false });
  },
);

test('the reason that an engine states before its usage is passed on', async () => {
  const events = [text(0), text(1), text(2, 'length'), end(null)];
  expect(await ask({ events })).toEqual({ text: 'abc', isWhole: true, finish: 'length' });
});

test('a reason that came before a resumption is passed on', async () => {
  const first = { events: [text(0), text(1), text(2, 'length')], isReset: true };
  const answer = await ask(first, { events: [end(null)] });
  expect(answer).toEqual({ text: 'abc', isWhole: true, finish: 'length' });
});
