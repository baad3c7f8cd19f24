import { Err } from 'ts-results';
import { sleep } from '@pomeloroad/core';
import type { Clock, Milliseconds, Random } from '@pomeloroad/core';
import type { RowStore } from '@pomeloroad/storage';
import { startSharedFeed } from '../src/store/sharedFeed';
import type { EndpointLosses } from '../src/store/endpointLosses';
import { startSuspects } from '../src/suspects/suspects';
import type { Suspects } from '../src/suspects/suspects';

/** An instance of a modelled fleet, with real suspects. */
export interface Instance {
  suspects: Suspects;
  stop: AbortController;
  /** Whether it is cut off from the store. */
  isCut: boolean;
  /** Time from which on the instance is in touch again. */
  calmFrom: Milliseconds;
}

/** What the instances of a fleet share. */
export interface SharedParts {
  clock: Clock;
  random: Random;
  memory: RowStore;
  losses: EndpointLosses;
  /** Time that a call of the store takes. */
  storeCall: Milliseconds;
}

/** Starts an instance on the store that all share. */
export function startInstance(shared: SharedParts, calmFrom: Milliseconds): Instance {
  const { clock, random, memory, losses, storeCall } = shared;
  const stop = new AbortController();
  async function call<T>(answer: () => Promise<T>) {
    await sleep(clock, storeCall);
    return instance.isCut ? Err({ kind: 'unavailable' as const, message: 'cut' }) : answer();
  }
  const rows: RowStore = {
    transact: (...args) => call(() => memory.transact(...args)),
    list: (...args) => call(() => memory.list(...args)),
    follow: (...args) => call(() => memory.follow(...args)),
  };
  const following = { clock, log: () => undefined, rows, signal: stop.signal };
  const known = {
    mayHaveOthers: losses.mayHaveOthers,
    getViewTime: () => (instance.isCut ? -Infinity : clock.elapsed()),
  };
  const host = { ...following, feed: startSharedFeed(following), random, losses: known };
  const instance: Instance = { stop, isCut: false, calmFrom, suspects: null! };
  instance.suspects = startSuspects(host);
  return instance;
}
