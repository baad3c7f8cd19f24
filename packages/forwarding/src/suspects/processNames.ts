import type { EndpointRecord } from '../types';

/** Maximum number of entries and of processes that are remembered; the first ones are forgotten first. */
const REMEMBERED_MAX = 1000;

/** A process behind an entry, which may stay after its process has died. */
export interface ProcessName {
  /** The same at all instances that know as much of the entry's processes. */
  name: string;
  /** The latest start that was told for the entry, by itself or by the process at its address. */
  start: number;
}

/** Names of the processes that follow each other behind one entry. */
export interface ProcessNames {
  /** Returns the process that an attempt reaches which is sent now, as far as it is known. */
  get(endpoint: EndpointRecord): ProcessName;
  /** Notes the start that the process at the entry's address has told. */
  noteStart(endpoint: EndpointRecord, start: number): void;
  /** Notes that this process has died, so that what answers from now on is another one. */
  noteDeath(endpoint: EndpointRecord, process: ProcessName): void;
}

/** Creates the names of processes none of which has died. */
export function createProcessNames(): ProcessNames {
  const starts = new Map<string, number>();
  const deaths = new Map<string, number>();

  function getName(id: string, start: number): string {
    const incarnation = getIncarnation({ id, born: start });
    const count = deaths.get(incarnation);
    return count === undefined ? incarnation : `${incarnation}+${count}`;
  }

  return {
    get(endpoint) {
      const start = starts.get(getIncarnation(endpoint)) ?? endpoint.born;
      return { name: getName(endpoint.id, start), start };
    },
    noteStart(endpoint, start) {
      remember(starts, getIncarnation(endpoint), start);
    },
    noteDeath({ id }, { name, start }) {
      if (getName(id, start) !== name) return;
      const incarnation = getIncarnation({ id, born: start });
      remember(deaths, incarnation, (deaths.get(incarnation) ?? 0) + 1);
    },
  };
}

function remember(memory: Map<string, number>, key: string, value: number): void {
  memory.set(key, value);
  const [first] = memory.keys();
  if (memory.size > REMEMBERED_MAX && first !== undefined) memory.delete(first);
}

/** Returns the name of an endpoint's incarnation, which is the same at all instances. */
export function getIncarnation({ id, born }: Pick<EndpointRecord, 'id' | 'born'>): string {
  return `${id}/${born}`;
}
