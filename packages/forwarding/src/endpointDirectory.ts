import { Diagnostics } from '@pomeloroad/core';
import type { Clock, Log, Milliseconds } from '@pomeloroad/core';
import type { Endpoint } from '@pomeloroad/configuration';
import type { EndpointRecord } from './types';

/**
 * How long an entry that is missing after an outage of the store may still come back: entries lapse
 * while endpoints can't renew them, and live endpoints renew within about two seconds.
 */
const RENEWAL_MS: Milliseconds = 2200;
/** The same for one whose removal the feed tells: it may as well be leaving. */
const REMOVED_MS: Milliseconds = 900;

/** What the directory needs from its surroundings. */
export interface DirectoryHost {
  clock: Clock;
  log: Log;
  /** Called when the endpoints in use may have changed. */
  onChange(): void;
}

/** The endpoints that may be used, by their own entries in the store. */
export interface EndpointDirectory {
  /** Takes over a whole reading. */
  replaceAll(records: EndpointRecord[]): void;
  take(record: EndpointRecord): void;
  remove(id: string): void;
  /** Another endpoint answers at its address: it is not used again in this life. */
  noteReplaced(record: EndpointRecord): void;
  /** The store did not answer; entries that lapse meanwhile may come back. */
  noteOutage(): void;
  /** The store answers again. */
  noteReturn(): void;
  /** Endpoints for placement; those that leave stay listed as leaving. */
  list(): Endpoint[];
  find(name: string): EndpointRecord | undefined;
  isLoaded(): boolean;
}

interface Entry {
  record: EndpointRecord;
  isListed: boolean;
  /** Until when an entry that is not listed is still used. */
  usableUntil: Milliseconds;
}

/** Creates an empty directory. */
export function createEndpointDirectory(host: DirectoryHost): EndpointDirectory {
  const { clock, log } = host;
  const entries = new Map<string, Entry>();
  let isAway = false;
  let returnedAt: Milliseconds = -Infinity;
  let isLoaded = false;

  // Returns whether anything changed that matters to placement.
  function accept(record: EndpointRecord): boolean {
    const known = entries.get(record.id);
    if (known && isOlder(record, known.record)) return false;
    const isSameLife = known?.record.born === record.born;
    const isLeaving = record.isLeaving || (isSameLife && known.record.isLeaving);
    entries.set(record.id, {
      record: { ...record, isLeaving },
      isListed: true,
      usableUntil: Infinity,
    });
    if (known?.isListed && isSameLife && known.record.isLeaving === isLeaving) return false;
    const { id, born, sequence, address, service } = record;
    const event = isLeaving ? Diagnostics.endpointLeaving : Diagnostics.endpointListed;
    log(event, { endpoint: id, born, sequence, address, service });
    return true;
  }

  function drop(id: string, longest: Milliseconds): boolean {
    const known = entries.get(id);
    if (!known?.isListed) return false;
    known.isListed = false;
    known.usableUntil = Math.min(returnedAt + RENEWAL_MS, clock.elapsed() + longest);
    const left = known.usableUntil - clock.elapsed();
    const mayReturn = left > 0;
    const { born, sequence } = known.record;
    log(Diagnostics.endpointUnlisted, { endpoint: id, born, sequence, mayReturn });
    if (mayReturn) clock.after(left, () => giveUp(id, known));
    return true;
  }

  // The timer decides, not the clock: it may fire a little before its time.
  function giveUp(id: string, entry: Entry): void {
    if (entries.get(id) !== entry || entry.isListed) return;
    entries.set(id, { ...entry, usableUntil: -Infinity });
    host.onChange();
  }

  function isUsable({ record, isListed, usableUntil }: Entry): boolean {
    return !record.isLeaving && (isListed || clock.elapsed() < usableUntil);
  }

  return {
    replaceAll(records) {
      isLoaded = true;
      const listed = new Set(records.map((record) => record.id));
      const gone = [...entries.keys()].filter((id) => !listed.has(id));
      const changes = [...records.map(accept), ...gone.map((id) => drop(id, RENEWAL_MS))];
      if (changes.some(Boolean)) host.onChange();
    },
    take(record) {
      if (accept(record)) host.onChange();
    },
    remove(id) {
      if (drop(id, REMOVED_MS)) host.onChange();
    },
    noteReplaced({ id, born }) {
      const known = entries.get(id);
      if (known?.record.born !== born || known.record.isLeaving) return;
      known.record = { ...known.record, isLeaving: true };
      log(Diagnostics.endpointUnlisted, { endpoint: id, born, isReplaced: true });
      host.onChange();
    },
    noteOutage() {
      isAway = true;
    },
    noteReturn() {
      if (isAway) returnedAt = clock.elapsed();
      isAway = false;
    },
    list: () => [...entries.values()].map((entry) => toEndpoint(entry.record, !isUsable(entry))),
    find: (name) => [...entries.values()].find(({ record }) => getName(record) === name)?.record,
    isLoaded: () => isLoaded,
  };
}

// An entry of an earlier life, or one that was overtaken within a life.
function isOlder(record: EndpointRecord, known: EndpointRecord): boolean {
  if (record.born !== known.born) return record.born < known.born;
  return record.sequence < known.sequence;
}

// Each life of an endpoint is an endpoint of its own: nothing known of the last one holds.
function getName({ id, born }: EndpointRecord): string {
  return `${id}/${born}`;
}

function toEndpoint(record: EndpointRecord, leaving: boolean): Endpoint {
  const { service, address, dataCentre, concurrency } = record;
  return {
    kind: 'service',
    name: getName(record),
    service,
    address,
    dataCentre,
    concurrency,
    leaving,
    checksFencing: false,
  };
}
