import { sleep } from '@pomeloroad/core';
import type { Clock, Identity, Milliseconds, Outcome } from '@pomeloroad/core';
import { createTopic } from '@pomeloroad/peers';
import type { Peer, PeerNetwork } from '@pomeloroad/peers';
import type { Member, Membership } from '@pomeloroad/storage';
import {
  createMemberList,
  getIncarnationKey,
  isInstance,
  mergeIdentities,
  toIdentity,
} from './memberList';

const PEER_CALL_TIMEOUT_MS = 1000;
/** Silence of an instance after which others take over its requests. */
const LIVENESS_TIMEOUT_MS = 5000;
/** Silence of an instance that is not listed after which others close its grants. */
const LOSS_TIMEOUT_MS = 10_000;
const WITHDRAW_RETRY_DELAY_MS = 200;

const FleetTopics = {
  members: createTopic<Record<string, never>, Member[]>('fleet.members'),
  leaving: createTopic<Identity>('fleet.leaving'),
} as const;

/** Dependencies of the fleet view. */
export interface FleetHost {
  clock: Clock;
  self: Identity;
  network: PeerNetwork;
  membership: Membership;
  /** Peers to ask while the membership list does not answer. */
  seeds: Peer[];
  /** Called whenever the view may have changed. */
  onChange(): void;
}

/** View of the fleet's instances and endpoints, from the membership list and from the peers. */
export interface Fleet {
  /** Announces this instance, reads the list and updates the connections to peers. */
  poll(): Promise<void>;
  /**
   * Names of the connected live instances of this data centre, without this one while it is leaving;
   * only this one if there is no other.
   */
  getLocalInstances(): string[];
  /** Connected live instances of every data centre, without this one while it is leaving. */
  getInstances(): Identity[];
  /** Every instance that is listed or connected; an error if the list does not answer. */
  listInstances(): Promise<Outcome<Identity[], { message: string }>>;
  /**
   * Whether there is a connection to every instance that is known as live, and to every one that left
   * the list without announcing it.
   */
  isComplete(): boolean;
  /** Names of the data centres that have an instance. */
  getDataCentres(): string[];
  /** Names of the listed endpoints that are leaving. */
  getLeavingEndpoints(): string[];
  /**
   * Whether the incarnation is connected, or has been silent for less than 5 s and neither left nor
   * was replaced by another one.
   */
  isLive(identity: Identity): boolean;
  /**
   * Whether the incarnation has ended: another one took its place, or it has been silent for more
   * than 10 s and a list read less than 5 s ago does not hold it.
   */
  isLost(identity: Identity): boolean;
  /** Announces to the list and to the peers that this instance is leaving. */
  leave(): Promise<void>;
  /** Removes this instance from the list; tries twice. */
  withdraw(): Promise<void>;
}

