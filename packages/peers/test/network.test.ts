import { once } from 'node:events';
import net from 'node:net';
import { pack } from 'msgpackr';
import { WebSocket } from 'ws';
import { createRandom, createSilentLog, createSystemClock } from '@pomeloroad/core';
import type { Identity } from '@pomeloroad/core';
import { createPeerNetwork, createTopic } from '../src';
import type { PeerNetwork } from '../src';

const FLEET_KEY = 'a-fleet-key-for-tests';
const CALL_TIMEOUT_MS = 2000;

const echo = createTopic<{ text: string }, { text: string; from: string }>('test.echo');
const unanswered = createTopic<Record<string, never>>('test.stuck');

const networks: PeerNetwork[] = [];

afterEach(async () => {
  await Promise.all(networks.splice(0).map((network) => network.close()));
});

async function start(instance: string, fleetKey = FLEET_KEY) {
  const self: Identity = { instance, incarnation: `${instance}-1`, dataCentre: 'kent' };
  const host = { clock: createSystemClock(), random: createRandom(1), log: createSilentLog() };
  const network = createPeerNetwork(host, { self, address: '127.0.0.1:0', fleetKey });
  network.handle(echo, async (from, { text }) => ({ text, from: from.instance }));
  network.handle(unanswered, () => new Promise<void>(() => {}));
  networks.push(network);
  return { network, peer: { identity: self, address: await network.listen() } };
}

function waitForConnect(network: PeerNetwork): Promise<Identity> {
  return new Promise((resolve) => {
    network.onConnect(resolve);
  });
}

test('a call is answered and its handler gets the identity of the caller', async () => {
  const a = await start('a');
  const b = await start('b');
  const connecting = waitForConnect(a.network);
  a.network.setPeers([b.peer]);
  expect(await connecting).toEqual(b.peer.identity);
  const reply = await a.network.call('b', echo, { text: 'hello' }, CALL_TIMEOUT_MS);
  expect(reply.unwrap()).toEqual({ text: 'hello', from: 'a' });
});

test('a call to the own instance is answered locally', async () => {
  const { network } = await start('a');
  const reply = await network.call('a', echo, { text: 'hello' }, CALL_TIMEOUT_MS);
  expect(reply.unwrap()).toEqual({ text: 'hello', from: 'a' });
});

test('a call without a connection is reported as not run', async () => {
  const { network } = await start('a');
  const reply = await network.call('b', echo, { text: 'hello' }, CALL_TIMEOUT_MS);
  expect(reply.val).toMatchObject({ kind: 'unreachable', ran: 'no' });
});

test('a call that times out is reported as possibly run', async () => {
  const a = await start('a');
  const b = await start('b');
  const connecting = waitForConnect(a.network);
  a.network.setPeers([b.peer]);
  await connecting;
  const reply = await a.network.call('b', unanswered, {}, 20);
  expect(reply.val).toMatchObject({ kind: 'timeout', ran: 'unknown' });
});

test('calls in flight fail when the peer closes the connection', async () => {
  const a = await start('a');
  const b = await start('b');
  const connecting = waitForConnect(a.network);
  a.network.setPeers([b.peer]);
  await connecting;
  const waiting = a.network.call('b', unanswered, {}, 60_000);
  await b.network.close();
  expect((await waiting).val).toMatchObject({ kind: 'unreachable', ran: 'unknown' });
  expect(a.network.isConnected('b')).toBe(false);
});

test('close does not wait for a connection that has sent no request', async () => {
  const { network, peer } = await start('a');
  const [host = '', port = ''] = peer.address.split(':');
  const socket = net.connect({ host, port: Number(port) });
  await once(socket, 'connect');
  await network.close();
  networks.length = 0;
  socket.destroy();
});

test('a peer with a wrong fleet key is rejected', async () => {
  const a = await start('a', 'another-fleet-key-for-tests');
  const b = await start('b');
  const member = await start('c');
  let hasConnected = false;
  a.network.onConnect(() => {
    hasConnected = true;
  });
  a.network.setPeers([b.peer]);
  // The member connects after the attempt with the wrong key, so the test needs no fixed delay.
  const connecting = waitForConnect(member.network);
  member.network.setPeers([b.peer]);
  await connecting;
  expect(hasConnected).toBe(false);
  expect(a.network.describe()[0]?.state).toBe('connecting');
});

// Guards against a process that ends because of a frame of someone who does not know the fleet key.
test.each([
  { kind: 'hello', oldest: 1, newest: 1, nonce: 'n', proof: 'p' },
  { kind: 'hello', oldest: 1, newest: 1, nonce: 'n', proof: 'p', identity: null },
  { kind: 'hello', oldest: 1, newest: 1, nonce: 7, proof: 'p', identity: {} },
  { kind: 'constructor' },
])('the frame %j ends its connection only', async (frame) => {
  const { peer } = await start('a');
  const socket = new WebSocket(`ws://${peer.address}/peer`);
  socket.on('error', () => undefined);
  await once(socket, 'message');
  socket.send(pack(frame));
  await once(socket, 'close');
  const other = await start('b');
  other.network.setPeers([peer]);
  expect(await waitForConnect(other.network)).toMatchObject({ instance: 'a' });
});

test('a peer with an address that can not be used does not end the process', async () => {
  const { network } = await start('a');
  const { peer } = await start('b');
  const odd = { ...peer, identity: { ...peer.identity, instance: 'c', incarnation: 'c-1' } };
  network.setPeers([{ ...odd, address: '127.0.0.1:99999' }, peer]);
  expect(await waitForConnect(network)).toMatchObject({ instance: 'b' });
});
