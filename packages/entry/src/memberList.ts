import type { Clock, Identity, Milliseconds } from '@pomeloroad/core';
import type { Member } from '@pomeloroad/storage';

/**
 * How long an instance that left the list without announcing it is taken for running but
 * disconnected.
 */
const UNLISTED_RETENTION_MS = 3_600_000;

/** The instances and endpoints that the membership list, or a peer, has named. */
export interface MemberList {
  /** Replaces all members by those of the list. */
  replace(listed: Member[]): void;
  /** Adds the members that each of several peers names; of one name, the first that is known stays. */
  add(namedByPeers: Member[][]): void;
  list(): Member[];
  listInstances(): Member[];
  /** Returns the instances that lately left the list without announcing it. */
  listUnlisted(): Member[];
  /** Returns the time since the members were last replaced; `Infinity` before that. */
  getAge(): Milliseconds;
}

interface UnlistedInstance {
  member: Member;
  /** Time of `clock.elapsed()` when it was first missing from the list. */
  at: Milliseconds;
}

/** Creates a list without members; `hasLeft` tells whether an incarnation has told its peers that it leaves. */
export function createMemberList(
  clock: Clock,
  hasLeft: (identity: Identity) => boolean,
): MemberList {
  const unlisted = new Map<string, UnlistedInstance>();
  let members: Member[] = [];
  let replacedAt: Milliseconds = -Infinity;

  function replace(listed: Member[]): void {
    const names = new Set(listed.map((member) => member.name));
    // An instance announces that it leaves; one that disappears without that may be disconnected.
    members.filter(isInstance).forEach((member) => {
      if (names.has(member.name) || member.state === 'leaving') return;
      unlisted.set(member.name, { member, at: clock.elapsed() });
    });
    unlisted.forEach(({ member, at }, name) => {
      const isAccountedFor = names.has(name) || hasLeft(toIdentity(member));
      if (isAccountedFor || clock.elapsed() - at > UNLISTED_RETENTION_MS) unlisted.delete(name);
    });
    members = listed;
    replacedAt = clock.elapsed();
  }

  function add(namedByPeers: Member[][]): void {
    const known = new Map(members.map((member) => [member.name, member]));
    namedByPeers.forEach((named) => {
      const added = named.filter((member) => !known.has(member.name));
      added.forEach((member) => known.set(member.name, member));
    });
    members = [...known.values()];
  }

  return {
    replace,
    add,
    list: () => members,
    listInstances: () => members.filter(isInstance),
    listUnlisted: () => [...unlisted.values()].map(({ member }) => member),
    getAge: () => clock.elapsed() - replacedAt,
  };
}

/** Returns whether the member is an instance, not an endpoint. */
export function isInstance(member: Member): boolean {
  return member.role === 'instance';
}

/** Returns the identity of an instance in the list. */
export function toIdentity(member: Member): Identity {
  const { name: instance, incarnation, dataCentre } = member;
  return { instance, incarnation, dataCentre };
}

/** Returns a key that no other incarnation of any instance has. */
export function getIncarnationKey(identity: Identity): string {
  return `${identity.instance}/${identity.incarnation}`;
}

/** Returns one identity for each instance; of several, the last. */
export function mergeIdentities(identities: Identity[]): Identity[] {
  return [...new Map(identities.map((identity) => [identity.instance, identity])).values()];
}
