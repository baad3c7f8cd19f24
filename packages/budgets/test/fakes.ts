import { Err, Ok } from 'ts-results';
import type { Identity } from '@pomeloroad/core';
import type { Handler, PeerNetwork, Topic } from '@pomeloroad/peers';

/** Peers in one process; some may be out of reach. */
export interface FakeFleet {
  join(instance: string, dataCentre?: string): PeerNetwork & { self: Identity };
  cut: Set<string>;
}

/** Creates a fleet of networks that call each other directly. */
export function createFakeFleet(): FakeFleet {
  const members = new Map<string, { self: Identity; handlers: Map<string, Handler<any, any>> }>();
  const cut = new Set<string>();

  function isReachable(from: string, to: string): boolean {
    return from === to || (members.has(to) && !cut.has(from) && !cut.has(to));
  }

  return {
    cut,
    join(instance, dataCentre = 'kent') {
      const self = { instance, incarnation: `${instance}-1`, dataCentre };
      const handlers = new Map<string, Handler<any, any>>();
      members.set(instance, { self, handlers });
      return {
        self,
        listen: async () => '127.0.0.1:1',
        async call<Request, Reply>(to: string, topic: Topic<Request, Reply>, request: Request) {
          const target = members.get(to);
          const handler = target?.handlers.get(topic.name);
          if (!isReachable(instance, to) || !handler) {
            return Err({ kind: 'unreachable', ran: 'no', message: `no connection to ${to}` });
          }
          return Ok((await handler(self, structuredClone(request))) as Reply);
        },
        handle: (topic, handler) => handlers.set(topic.name, handler),
        setPeers: () => undefined,
        isConnected: (other) => isReachable(instance, other),
        getIdentity: (other) =>
          isReachable(instance, other) ? members.get(other)?.self : undefined,
        onConnect: () => undefined,
        onDisconnect: () => undefined,
        describe: () => [],
        close: async () => undefined,
      };
    },
  };
}
