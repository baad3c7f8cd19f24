import { createManualClock } from '@pomeloroad/core';
import { createMemoryRowStore } from '@pomeloroad/storage';
import { createOriginMemory } from '../src/origins/originMemory';
import { decodeOrigins, getOriginKey } from '../src/origins/originRows';
import type { OriginsByName } from '../src/origins/originRows';
import { startOriginWriter } from '../src/origins/originWriter';

const ORIGIN = { service: 'llm', version: 'v1' };

// Returns the names of the streams in the row of the instance.
async function listRecorded(store: ReturnType<typeof createMemoryRowStore>): Promise<string[]> {
  const key = getOriginKey('one');
  const view = await store.list(key.table, key.partition);
  const origins: OriginsByName = new Map();
  if (view.ok) view.val.rows.forEach(({ value }) => decodeOrigins(value, origins));
  return [...origins.keys()];
}

const LISTINGS = [1, 2];
const TURNS = [0, 1, 2, 3, 4];

test.each(LISTINGS.flatMap((listing) => TURNS.map((turns) => [turns, listing])))(
  'a stream that begins %d microtasks after listing %d of the streams is recorded too',
  async (turns, listing) => {
    const clock = createManualClock();
    const store = createMemoryRowStore();
    const memory = createOriginMemory(clock);
    let listings = 0;

    async function begin() {
      for (let turn = 0; turn < turns; turn += 1) await Promise.resolve();
      memory.set('second', ORIGIN);
      writer.note();
    }

    const writer = startOriginWriter({
      clock,
      rows: store,
      signal: new AbortController().signal,
      instance: 'one',
      memory: {
        ...memory,
        list() {
          const listed = memory.list();
          if (listed.length > 0) listings += 1;
          if (listings === listing && !memory.find('second')) queueMicrotask(begin);
          return listed;
        },
      },
      countInstances: () => 8,
      getEra: () => 1,
      isNeeded: () => true,
    });
    await clock.advance(1000);
    memory.set('first', ORIGIN);
    writer.note();
    await clock.advance(1000);
    expect(await listRecorded(store)).toEqual(['first', 'second']);
  },
);