/** Creates a view that knows only this instance, which peers reach at `address`. */
export function createFleet(host: FleetHost, address: string): Fleet {
  const { clock, self, network, membership } = host;
  const lastSeen = new Map<string, Milliseconds>();
  const leavingPeers = new Set<string>();
  const members = createMemberList(clock, (identity) =>
    leavingPeers.has(getIncarnationKey(identity)),
  );
  let isLeaving = false;

  network.handle(FleetTopics.members, async () => [...members.list(), createMember()]);
  network.handle(FleetTopics.leaving, async (_from, identity) => {
    leavingPeers.add(getIncarnationKey(identity));
    host.onChange();
  });
  network.onConnect((identity) => {
    lastSeen.set(getIncarnationKey(identity), clock.elapsed());
    host.onChange();
  });
  network.onDisconnect((identity) => {
    lastSeen.set(getIncarnationKey(identity), clock.elapsed());
    host.onChange();
  });

  function createMember(): Member {
    const { instance, incarnation, dataCentre } = self;
    const state = isLeaving ? 'leaving' : 'live';
    return { name: instance, role: 'instance', dataCentre, address, incarnation, state };
  }

  async function poll(): Promise<void> {
    await membership.announce(createMember());
    const list = await membership.list();
    if (list.ok) members.replace(list.val);
    else await askPeers();
    updatePeers();
    host.onChange();
  }

  async function askPeers(): Promise<void> {
    const peers = getPeers().map((peer) => peer.identity.instance);
    const replies = await Promise.all(
      peers.map((peer) => network.call(peer, FleetTopics.members, {}, PEER_CALL_TIMEOUT_MS)),
    );
    const named = replies.map((reply) => (reply.ok ? reply.val : []));
    members.add(named.map((list) => list.filter((member) => member.name !== self.instance)));
  }

  function getPeers(): Peer[] {
    // A list that lacks a peer does not say that it has ended; its connection says that it goes on.
    const connected = members.listUnlisted().filter((member) => network.isConnected(member.name));
    const listed = [...members.listInstances(), ...connected]
      .filter((member) => member.name !== self.instance)
      .map((member) => ({ identity: toIdentity(member), address: member.address }));
    const addresses = new Set(listed.map((peer) => peer.address));
    addresses.add(address);
    return [...listed, ...host.seeds.filter((seed) => !addresses.has(seed.address))];
  }

  function updatePeers(): void {
    network.setPeers(getPeers());
  }

  function getConnectedInstances(): Identity[] {
    const peers = members
      .listInstances()
      .filter((member) => member.state === 'live')
      .map((member) => network.getIdentity(member.name))
      .filter((identity) => identity !== undefined)
      .filter((identity) => identity.instance !== self.instance)
      .filter((identity) => !leavingPeers.has(getIncarnationKey(identity)));
    return isLeaving ? peers : [self, ...peers];
  }

  function isConnected(identity: Identity): boolean {
    return network.getIdentity(identity.instance)?.incarnation === identity.incarnation;
  }

  function isReplaced(identity: Identity): boolean {
    const present = network.getIdentity(identity.instance);
    return present !== undefined && present.incarnation !== identity.incarnation;
  }

  // Counted from the start of this process if the incarnation was never connected.
  function getSilence(identity: Identity): Milliseconds {
    return clock.elapsed() - (lastSeen.get(getIncarnationKey(identity)) ?? 0);
  }

  return {
    poll,
    getLocalInstances: () => {
      const locals = getConnectedInstances().filter((peer) => peer.dataCentre === self.dataCentre);
      return locals.length > 0 ? locals.map((peer) => peer.instance) : [self.instance];
    },
    getInstances: getConnectedInstances,
    async listInstances() {
      const list = await membership.list();
      const identities = list.map((listed) => listed.filter(isInstance).map(toIdentity));
      return identities.map((listed) =>
        mergeIdentities([self, ...listed, ...getConnectedInstances()]),
      );
    },
    isComplete() {
      const live = members.listInstances().filter((member) => member.state === 'live');
      return [...live, ...members.listUnlisted()].every((member) =>
        network.isConnected(member.name),
      );
    },
    getDataCentres: () => {
      const named = members.listInstances().map((member) => member.dataCentre);
      return [...new Set([self.dataCentre, ...named])];
    },
    getLeavingEndpoints: () =>
      members
        .list()
        .filter((member) => member.role === 'endpoint' && member.state === 'leaving')
        .map((member) => member.name),
    isLive(identity) {
      if (identity.incarnation === self.incarnation || isConnected(identity)) return true;
      if (leavingPeers.has(getIncarnationKey(identity))) return false;
      return !isReplaced(identity) && getSilence(identity) < LIVENESS_TIMEOUT_MS;
    },
    isLost(identity) {
      if (identity.incarnation === self.incarnation || isConnected(identity)) return false;
      if (isReplaced(identity)) return true;
      const isListFresh = members.getAge() < LIVENESS_TIMEOUT_MS;
      const isListed = members.list().some((member) => member.incarnation === identity.incarnation);
      return isListFresh && !isListed && getSilence(identity) > LOSS_TIMEOUT_MS;
    },
    async leave() {
      isLeaving = true;
      const peers = getPeers().map((peer) => peer.identity.instance);
      await Promise.all([
        membership.announce(createMember()),
        ...peers.map((peer) => network.call(peer, FleetTopics.leaving, self, PEER_CALL_TIMEOUT_MS)),
      ]);
    },
    async withdraw() {
      const outcome = await membership.withdraw(createMember());
      if (outcome.ok) return;
      await sleep(clock, WITHDRAW_RETRY_DELAY_MS);
      await membership.withdraw(createMember());
    },
  };
}
