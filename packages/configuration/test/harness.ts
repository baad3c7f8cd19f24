import { Err, Ok } from 'ts-results';
import { createManualClock, createSilentLog } from '@pomeloroad/core';
import type { Identity } from '@pomeloroad/core';
import { createMemoryFleet } from '@pomeloroad/peers';
import { createMemoryTable } from '@pomeloroad/storage';
import type { ObjectStore, Table } from '@pomeloroad/storage';
import { applyConfiguration, createConfigurationStore, createDistributor } from '../src';

/**
 * Creates instances that share a table and an object store in memory. Each has a data centre of its
 * own, unless `site` names one for all.
 */
export function setUp(instances: string[], site?: string) {
  const clock = createManualClock();
  const memory = createMemoryTable();
  const fleet = createMemoryFleet();
  const withoutPlatform = new Set<string>();
  const objects = new Map<string, string>();
  const selves: Identity[] = [];
  let isNextReadLost = false;

  function join(instance: string) {
    const network = fleet.join(instance, site ?? instance);
    selves.push(network.self);
    const isCutOff = () => withoutPlatform.has(instance);
    const down = Err({ kind: 'unavailable' as const, ran: 'no' as const, message: 'down' });
    const table: Table = {
      commit: async (transaction) => (isCutOff() ? down : memory.commit(transaction)),
      async read(keys) {
        const isLost = isNextReadLost;
        isNextReadLost = false;
        return isCutOff() || isLost ? down : memory.read(keys);
      },
      scan: async (prefix) => (isCutOff() ? down : memory.scan(prefix)),
    };
    const objectStore: ObjectStore = {
      async put(name, body) {
        if (isCutOff()) return down;
        objects.set(name, body);
        return Ok.EMPTY;
      },
      get: async (name) => (isCutOff() ? down : Ok(objects.get(name))),
      list: async () => Ok([...objects.keys()]),
    };
    const store = createConfigurationStore(clock, table, objectStore);
    const distributor = createDistributor({
      clock,
      log: createSilentLog(),
      self: network.self,
      network,
      store,
      getLocalInstances: () =>
        selves.filter((peer) => peer.dataCentre === network.self.dataCentre).map(toName),
      getInstances: () => selves.filter((peer) => network.isConnected(peer.instance)),
      onChange: () => undefined,
    });
    const host = { store, distributor, listInstances: async () => Ok([...selves]) };
    const apply = (text: string, base: number) => applyConfiguration(host, base, text, instance);
    const models = () => distributor.getConfiguration()?.pools.map((pool) => pool.model);
    return { store, distributor, apply, models };
  }

  const members = instances.map((instance) => ({ instance, ...join(instance) }));
  const pollAll = async () => {
    for (const { distributor } of members) await distributor.poll();
  };
  const failNextRead = () => {
    isNextReadLost = true;
  };
  return { clock, fleet, withoutPlatform, members, join, pollAll, failNextRead };
}

/** Instances that share a table and an object store, and the means to cut them off. */
export type Setup = ReturnType<typeof setUp>;

function toName(peer: Identity): string {
  return peer.instance;
}
