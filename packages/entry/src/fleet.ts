import { sleep } from '@pomeloroad/core';
import type { Clock, Identity, Milliseconds, Outcome } from '@pomeloroad/core';
import { createTopic } from '@pomeloroad/peers';
import type { Peer, PeerNetwork } from '@pomeloroad/peers';
import type { Member, Membership } from '@pomeloroad/storage';

const EXCHANGE_TIMEOUT_MS = 1000;
/** How long an instance may be silent before its requests are taken over. */
const LIVE_MS = 5000;
/** How long it must be silent, and unlisted, before its grants are closed. */
const LOST_MS = 10_000;
const FIRST_ANNOUNCEMENT_RETRY_MS = 200;
/** How long an instance that vanished from the list may be cut off rather than gone. */
const VANISHED_MS = 3_600_000;

const FleetTopics = {
  members: createTopic<Record<string, never>, Member[]>('fleet.members'),
  leaving: createTopic<Identity>('fleet.leaving'),
} as const;

/** What the fleet view needs from its surroundings. */
export interface FleetHost {
  clock: Clock;
  self: Identity;
  network: PeerNetwork;
  membership: Membership;
  /** Peers to ask while the membership list does not answer. */
  seeds: Peer[];
  onChange(): void;
}

/** Which instances and endpoints there are, by the platform's list and by the peers. */
export interface Fleet {
  /** Reads the list, announces this instance and connects to new peers. */
  poll(): Promise<void>;
  /** Live instances of this data centre that answer, this one included unless it leaves. */
  getLocalInstances(): string[];
  /** Connected instances of every data centre, this one included unless it leaves. */
  getInstances(): Identity[];
  /** Every instance that the list or the peers know, answering or not. */
  listInstances(): Promise<Outcome<Identity[], { message: string }>>;
  /** Whether every instance that the list or the peers know as live answers. */
  isComplete(): boolean;
  getDataCentres(): string[];
  getLeavingEndpoints(): string[];
  isLive(identity: Identity): boolean;
  isLost(identity: Identity): boolean;
  /** Announces that this instance is leaving. */
  leave(): Promise<void>;
  /** Removes this instance from the list. */
  withdraw(): Promise<void>;
}

