import { Ok } from 'ts-results';
import { createManualClock } from '@pomeloroad/core';
import { createMemoryFleet } from '@pomeloroad/peers';
import type { Peer } from '@pomeloroad/peers';
import type { Member } from '@pomeloroad/storage';
import { createFleet } from '../src/fleet';

const OTHER: Member = {
  ...{ name: 'b', role: 'instance', dataCentre: 'kent', address: '127.0.0.1:2' },
  ...{ incarnation: 'b-1', state: 'live' },
};

// Returns the peers of instance `a` after each of the lists that it reads.
async function readPeers(lists: Member[][], isCut = false): Promise<string[][]> {
  const memory = createMemoryFleet();
  const joined = memory.join('a');
  memory.join('b');
  if (isCut) memory.cut.add('b');
  let peers: Peer[] = [];
  const network = {
    ...joined,
    setPeers(next: Peer[]) {
      peers = next;
    },
  };
  const membership = {
    list: async () => Ok(lists.shift() ?? []),
    announce: async () => Ok.EMPTY,
    withdraw: async () => Ok.EMPTY,
  };
  const onChange = () => undefined;
  const host = { clock: createManualClock(), self: joined.self, network, membership };
  const fleet = createFleet({ ...host, seeds: [], onChange }, '127.0.0.1:1');
  const seen: string[][] = [];
  while (lists.length > 0) {
    await fleet.poll();
    seen.push(peers.map(({ identity }) => identity.instance));
  }
  return seen;
}

test('a list that lacks a connected peer does not end the connection to it', async () => {
  expect(await readPeers([[OTHER], [], []])).toEqual([['b'], ['b'], ['b']]);
});

test('a list that lacks a peer without a connection ends the attempts to reach it', async () => {
  expect(await readPeers([[OTHER], []], true)).toEqual([['b'], []]);
});

test('a peer that leaves and is not listed any more is no peer', async () => {
  expect(await readPeers([[{ ...OTHER, state: 'leaving' }], []])).toEqual([['b'], []]);
});
