import http from 'node:http';
import { listen } from '@pomeloroad/core';
import { createServiceClient } from '../src/serviceClient';

const BETWEEN_TIMEOUT_MS = 100;
/** Larger than the system's buffers of a connection. */
const ANSWER_BYTES = 16_000_000;
const CALL = {
  service: 'boards',
  method: 'GET',
  path: '/',
  headers: {},
  body: Buffer.alloc(0),
  tokens: 0,
};

let server: http.Server | undefined;

afterEach(() => server?.close());

async function readAnswer(listener: http.RequestListener, takingTime: number) {
  server = http.createServer(listener);
  const address = await listen(server, '127.0.0.1:0');
  const client = createServiceClient({
    firstByteTimeout: BETWEEN_TIMEOUT_MS * 2,
    betweenTimeout: BETWEEN_TIMEOUT_MS,
    answerLimit: ANSWER_BYTES * 2,
    sourceAddress: '',
  });
  let size = 0;
  let wait = takingTime;
  const outcome = await client.run(address, CALL, new AbortController().signal, {
    head: () => undefined,
    async bytes(data) {
      size += data.length;
      const delay = wait;
      wait = 0;
      await new Promise((resolve) => {
        setTimeout(resolve, delay);
      });
    },
  });
  return { outcome, size };
}

test('a caller that takes its time is no silence of the service', async () => {
  const answer = Buffer.alloc(ANSWER_BYTES);
  const { outcome, size } = await readAnswer(
    (_request, response) => response.end(answer),
    BETWEEN_TIMEOUT_MS * 5,
  );
  expect(outcome.val).toBeUndefined();
  expect(size).toBe(ANSWER_BYTES);
});

test('an answer whose service falls silent for the time limit is given up', async () => {
  const { outcome } = await readAnswer((_request, response) => response.write('part'), 0);
  expect(outcome.val).toMatchObject({ kind: 'failed', ran: 'unknown', message: 'silent' });
});

// Guards against requests without an end.
test.each(['101 Go', '000 Nothing'])('a call that is answered %s fails', async (status) => {
  const { outcome } = await readAnswer((request) => {
    request.socket.write(`HTTP/1.1 ${status}\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n`);
  }, 0);
  expect(outcome.val).toMatchObject({ kind: 'failed', ran: 'unknown' });
});

// Guards against a process that ends because of an address that a member announces.
test('a service whose address can not be used fails and does not throw', async () => {
  const options = { firstByteTimeout: 100, betweenTimeout: 100, answerLimit: 1, sourceAddress: '' };
  const client = createServiceClient(options);
  const sink = { head: () => undefined, bytes: async () => undefined };
  const outcome = await client.run('127.0.0.1:99999', CALL, new AbortController().signal, sink);
  expect(outcome.val).toMatchObject({ kind: 'failed', ran: 'no' });
  expect(await client.isRefusing('127.0.0.1:99999')).toBe(false);
});
