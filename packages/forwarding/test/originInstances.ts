import { Err } from 'ts-results';
import { createManualClock } from '@pomeloroad/core';
import { createMemoryRowStore } from '@pomeloroad/storage';
import type { RowStore, RowTransaction } from '@pomeloroad/storage';
import { startStreamOrigins } from '../src/origins/streamOrigins';
import type { TakeUp } from '../src/origins/streamOrigins';
import { createTargetHistory } from '../src/origins/targetHistory';
import { createVersionHistory } from '../src/origins/versionHistory';
import { startVersionRows } from '../src/origins/versionRows';
import { createRouteTable } from '../src';
import type { EndpointRecord, ForwardConfiguration, Route } from '../src';

/** Where most streams begin. */
export const LLM_V1 = { service: 'llm', version: 'v1' };
/** Time after which nothing is remembered of a stream. */
export const REMEMBERED_MS = 16_000;

function createRecord(service: string, version: string | undefined): EndpointRecord {
  return {
    id: `${service}-${version}`,
    born: 1,
    sequence: 1,
    service,
    address: '10.0.0.1:80',
    dataCentre: 'kent',
    isLeaving: false,
    concurrency: 4,
    version,
  };
}

type Clock = ReturnType<typeof createManualClock>;

/** A route that sends the same share of its requests to each of the services. */
export function createRoute(services: string[], prefix = '/'): Route {
  const targets = services.map((service) => ({ service, weight: 1 }));
  return { host: 'a', prefix, isResumable: true, targets } as unknown as Route;
}

function createConfiguration(routes: Route[]): ForwardConfiguration {
  return { version: 1, routes, accounts: [], services: [] } as unknown as ForwardConfiguration;
}

/** Returns the clock of an instance whose time of day is ahead of that of others. */
export function shiftDay(clock: Clock, ahead: number): Clock {
  return { ...clock, now: () => new Date(clock.now().getTime() + ahead) };
}

/** Starts an instance that knows the given versions of one service; counts its calls to the store. */
export function startInstance(clock: Clock, store: RowStore, instance: string, names: string[]) {
  let calls = 0;
  let era = 1;
  let isStoreLost = false;
  let unread: (string | undefined)[] | undefined;
  const versions = createVersionHistory(clock);
  const targets = createTargetHistory(clock);
  const ending = new AbortController();
  const { signal } = ending;
  const versionRows = startVersionRows({ clock, rows: store, signal, versions });

  function setVersions(next: (string | undefined)[]): void {
    versions.update(next.map((version) => createRecord('llm', version)));
    versionRows.update();
  }

  setVersions(names);

  function count<Args extends unknown[], Result>(call: (...args: Args) => Promise<Result>) {
    return (...args: Args): Promise<Result> => {
      calls += 1;
      return call(...args);
    };
  }

  const rows: RowStore = {
    ...store,
    list: count(async (table: string, partition: string) =>
      isStoreLost
        ? Err({ kind: 'unavailable' as const, message: 'lost' })
        : store.list(table, partition),
    ),
    transact: count(async (change: RowTransaction) =>
      isStoreLost ? Err({ kind: 'unavailable' as const, message: 'lost' }) : store.transact(change),
    ),
  };
  const origins = startStreamOrigins({
    clock,
    rows,
    signal,
    instance,
    versions,
    targets,
    countInstances: () => 8,
    getEra: () => era,
    async refreshEndpoints() {
      if (unread) setVersions(unread);
      return !isStoreLost;
    },
    refreshVersions: async () => !isStoreLost && versionRows.refresh(),
    areVersionsLoaded: versionRows.isLoaded,
    areSeveralRecorded: versionRows.hasSeveral,
  });
  return {
    ...origins,
    setVersions,
    setRoutes: (...routes: Route[]) =>
      targets.update(createRouteTable(createConfiguration(routes))),
    countCalls: () => calls,
    /** Sets the versions that the next reading of the entries brings. */
    setUnread(next: (string | undefined)[]) {
      unread = next;
    },
    /** Tells that the store has come back from an older copy. */
    setEra(next: number) {
      era = next;
    },
    stop: () => ending.abort(),
    loseStore() {
      isStoreLost = true;
    },
  };
}

/** Starts an instance that remembers nothing from before its start. */
export async function startOne(names: string[]) {
  const clock = createManualClock();
  const store = createMemoryRowStore();
  const one = startInstance(clock, store, 'one', names);
  await clock.advance(REMEMBERED_MS);
  return { clock, store, one };
}

/** Starts two of them that share a store. */
export async function startTwo(names: string[]) {
  const clock = createManualClock();
  const store = createMemoryRowStore();
  const one = startInstance(clock, store, 'one', names);
  const two = startInstance(clock, store, 'two', names);
  await clock.advance(REMEMBERED_MS);
  return { clock, store, one, two };
}

/** Resolves to where the stream may go on. */
export async function find(
  clock: Clock,
  { find: findOrigin }: ReturnType<typeof startInstance>,
  stream: string,
  services = ['llm'],
): Promise<TakeUp> {
  const found = findOrigin(stream, services, createRoute(services));
  await clock.advance(2000);
  return found;
}
