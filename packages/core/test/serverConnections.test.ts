import http from 'node:http';
import { openPlainCaller, parseAnswers } from '@pomeloroad/standins';
import { createOpenRequests, listen, readRequestBody, serveInOrder } from '../src';
import type { OpenRequests } from '../src';

const WORK_MS = 400;
const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
/** Requests that are not sent to their end. */
const UNFINISHED: [string, string][] = [
  ['a head', 'GET / HT'],
  ['a body', 'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nab'],
  ['a chunk', 'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab'],
];

let server: http.Server;

afterEach(() => {
  server.closeAllConnections();
  server.close();
});

// Starts a server that limits the time of each request and answers after some work.
async function startServer() {
  server = http.createServer({ requireHostHeader: false, connectionsCheckingInterval: 20 });
  server.headersTimeout = 100;
  server.requestTimeout = 100;
  const served: string[] = [];
  const openRequests = createOpenRequests(server);
  const serve = async (message: http.IncomingMessage, response: http.ServerResponse) => {
    const body = await readRequestBody(message);
    if (body.err) return;
    served.push(message.method ?? '');
    setTimeout(() => response.end('done'), WORK_MS);
  };
  serveInOrder(server, (message, response) => {
    openRequests.track(response, serve(message, response));
  });
  return { address: await listen(server, '127.0.0.1:0'), served, openRequests };
}

async function waitUntilNoneIsOpen(openRequests: OpenRequests): Promise<void> {
  while (openRequests.count() > 0) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}

test.each(UNFINISHED)(
  '%s that is not sent in time is refused after the answers',
  async (_, bytes) => {
    const { address, served, openRequests } = await startServer();
    const caller = openPlainCaller(address);
    caller.socket.write(REQUEST + REQUEST + bytes);
    expect(await caller.closed).toBe(true);
    const statuses = parseAnswers(caller.text()).map(({ status }) => status);
    expect(statuses).toEqual([200, 200, 408]);
    expect(served).toEqual(['GET', 'GET']);
    await waitUntilNoneIsOpen(openRequests);
  },
);

test.each(UNFINISHED)('the rest of %s that comes too late is not served', async (_, bytes) => {
  const { address, served } = await startServer();
  const caller = openPlainCaller(address);
  caller.socket.write(REQUEST + bytes);
  setTimeout(() => caller.socket.write(`TP/1.1\r\nHost: a\r\n\r\n${REQUEST}`), WORK_MS / 2);
  await caller.closed;
  const statuses = parseAnswers(caller.text()).map(({ status }) => status);
  expect(statuses).toEqual([200, 408]);
  expect(served).toEqual(['GET']);
});
