import http from 'node:http';
import { callHttp, createManualClock, createRandom, listen } from '@pomeloroad/core';
import type { HttpAnswer, ManualClock } from '@pomeloroad/core';
import { createReplicas, REPLICA_TTL_MS } from '../src/replicas';
import type { Replicas } from '../src/replicas';

const TIMEOUT_MS = 2000;
const PART_INTERVAL_MS = 200;
const RUN = 'c1-1';
const EVENTS = 3;

/** A server that keeps replicas, and has one run. */
interface Keeper {
  address: string;
  replicas: Replicas;
  /** Number of calls that it has answered. */
  served: number;
  /** Whether its run was stopped. */
  isCut: boolean;
}

const servers: http.Server[] = [];

afterEach(() => {
  servers.splice(0).forEach((server) => {
    server.close();
    server.closeAllConnections();
  });
});

async function startKeeper(clock: ManualClock, hasRoom: () => boolean): Promise<Keeper> {
  const server = http.createServer();
  servers.push(server);
  const address = await listen(server, '127.0.0.1:0');
  const findRun = (request: string) =>
    request === RUN ? { request, getNumber: () => EVENTS, cut } : undefined;
  const integer = (least: number, most: number) => (hasRoom() ? most : least);
  const random = { ...createRandom(1), integer };
  const replicas = createReplicas({ clock, random, address, findRun });
  const keeper: Keeper = { address, replicas, served: 0, isCut: false };
  server.on('request', (request, response) => {
    response.once('finish', () => {
      keeper.served += 1;
    });
    replicas.serve(request, response);
  });
  function cut(): void {
    keeper.isCut = true;
  }
  return keeper;
}

async function startPair() {
  const clock = createManualClock();
  const room = { isFull: false };
  const hasRoom = () => !room.isFull;
  const [source, target] = [await startKeeper(clock, hasRoom), await startKeeper(clock, hasRoom)];
  return { clock, room, source, target };
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}

async function call(method: string, address: string, path: string, body?: object) {
  const url = `http://${address}${path}`;
  const text = body === undefined ? undefined : JSON.stringify(body);
  const answer = await callHttp({ method, url, body: text, timeout: TIMEOUT_MS });
  return answer.unwrap();
}

async function move(source: Keeper, to: string, last: boolean, id = RUN): Promise<HttpAnswer> {
  return call('POST', source.address, '/v1/kv-move', { id, to, last });
}

function readHandle({ body }: HttpAnswer): string {
  return (JSON.parse(String(body)) as { handle: string }).handle;
}

test('a replica of a run that is under way can be taken once', async () => {
  const { source, target } = await startPair();
  const end = source.replicas.startBackup(RUN, target.address);
  await waitUntil(() => target.served === 1);
  expect(target.replicas.take(`${target.address}/${RUN}`)).toBe(true);
  expect(target.replicas.take(`${target.address}/${RUN}`)).toBe(false);
  await end(false);
});

test.each([
  ['is whole leaves none', true],
  ['is not whole leaves one', false],
])('a run that ends and %s', async (_, isWhole) => {
  const { source, target } = await startPair();
  await source.replicas.startBackup(RUN, target.address)(isWhole);
  expect(target.replicas.take(`${target.address}/${RUN}`)).toBe(!isWhole);
});

test('a replica is dropped some time after its last part', async () => {
  const { clock, source, target } = await startPair();
  await source.replicas.startBackup(RUN, target.address)(false);
  await clock.advance(REPLICA_TTL_MS + 1);
  expect(target.replicas.take(`${target.address}/${RUN}`)).toBe(false);
});

test('a replica is dropped when its next part finds no room', async () => {
  const { clock, room, source, target } = await startPair();
  const end = source.replicas.startBackup(RUN, target.address);
  await waitUntil(() => target.served === 1);
  room.isFull = true;
  // The source waits for its answer before it sends the next part.
  while (target.served < 2) await clock.advance(PART_INTERVAL_MS);
  expect(target.replicas.take(`${target.address}/${RUN}`)).toBe(false);
  await end(false);
});

test('a replica of another address is none', async () => {
  const { source, target } = await startPair();
  await source.replicas.startBackup(RUN, target.address)(false);
  expect(target.replicas.take(`${source.address}/${RUN}`)).toBe(false);
});

test.each(['source', 'target'] as const)(
  'a run that was stopped for a move goes on once, at its %s',
  async (place) => {
    const { source, target } = await startPair();
    const answer = await move(source, target.address, true);
    expect(answer.status).toBe(200);
    expect(JSON.parse(String(answer.body))).toMatchObject({ created: EVENTS });
    expect(source.isCut).toBe(true);
    const name = `${source.address}/${readHandle(answer)}`;
    const [first, other] = place === 'source' ? [source, target] : [target, source];
    expect(first.replicas.take(name)).toBe(true);
    const { served } = other;
    await waitUntil(() => other.served > served);
    expect(other.replicas.take(name)).toBe(false);
  },
);

test('a run that is copied without a stop goes on, and can be taken only at the target', async () => {
  const { source, target } = await startPair();
  const answer = await move(source, target.address, false);
  const name = `${source.address}/${readHandle(answer)}`;
  expect(source.isCut).toBe(false);
  expect(source.replicas.take(name)).toBe(false);
  expect(target.replicas.take(name)).toBe(true);
});

test('a move that finds no room leaves the stopped run at its source', async () => {
  const { room, source, target } = await startPair();
  room.isFull = true;
  const answer = await move(source, target.address, true);
  expect(answer.status).toBe(503);
  expect(source.replicas.take(`${source.address}/${readHandle(answer)}`)).toBe(true);
});

test('a second move of a run at the same time and one of no run are refused', async () => {
  const { source, target } = await startPair();
  const moves = [1, 2].map(() => move(source, target.address, false));
  const statuses = (await Promise.all(moves)).map(({ status }) => status);
  expect(statuses.sort()).toEqual([200, 409]);
  expect((await move(source, target.address, false, 'c1-2')).status).toBe(404);
});

test('a handle that is dropped at the source is dropped at the target', async () => {
  const { source, target } = await startPair();
  const handle = readHandle(await move(source, target.address, true));
  await call('DELETE', source.address, `/v1/kv-handle/${handle}`);
  const name = `${source.address}/${handle}`;
  expect([source, target].map(({ replicas }) => replicas.take(name))).toEqual([false, false]);
});
