import { Err, Ok } from 'ts-results';
import type { Identity } from '@pomeloroad/core';
import type { Handler, PeerNetwork } from './types';

/** Simulates the peer network of a fleet in one process: members call each other's handlers. */
export interface MemoryFleet {
  /** Adds a member, or replaces the one of the same name, and returns its network. */
  join(instance: string, dataCentre?: string): MemoryNetwork;
  /** Instances that are partitioned from all others. */
  cut: Set<string>;
  /** Instances whose connections went silent: they count as connected, but calls get no reply. */
  silent: Set<string>;
}

/** The network of one member of a memory fleet. */
export interface MemoryNetwork extends PeerNetwork {
  self: Identity;
}

interface MemoryMember {
  self: Identity;
  handlers: Map<string, Handler<unknown, unknown>>;
}

/** Creates a fleet without members. */
export function createMemoryFleet(): MemoryFleet {
  const members = new Map<string, MemoryMember>();
  const cut = new Set<string>();
  const silent = new Set<string>();

  function isReachable(from: string, to: string): boolean {
    return from === to || (members.has(to) && !cut.has(from) && !cut.has(to));
  }

  function isSilent(from: string, to: string): boolean {
    return from !== to && (silent.has(from) || silent.has(to));
  }

  function createNetwork({ self, handlers }: MemoryMember): MemoryNetwork {
    const { instance } = self;
    return {
      self,
      listen: async () => '127.0.0.1:1',
      async call(to, topic, request) {
        const handler = members.get(to)?.handlers.get(topic.name);
        if (!isReachable(instance, to) || !handler) {
          return Err({ kind: 'unreachable', ran: 'no', message: `no connection to ${to}` });
        }
        if (isSilent(instance, to)) {
          return Err({ kind: 'timeout', ran: 'unknown', message: `no reply to ${topic.name}` });
        }
        // The topic determines the type of its reply.
        return Ok((await handler(self, structuredClone(request))) as never);
      },
      handle(topic, handler) {
        handlers.set(topic.name, handler as Handler<unknown, unknown>);
      },
      setPeers: () => undefined,
      isConnected: (other) => isReachable(instance, other),
      getIdentity: (other) => (isReachable(instance, other) ? members.get(other)?.self : undefined),
      onConnect: () => undefined,
      onDisconnect: () => undefined,
      describe: () => [],
      close: async () => undefined,
    };
  }

  return {
    cut,
    silent,
    join(instance, dataCentre = 'kent') {
      const self = { instance, incarnation: `${instance}-1`, dataCentre };
      const member: MemoryMember = { self, handlers: new Map() };
      members.set(instance, member);
      return createNetwork(member);
    },
  };
}
