import http from 'node:http';
import { Err, Ok } from 'ts-results';
import { createSystemClock, listen } from '@pomeloroad/core';
import type { AnswerEvent } from '@pomeloroad/requests';
import { deliverAnswer } from '../src/answerWriter';
import type { AnswerSource } from '../src/answerSource';

const HEAD: AnswerEvent = { kind: 'head', status: 200, headers: {}, endsWithConnection: false };

let server: http.Server | undefined;

afterEach(() => server?.close());

const toBytes = (text: string): AnswerEvent => ({ kind: 'bytes', data: Buffer.from(text) });

// A reader of an answer; without `isWhole`, its runner is lost after the events.
function createSource(run: string, events: AnswerEvent[], isWhole: boolean): AnswerSource {
  return {
    run,
    async read(from) {
      if (from < events.length) return Ok({ from, events: events.slice(from) });
      return isWhole ? Ok({ from, events: [], end: { kind: 'complete' } }) : Err('runner-lost');
    },
    close: () => undefined,
  };
}

// Returns what a caller reads of an answer whose first source is lost; `undefined` if it is cut.
async function readDelivered(
  first: AnswerSource,
  second: AnswerSource,
): Promise<string | undefined> {
  const createdAt = createSystemClock().now();
  const delivery = { request: 'a', model: 'm', from: 0, createdAt, writeTimeout: 1000 };
  server = http.createServer((_request, response) => {
    deliverAnswer(response, { ...delivery, form: 'service' }, first, async () => second);
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
