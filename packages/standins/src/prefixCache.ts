import { hashText } from '@pomeloroad/core';
import type { Clock, Milliseconds } from '@pomeloroad/core';

/** Size of a cache block in characters of the prompt. */
export const BLOCK_CHARACTERS = 256;

/** A block that the cache stored or evicted. */
export interface CacheEvent {
  /** Increases by one with each event of a cache. */
  sequence: number;
  kind: 'stored' | 'evicted';
  block: string;
}

/** A cache of prompt prefixes with a limited number of blocks and LRU eviction. */
export interface PrefixCache {
  /** Stores the full blocks of a prompt; returns how many leading characters were cached before. */
  lookUpAndInsert(prompt: string): number;
  /** Returns the published events with sequence numbers above `after`. */
  events(after: number): CacheEvent[];
}

/** Capacity of a prefix cache and publication of its events. */
export interface PrefixCacheOptions {
  capacityBlocks: number;
  /** Number of latest events that are kept; a reader that falls further behind misses events. */
  eventLimit: number;
  /** Delay until an event is published. */
  eventLag: Milliseconds;
}

/** Creates an empty prefix cache. */
export function createPrefixCache(clock: Clock, options: PrefixCacheOptions): PrefixCache {
  const { capacityBlocks, eventLimit, eventLag } = options;
  const blocks = new Set<string>();
  let events: (CacheEvent & { at: Milliseconds })[] = [];
  let sequence = 0;

  function recordEvent(kind: CacheEvent['kind'], block: string): void {
    sequence += 1;
    events.push({ sequence, kind, block, at: clock.elapsed() });
    if (events.length > eventLimit) events = events.slice(-eventLimit);
  }

  function touch(block: string): void {
    const isNew = !blocks.delete(block);
    blocks.add(block);
    if (isNew) recordEvent('stored', block);
    const [oldest] = blocks;
    if (blocks.size > capacityBlocks && oldest !== undefined) {
      blocks.delete(oldest);
      recordEvent('evicted', oldest);
    }
  }

  return {
    lookUpAndInsert(prompt) {
      const prefixBlocks = hashPrefixBlocks(prompt);
      const firstMiss = prefixBlocks.findIndex((block) => !blocks.has(block));
      const hitCount = firstMiss === -1 ? prefixBlocks.length : firstMiss;
      prefixBlocks.forEach(touch);
      return hitCount * BLOCK_CHARACTERS;
    },
    events(after) {
      const latestPublished = clock.elapsed() - eventLag;
      const published = events.filter(
        (event) => event.sequence > after && event.at <= latestPublished,
      );
      return published.map(({ sequence: eventSequence, kind, block }) => ({
        sequence: eventSequence,
        kind,
        block,
      }));
    },
  };
}

/** Names each full block of a prompt by a hash of the prompt up to the end of the block. */
export function hashPrefixBlocks(prompt: string): string[] {
  const count = Math.floor(prompt.length / BLOCK_CHARACTERS);
  return Array.from({ length: count }, (_, index) =>
    hashText(prompt.slice(0, (index + 1) * BLOCK_CHARACTERS)).slice(0, 16),
  );
}
