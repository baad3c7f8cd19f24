import http from 'node:http';
import { createRandom, createSystemClock, listen } from '@pomeloroad/core';
import { createCallerAnswer } from '../src/callerClient';
import type { EndpointLine } from '../src/endpointLines';
import { createSoakEndpoint } from '../src/soakEndpoint';
import type { SoakEndpoint } from '../src/soakEndpoint';
import { encodeWork, renderEvents } from '../src/soakWork';
import type { Work } from '../src/soakWork';

const RUN = 'c1-1';
const BORN = 1_796_000_000_000;
const WORK: Work = {
  route: 'stream-once',
  framing: 'chunked',
  events: 6,
  pause: 5,
  fault: 'none',
};
/** Long enough that a stream is open until a test has stopped it. */
const LONG_WORK: Work = { ...WORK, events: 200, pause: 20 };

interface Endpoint {
  address: string;
  endpoint: SoakEndpoint;
  lines: EndpointLine[];
}

const servers: http.Server[] = [];

afterEach(() => {
  servers.splice(0).forEach((server) => {
    server.close();
    server.closeAllConnections();
  });
});

async function startEndpoint(id: string): Promise<Endpoint> {
  const lines: EndpointLine[] = [];
  // Its own address is known once it listens; with a draw that never finds too little room.
  const random = { ...createRandom(1), integer: (_: number, most: number) => most };
  const host = {
    ...{ clock: createSystemClock(), random, apartShare: 0, id, address: '', slots: 16 },
    ...{ version: 'model/v1', born: BORN, isFull: () => false, getRateLimit: () => undefined },
    record: (line: EndpointLine) => lines.push(line),
    die: () => undefined,
    end: () => undefined,
  };
  const probe = http.createServer();
  host.address = await listen(probe, '127.0.0.1:0');
  await new Promise((resolve) => {
    probe.close(resolve);
  });
  const endpoint = createSoakEndpoint(host);
  servers.push(endpoint.server);
  await listen(endpoint.server, host.address);
  return { address: host.address, endpoint, lines };
}

/** Sends a request for the work; resolves once its answer has ended. */
function ask({ address }: Endpoint, work: Work, headers: http.OutgoingHttpHeaders = {}) {
  return new Promise<{ status: number; body: string; isWhole: boolean }>((resolve) => {
    const options = { headers: { 'x-attempt-id': RUN, ...headers }, agent: false as const };
    const request = http.request(`http://${address}${encodeWork(work)}`, options, (response) => {
      const answer = { ...createCallerAnswer(), status: response.statusCode ?? 0 };
      response.on('data', (data: Buffer) => {
        answer.body += data.toString();
      });
      response.on('error', () => undefined);
      response.on('close', () =>
        resolve({ status: answer.status, body: answer.body, isWhole: response.complete }),
      );
    });
    request.end();
  });
}

function countSent({ lines }: Endpoint): number {
  return lines.filter(({ event }) => event === 'sent').length;
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}

test('the report of an endpoint tells when its process started and keeps its connection', async () => {
  const { address, endpoint } = await startEndpoint('endpoint-1');
  endpoint.server.keepAliveTimeout = 700;
  const report = await fetch(`http://${address}/v1/report`);
  expect(report.headers.get('keep-alive')).toBe('timeout=5');
  expect(await report.json()).toMatchObject({ born: BORN });
});

test('a request with a replica goes on behind the last event', async () => {
  const [source, target] = [await startEndpoint('endpoint-1'), await startEndpoint('endpoint-2')];
  const answering = ask(source, LONG_WORK, { 'x-kv-backup': target.address });
  await waitUntil(() => countSent(source) > 2);
  servers[0]?.closeAllConnections();
  await answering;
  const goOn = { 'kv-from': `${target.address}/${RUN}`, 'last-event-id': 198 };
  const { status, body, isWhole } = await ask(target, LONG_WORK, goOn);
  expect({ status, isWhole }).toEqual({ status: 200, isWhole: true });
  expect(body).toBe(renderEvents(RUN, 198, 200, 'model/v1'));
  expect(target.lines[0]).toMatchObject({ event: 'run', goesOnFrom: goOn['kv-from'] });
});

test('a request without its replica is not run', async () => {
  const endpoint = await startEndpoint('endpoint-1');
  const goOn = { 'kv-from': `${endpoint.address}/${RUN}`, 'last-event-id': 2 };
  expect((await ask(endpoint, WORK, goOn)).status).toBe(503);
  expect(endpoint.lines.map(({ event }) => event)).toEqual(['declined']);
});

test('a run that moves ends its stream without an end and goes on at its target', async () => {
  const [source, target] = [await startEndpoint('endpoint-1'), await startEndpoint('endpoint-2')];
  const answering = ask(source, LONG_WORK);
  await waitUntil(() => countSent(source) > 2);
  const order = JSON.stringify({ id: RUN, to: target.address, last: true });
  const moved = await fetch(`http://${source.address}/v1/kv-move`, { method: 'POST', body: order });
  const { handle, created } = (await moved.json()) as { handle: string; created: number };
  expect((await answering).isWhole).toBe(false);
  expect(countSent(source)).toBe(created);
  const goOn = { 'kv-from': `${source.address}/${handle}`, 'last-event-id': 199 };
  expect(await ask(target, LONG_WORK, goOn)).toMatchObject({ status: 200, isWhole: true });
});

test('endpoints with one trouble end an answer at the same event, also one that goes on', async () => {
  const [first, second] = [await startEndpoint('endpoint-1'), await startEndpoint('endpoint-2')];
  await Promise.all(
    [first, second].map(({ endpoint }) =>
      endpoint.endAnswers({ reason: 'same-event', delay: 0, length: 500 }),
    ),
  );
  const half = renderEvents(RUN, 0, 3, 'model/v1');
  const headers = { 'last-event-id': 2 };
  expect(await ask(first, WORK)).toEqual({ status: 200, body: half, isWhole: true });
  const rest = renderEvents(RUN, 2, 3, 'model/v1');
  expect(await ask(second, WORK, headers)).toEqual({ status: 200, body: rest, isWhole: true });
  expect(await ask(second, WORK, { 'last-event-id': 3 })).toMatchObject({ body: '' });
  second.endpoint.resume();
  const whole = renderEvents(RUN, 0, 6, 'model/v1');
  expect(await ask(second, WORK)).toEqual({ status: 200, body: whole, isWhole: true });
});

test('a torn event is sent in part behind the whole ones', async () => {
  const endpoint = await startEndpoint('endpoint-1');
  const answering = ask(endpoint, LONG_WORK);
  await waitUntil(() => countSent(endpoint) > 2);
  const sent = countSent(endpoint);
  endpoint.endpoint.tearEvents();
  setImmediate(() => servers[0]?.closeAllConnections());
  const { body, isWhole } = await answering;
  const whole = renderEvents(RUN, 0, sent, 'model/v1');
  const next = renderEvents(RUN, sent, sent + 1, 'model/v1');
  expect(isWhole).toBe(false);
  expect(body.startsWith(whole)).toBe(true);
  expect(next.startsWith(body.slice(whole.length))).toBe(true);
  expect(body.length - whole.length).toBeGreaterThan(0);
  expect(body.length - whole.length).toBeLessThan(next.length);
});
