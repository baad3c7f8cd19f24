import http from 'node:http';
import { Err, Ok } from 'ts-results';
import { createSystemClock, listen } from '@pomeloroad/core';
import type { AnswerEvent } from '@pomeloroad/requests';
import type { Delivery } from '../src/answerWriter';
import { deliverAnswer } from '../src/deliverAnswer';
import type { AnswerSource } from '../src/answerSource';

const HEAD: AnswerEvent = { kind: 'head', status: 200, headers: {}, endsWithConnection: false };

let server: http.Server | undefined;

afterEach(() => server?.close());

const toBytes = (text: string): AnswerEvent => ({ kind: 'bytes', data: Buffer.from(text) });

// A reader of an answer; without `isWhole`, its runner is lost after the events.
function createSource(
  run: string,
  events: AnswerEvent[],
  isWhole: boolean,
  stream?: string,
): AnswerSource {
  return {
    run,
    async read(from) {
      if (from < events.length) return Ok({ from, events: events.slice(from), stream });
      if (!isWhole) return Err('runner-lost');
      return Ok({ from, events: [], end: { kind: 'complete' }, stream });
    },
    close: () => undefined,
  };
}

// Returns what a caller reads of an answer whose first source is lost; `undefined` if it is cut.
async function readDelivered(
  first: AnswerSource,
  second: AnswerSource,
  form: Delivery['form'] = 'service',
): Promise<string | undefined> {
  const createdAt = createSystemClock().now();
  const delivery = { request: 'a', model: 'm', from: 0, createdAt, writeTimeout: 1000 };
  server = http.createServer((_request, response) => {
    deliverAnswer(response, { ...delivery, form }, first, async () => second);
  });
  const address = await listen(server, '127.0.0.1:0');
  return fetch(`http://${address}`)
    .then((response) => response.text())
    .catch(() => undefined);
}

test('the answer of a second run does not complete the part that came from a lost one', async () => {
  const first = createSource('1', [HEAD, toBytes('abc')], false);
  const second = createSource('2', [HEAD, toBytes('abcdef')], true);
  expect(await readDelivered(first, second)).toBeUndefined();
});

test('the answer of a second run is delivered if nothing of the lost one was sent', async () => {
  const first = createSource('1', [], false);
  const second = createSource('2', [HEAD, toBytes('abcdef')], true);
  expect(await readDelivered(first, second)).toBe('abcdef');
});

test('an answer is read on from its own run after its connection was lost', async () => {
  const first = createSource('1', [HEAD, toBytes('abc')], false);
  const second = createSource('1', [HEAD, toBytes('abc'), toBytes('def')], true);
  expect(await readDelivered(first, second)).toBe('abcdef');
});

const toDelta = (text: string): AnswerEvent => ({ kind: 'delta', text });

// The texts that a caller reads of a streamed answer, and whether it ends as whole.
function parseEvents(body = ''): { text: string; isWhole: boolean } {
  const texts = [...body.matchAll(/"content":"(\w*)"/g)].map(([, text]) => text);
  return { text: texts.join(''), isWhole: body.includes('[DONE]') };
}

test('a streamed answer does not go on with the events of another stream', async () => {
  const first = createSource('1', [toDelta('a'), toDelta('b')], false, 'at-v1');
  const second = createSource('2', [toDelta('x'), toDelta('y'), toDelta('z')], true, 'at-v2');
  const body = await readDelivered(first, second, 'events');
  expect(parseEvents(body)).toEqual({ text: 'ab', isWhole: false });
});

test('a streamed answer does not end as whole with the end of another stream', async () => {
  const first = createSource('1', [toDelta('a'), toDelta('b')], false, 'at-v1');
  const second = createSource('2', [toDelta('x')], true, 'at-v2');
  const body = await readDelivered(first, second, 'events');
  expect(parseEvents(body)).toEqual({ text: 'ab', isWhole: false });
});

test('a streamed answer goes on with its own stream that another run has taken over', async () => {
  const first = createSource('1', [toDelta('a')], false, 'at-v1');
  const second = createSource('2', [toDelta('a'), toDelta('b')], true, 'at-v1');
  const body = await readDelivered(first, second, 'events');
  expect(parseEvents(body)).toEqual({ text: 'ab', isWhole: true });
});

test('an answer in one piece is that of the second stream alone', async () => {
  const first = createSource('1', [toDelta('a'), toDelta('b')], false, 'at-v1');
  const second = createSource('2', [toDelta('x'), toDelta('y'), toDelta('z')], true, 'at-v2');
  const body = await readDelivered(first, second, 'json');
  expect(JSON.parse(body ?? '{}').choices[0].message.content).toBe('xyz');
});
