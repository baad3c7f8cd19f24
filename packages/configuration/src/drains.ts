import { match } from 'ts-pattern';
import type { Milliseconds } from '@pomeloroad/core';
import type { PeerNetwork } from '@pomeloroad/peers';
import { ConfigurationTopics } from './topics';
import type { DrainList, DrainsReply, DrainsRequest } from './topics';

/** Short, because an instance whose relay is silent then reads the platform itself. */
const PULL_TIMEOUT_MS: Milliseconds = 500;

/** Dependencies of the list of drained endpoints. */
export interface DrainsHost {
  network: PeerNetwork;
  /** Whether this instance reads the platform on each poll. */
  isRelay(): boolean;
  /** Called after the list has changed. */
  onChange(): void;
}

/** The newest list of drained endpoints that an instance knows. */
export interface Drains {
  /** Returns the list that was last replaced. */
  getList(): DrainList;
  /** Replaces the list by a newer one, and returns whether it was newer. */
  replace(next: DrainList): boolean;
  /** Asks the relay for a newer list. Returns whether it answered as the relay. */
  pull(relay: string): Promise<boolean>;
}

/** Creates an empty list, which the table's first version replaces, and answers other instances. */
export function createDrains({ network, isRelay, onChange }: DrainsHost): Drains {
  let list: DrainList = { version: 0, drains: {} };

  network.handle(ConfigurationTopics.drains, async (_from, request) => answer(request));

  function answer({ version }: DrainsRequest): DrainsReply {
    if (!isRelay()) return { kind: 'not-relay' };
    return list.version > version ? { kind: 'newer', list } : { kind: 'current' };
  }

  // A read or a notice may arrive after a later one; the row's version tells them apart.
  function replace(next: DrainList): boolean {
    if (next.version <= list.version) return false;
    list = next;
    onChange();
    return true;
  }

  return {
    getList: () => list,
    replace,
    async pull(relay) {
      const request = { version: list.version };
      const topic = ConfigurationTopics.drains;
      const reply = await network.call(relay, topic, request, PULL_TIMEOUT_MS);
      if (reply.err) return false;
      return match(reply.val)
        .with({ kind: 'not-relay' }, () => false)
        .with({ kind: 'current' }, () => true)
        .with({ kind: 'newer' }, (newer) => {
          replace(newer.list);
          return true;
        })
        .exhaustive();
    },
  };
}
