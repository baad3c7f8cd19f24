import type { EndpointRecord } from '../types';

/** Maximum number of incarnations whose deaths are counted; the one that died first is forgotten first. */
const INCARNATIONS_MAX = 1000;

/** Names of the processes that follow each other behind one entry, which may stay after its process has died. */
export interface ProcessNames {
  /** Returns the name of the process that an attempt reaches which is sent now. */
  get(endpoint: EndpointRecord): string;
  /** Notes that the process of this name has died, so that what answers from now on is another one. */
  noteDeath(endpoint: EndpointRecord, name: string): void;
}

/** Creates the names of processes none of which has died. */
export function createProcessNames(): ProcessNames {
  const deaths = new Map<string, number>();

  function get(endpoint: EndpointRecord): string {
    const incarnation = getIncarnation(endpoint);
    const count = deaths.get(incarnation);
    return count === undefined ? incarnation : `${incarnation}+${count}`;
  }

  return {
    get,
    noteDeath(endpoint, name) {
      if (get(endpoint) !== name) return;
      const incarnation = getIncarnation(endpoint);
      deaths.set(incarnation, (deaths.get(incarnation) ?? 0) + 1);
      const [first] = deaths.keys();
      if (deaths.size > INCARNATIONS_MAX && first !== undefined) deaths.delete(first);
    },
  };
}

/** Returns the name of an endpoint's incarnation, which is the same at all instances. */
export function getIncarnation({ id, born }: Pick<EndpointRecord, 'id' | 'born'>): string {
  return `${id}/${born}`;
}
