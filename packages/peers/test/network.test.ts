import { once } from 'node:events';
import net from 'node:net';
import { createRandom, createSilentLog, createSystemClock } from '@pomeloroad/core';
import type { Identity } from '@pomeloroad/core';
import { createPeerNetwork, createTopic } from '../src';
import type { PeerNetwork } from '../src';

const FLEET_KEY = 'a-fleet-key-for-tests';
const CALL_TIMEOUT_MS = 2000;

const echo = createTopic<{ text: string }, { text: string; from: string }>('test.echo');
const stuck = createTopic<Record<string, never>>('test.stuck');

const networks: PeerNetwork[] = [];

afterEach(async () => {
  await Promise.all(networks.splice(0).map((network) => network.close()));
});

async function start(instance: string, fleetKey = FLEET_KEY) {
  const self: Identity = { instance, incarnation: `${instance}-1`, dataCentre: 'kent' };
  const host = { clock: createSystemClock(), random: createRandom(1), log: createSilentLog() };
  const network = createPeerNetwork(host, { self, address: '127.0.0.1:0', fleetKey });
  network.handle(echo, async (from, { text }) => ({ text, from: from.instance }));
  network.handle(stuck, () => new Promise<void>(() => {}));
  networks.push(network);
  return { network, peer: { identity: self, address: await network.listen() } };
}

function connected(network: PeerNetwork): Promise<Identity> {
  return new Promise((resolve) => {
    network.onConnect(resolve);
  });
}

test('a call is answered, and the caller is known', async () => {
  const a = await start('a');
  const b = await start('b');
  const met = connected(a.network);
  a.network.setPeers([b.peer]);
  expect(await met).toEqual(b.peer.identity);
  const reply = await a.network.call('b', echo, { text: 'hello' }, CALL_TIMEOUT_MS);
  expect(reply.unwrap()).toEqual({ text: 'hello', from: 'a' });
});

test('a call to oneself is answered locally', async () => {
  const { network } = await start('a');
  const reply = await network.call('a', echo, { text: 'hello' }, CALL_TIMEOUT_MS);
  expect(reply.unwrap()).toEqual({ text: 'hello', from: 'a' });
});

test('a call without a connection did not run', async () => {
  const { network } = await start('a');
  const reply = await network.call('b', echo, { text: 'hello' }, CALL_TIMEOUT_MS);
  expect(reply.val).toMatchObject({ kind: 'unreachable', ran: 'no' });
});

test('a call without a reply may have run', async () => {
  const a = await start('a');
  const b = await start('b');
  const met = connected(a.network);
  a.network.setPeers([b.peer]);
  await met;
  const reply = await a.network.call('b', stuck, {}, 20);
  expect(reply.val).toMatchObject({ kind: 'timeout', ran: 'unknown' });
});

test('a peer that closes fails the calls that wait', async () => {
  const a = await start('a');
  const b = await start('b');
  const met = connected(a.network);
  a.network.setPeers([b.peer]);
  await met;
  const waiting = a.network.call('b', stuck, {}, 60_000);
  await b.network.close();
  expect((await waiting).val).toMatchObject({ kind: 'unreachable', ran: 'unknown' });
  expect(a.network.isConnected('b')).toBe(false);
});

test('a connection without a request does not hold up the end', async () => {
  const { network, peer } = await start('a');
  const [host = '', port = ''] = peer.address.split(':');
  const socket = net.connect({ host, port: Number(port) });
  await once(socket, 'connect');
  await network.close();
  networks.length = 0;
  socket.destroy();
});

test('a wrong fleet key is rejected', async () => {
  const a = await start('a', 'another-fleet-key-for-tests');
  const b = await start('b');
  const right = await start('c');
  let hasMet = false;
  a.network.onConnect(() => {
    hasMet = true;
  });
  a.network.setPeers([b.peer]);
  // The right one connects after the wrong one tried: no wait on the clock is needed.
  const met = connected(right.network);
  right.network.setPeers([b.peer]);
  await met;
  expect(hasMet).toBe(false);
  expect(a.network.describe()[0]?.state).toBe('connecting');
});
