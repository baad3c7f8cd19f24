import http from 'node:http';
import { callHttp, connect, createSystemClock, listen } from '../src';
import type { HttpAnswer, HttpFailure, Outcome } from '../src';

const TIMEOUT_MS = 2000;

let server: http.Server | undefined;

afterEach(() => server?.close());

// Calls a server that answers with the raw text and closes the connection.
async function call(
  raw: string,
  method = 'GET',
  hasJsonObject = false,
): Promise<Outcome<HttpAnswer, HttpFailure>> {
  server = http.createServer((request) => request.socket.end(raw));
  const url = `http://${await listen(server, '127.0.0.1:0')}`;
  return callHttp({ method, url, timeout: TIMEOUT_MS, agent: new http.Agent(), hasJsonObject });
}

test('an answer without a length is not known to be whole, even if it parses', async () => {
  const answer = await call('HTTP/1.1 200 OK\r\n\r\n{"rows":[]}');
  expect(answer.val).toMatchObject({ kind: 'unavailable', ran: 'unknown' });
});

test('a JSON object without a length is whole', async () => {
  const answer = await call('HTTP/1.1 200 OK\r\n\r\n{"rows":[{}]}', 'GET', true);
  expect(answer.unwrap().body.toString()).toBe('{"rows":[{}]}');
});

test.each(['{"rows":[{}', '', '[]', '12'])('a body is not a whole object: %s', async (body) => {
  const answer = await call(`HTTP/1.1 200 OK\r\n\r\n${body}`, 'POST', true);
  expect(answer.val).toMatchObject({ kind: 'unavailable', ran: 'unknown' });
});

test.each([
  ['shorter than its length', 'HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{}'],
  ['without its last chunk', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n'],
])('an answer is incomplete: %s', async (_name, raw) => {
  expect((await call(raw)).val).toMatchObject({ kind: 'unavailable', ran: 'unknown' });
});

test.each([
  ['with its length', 'GET', 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}', '{}'],
  ['with no body', 'DELETE', 'HTTP/1.1 204 No Content\r\n\r\n', ''],
  ['to a request for the head', 'HEAD', 'HTTP/1.1 200 OK\r\n\r\n', ''],
])('an answer is whole: %s', async (_name, method, raw, body) => {
  const answer = (await call(raw, method)).unwrap();
  expect(answer.body.toString()).toBe(body);
});

// Guards against a process that ends because of an address that no program may connect to.
test.each(['127.0.0.1:99999', '127.0.0.1:', 'no address'])(
  'a connection to %j fails and does not throw',
  async (address) => {
    const opened = await connect(createSystemClock(), address, 200);
    expect(opened.err).toBe(true);
  },
);

// Guards against calls without an end, and the feeds that wait for them.
test('a call that is answered 101 fails', async () => {
  const answer = await call('HTTP/1.1 101 Go\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n');
  expect(answer.val).toMatchObject({ kind: 'unavailable', ran: 'unknown' });
});

test.each(['http://127.0.0.1:99999/', 'http://', 'nothing'])(
  'a call of %j fails and does not throw',
  async (url) => {
    const answer = await callHttp({ method: 'GET', url, timeout: TIMEOUT_MS });
    expect(answer.val).toMatchObject({ kind: 'unavailable', ran: 'no' });
  },
);