/** Creates a view that knows only this instance. */
export function createFleet(host: FleetHost, address: string): Fleet {
  const { clock, self, network, membership } = host;
  const lastSeen = new Map<string, Milliseconds>();
  const leavingPeers = new Set<string>();
  const vanished = new Map<string, { member: Member; at: Milliseconds }>();
  let members: Member[] = [];
  let listedAt = -Infinity;
  let isLeaving = false;

  network.handle(FleetTopics.members, async () => [...members, toMember()]);
  network.handle(FleetTopics.leaving, async (_from, identity) => {
    leavingPeers.add(getLife(identity));
    host.onChange();
  });
  network.onConnect((identity) => {
    lastSeen.set(getLife(identity), clock.elapsed());
    host.onChange();
  });
  network.onDisconnect((identity) => {
    lastSeen.set(getLife(identity), clock.elapsed());
    host.onChange();
  });

  function toMember(): Member {
    const { instance, incarnation, dataCentre } = self;
    const state = isLeaving ? 'leaving' : 'live';
    return { name: instance, role: 'instance', dataCentre, address, incarnation, state };
  }

  async function poll(): Promise<void> {
    await membership.announce(toMember());
    const list = await membership.list();
    if (list.ok) takeList(list.val);
    else await askPeers();
    connect();
    host.onChange();
  }

  function takeList(listed: Member[]): void {
    const names = new Set(listed.map((member) => member.name));
    // One that left says so first; one that is only cut off disappears from the list as well.
    members.filter(isInstance).forEach((member) => {
      if (names.has(member.name) || member.state === 'leaving') return;
      vanished.set(member.name, { member, at: clock.elapsed() });
    });
    vanished.forEach(({ member, at }, name) => {
      const isBack = names.has(name) || leavingPeers.has(getLife(toIdentity(member)));
      if (isBack || clock.elapsed() - at > VANISHED_MS) vanished.delete(name);
    });
    members = listed;
    listedAt = clock.elapsed();
  }

  async function askPeers(): Promise<void> {
    const peers = getPeers().map((peer) => peer.identity.instance);
    const replies = await Promise.all(
      peers.map((peer) => network.call(peer, FleetTopics.members, {}, EXCHANGE_TIMEOUT_MS)),
    );
    const known = new Map(members.map((member) => [member.name, member]));
    replies.forEach((reply) => {
      if (!reply.ok) return;
      reply.val
        .filter((member) => !known.has(member.name) && member.name !== self.instance)
        .forEach((member) => known.set(member.name, member));
    });
    members = [...known.values()];
  }

  function getPeers(): Peer[] {
    const listed = members
      .filter((member) => member.role === 'instance' && member.name !== self.instance)
      .map((member) => ({ identity: toIdentity(member), address: member.address }));
    const addresses = new Set(listed.map((peer) => peer.address));
    addresses.add(address);
    return [...listed, ...host.seeds.filter((seed) => !addresses.has(seed.address))];
  }

  function connect(): void {
    network.setPeers(getPeers());
  }

  function getConnected(): Identity[] {
    const peers = members
      .filter((member) => member.role === 'instance' && member.state === 'live')
      .map((member) => network.getIdentity(member.name))
      .filter((identity) => identity !== undefined)
      .filter((identity) => identity.instance !== self.instance)
      .filter((identity) => !leavingPeers.has(getLife(identity)));
    return isLeaving ? peers : [self, ...peers];
  }

  function isConnected(identity: Identity): boolean {
    return network.getIdentity(identity.instance)?.incarnation === identity.incarnation;
  }

  function isReplaced(identity: Identity): boolean {
    const present = network.getIdentity(identity.instance);
    return present !== undefined && present.incarnation !== identity.incarnation;
  }

  function getSilence(identity: Identity): Milliseconds {
    return clock.elapsed() - (lastSeen.get(getLife(identity)) ?? 0);
  }

  return {
    poll,
    getLocalInstances: () => {
      const locals = getConnected().filter((peer) => peer.dataCentre === self.dataCentre);
      return locals.length > 0 ? locals.map((peer) => peer.instance) : [self.instance];
    },
    getInstances: getConnected,
    async listInstances() {
      const list = await membership.list();
      const identities = list.map((listed) =>
        listed.filter((member) => member.role === 'instance').map(toIdentity),
      );
      return identities.map((listed) => mergeIdentities([self, ...listed, ...getConnected()]));
    },
    isComplete() {
      const live = members.filter((member) => isInstance(member) && member.state === 'live');
      const silent = [...vanished.values()].map(({ member }) => member);
      return [...live, ...silent].every((member) => network.isConnected(member.name));
    },
    getDataCentres: () => {
      const named = members.filter((member) => member.role === 'instance');
      return [...new Set([self.dataCentre, ...named.map((member) => member.dataCentre)])];
    },
    getLeavingEndpoints: () =>
      members
        .filter((member) => member.role === 'endpoint' && member.state === 'leaving')
        .map((member) => member.name),
    isLive(identity) {
      if (identity.incarnation === self.incarnation || isConnected(identity)) return true;
      if (leavingPeers.has(getLife(identity))) return false;
      return !isReplaced(identity) && getSilence(identity) < LIVE_MS;
    },
    isLost(identity) {
      if (identity.incarnation === self.incarnation || isConnected(identity)) return false;
      if (isReplaced(identity)) return true;
      const isListFresh = clock.elapsed() - listedAt < LIVE_MS;
      const isListed = members.some((member) => member.incarnation === identity.incarnation);
      return isListFresh && !isListed && getSilence(identity) > LOST_MS;
    },
    async leave() {
      isLeaving = true;
      const peers = getPeers().map((peer) => peer.identity.instance);
      await Promise.all([
        membership.announce(toMember()),
        ...peers.map((peer) => network.call(peer, FleetTopics.leaving, self, EXCHANGE_TIMEOUT_MS)),
      ]);
    },
    async withdraw() {
      const outcome = await membership.withdraw(toMember());
      if (outcome.ok) return;
      await sleep(clock, FIRST_ANNOUNCEMENT_RETRY_MS);
      await membership.withdraw(toMember());
    },
  };
}

function isInstance(member: Member): boolean {
  return member.role === 'instance';
}

function toIdentity(member: Member): Identity {
  const { name: instance, incarnation, dataCentre } = member;
  return { instance, incarnation, dataCentre };
}

function getLife(identity: Identity): string {
  return `${identity.instance}/${identity.incarnation}`;
}

function mergeIdentities(identities: Identity[]): Identity[] {
  return [...new Map(identities.map((identity) => [identity.instance, identity])).values()];
}
