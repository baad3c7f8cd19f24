import { hashText } from '@pomeloroad/core';
import type { Clock, Milliseconds } from '@pomeloroad/core';

/** Characters of a prompt that one cache block covers. */
export const BLOCK_CHARACTERS = 256;

/** Says which blocks were stored or dropped. */
export interface CacheEvent {
  sequence: number;
  kind: 'stored' | 'evicted';
  block: string;
}

/** A limited cache of prompt prefixes, least recently used first out. */
export interface PrefixCache {
  /** Characters of the prompt's start that were cached; the whole prompt is cached after that. */
  use(prompt: string): number;
  /** Events after a sequence number, as far as they are published. */
  events(after: number): CacheEvent[];
}

/** Limits of a cache and of what it tells about itself. */
export interface PrefixCacheOptions {
  capacityBlocks: number;
  /** Events kept; readers that are slower see gaps. */
  eventsKept: number;
  /** Age that an event must have to be published. */
  eventLag: Milliseconds;
}

/** Creates an empty cache. */
export function createPrefixCache(clock: Clock, options: PrefixCacheOptions): PrefixCache {
  const { capacityBlocks, eventsKept, eventLag } = options;
  const blocks = new Set<string>();
  let events: (CacheEvent & { at: Milliseconds })[] = [];
  let sequence = 0;

  function publish(kind: CacheEvent['kind'], block: string): void {
    sequence += 1;
    events.push({ sequence, kind, block, at: clock.elapsed() });
    if (events.length > eventsKept) events = events.slice(-eventsKept);
  }

  function touch(block: string): void {
    const isNew = !blocks.delete(block);
    blocks.add(block);
    if (isNew) publish('stored', block);
    const [oldest] = blocks;
    if (blocks.size > capacityBlocks && oldest !== undefined) {
      blocks.delete(oldest);
      publish('evicted', oldest);
    }
  }

  return {
    use(prompt) {
      const prefixes = getBlocks(prompt);
      const miss = prefixes.findIndex((block) => !blocks.has(block));
      const hits = miss === -1 ? prefixes.length : miss;
      prefixes.forEach(touch);
      return hits * BLOCK_CHARACTERS;
    },
    events(after) {
      const newest = clock.elapsed() - eventLag;
      const published = events.filter((event) => event.sequence > after && event.at <= newest);
      return published.map(({ sequence: number, kind, block }) => ({
        sequence: number,
        kind,
        block,
      }));
    },
  };
}

/** Names of the blocks that a prompt fills, each covering the prompt from its start. */
export function getBlocks(prompt: string): string[] {
  const count = Math.floor(prompt.length / BLOCK_CHARACTERS);
  return Array.from({ length: count }, (_, index) =>
    hashText(prompt.slice(0, (index + 1) * BLOCK_CHARACTERS)).slice(0, 16),
  );
}
