import { Err } from 'ts-results';
import { createManualClock, createRandom, sleep } from '@pomeloroad/core';
import type { Diagnostic, LogFields, Milliseconds } from '@pomeloroad/core';
import { createMemoryRowStore } from '@pomeloroad/storage';
import type { RowStore, RowTransaction } from '@pomeloroad/storage';
import { createEndpointLosses } from '../src/store/endpointLosses';
import { startSharedFeed } from '../src/store/sharedFeed';
import { startSuspects } from '../src/suspects/suspects';

/** Instances over one store, whose answers may be lost for each instance by itself. */
export function createStand(count: number) {
  const clock = createManualClock();
  const memory = createMemoryRowStore();
  const calls = { transactions: 0 };
  let waiters: (() => void)[] = [];
  const losses = createEndpointLosses(clock);
  const instances = Array.from({ length: count }, (_, index) => start(index));

  // Answers as soon as there is a change, or after the wait.
  async function follow(table: string, after: number, wait: Milliseconds) {
    const view = await memory.follow(table, after, wait);
    if (view.err || view.val.changes.length > 0) return view;
    const changed = new Promise<void>((resolve) => {
      waiters.push(resolve);
    });
    await Promise.race([changed, sleep(clock, wait)]);
    return memory.follow(table, after, wait);
  }

  async function transact(transaction: RowTransaction, answerDelay: Milliseconds) {
    calls.transactions += 1;
    const result = await memory.transact(transaction);
    waiters.forEach((resolve) => resolve());
    waiters = [];
    if (answerDelay > 0) await sleep(clock, answerDelay);
    return result;
  }

  function start(seed: number) {
    const link = { isCut: false, answerDelay: 0 };
    const lines: LogFields[] = [];
    const fail = async () => Err({ kind: 'unavailable' as const, message: 'cut' });
    const rows: RowStore = {
      transact: (transaction) => (link.isCut ? fail() : transact(transaction, link.answerDelay)),
      list: (...args) => (link.isCut ? fail() : memory.list(...args)),
      follow: (...args) => (link.isCut ? fail() : follow(...args)),
    };
    const stop = new AbortController();
    const following = {
      clock,
      log: (event: Diagnostic, fields: LogFields = {}) =>
        lines.push({ code: event.code, ...fields }),
      rows,
      signal: stop.signal,
    };
    const suspects = startSuspects({
      ...following,
      feed: startSharedFeed(following),
      random: createRandom(seed + 1),
      losses: { ...losses, getViewTime: clock.elapsed },
    });
    return { ...suspects, link, lines, stop };
  }

  const crash = (index: number, incarnation: string, names: string[]) =>
    instances[index]?.noteCrash({ incarnation, names: new Map(names.map((name) => [name, 1])) });
  const judgeAll = (name: string) => instances.map(({ judge }) => judge([name]));
  return { clock, memory, calls, losses, instances, start, crash, judgeAll };
}
