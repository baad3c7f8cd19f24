import { hashText } from '@pomeloroad/core';

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

/** Creates an empty cache. Events carry on from the newest ones kept, so readers see gaps. */
export function createPrefixCache(capacityBlocks: number, eventsKept: number): PrefixCache {
  const blocks = new Set<string>();
  let events: CacheEvent[] = [];
  let sequence = 0;

  function publish(kind: CacheEvent['kind'], block: string): void {
    sequence += 1;
    events.push({ sequence, kind, block });
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
    events: (after) => events.filter((event) => event.sequence > after),
  };
}

/** Names of the blocks that a prompt fills, each covering the prompt from its start. */
export function getBlocks(prompt: string): string[] {
  const count = Math.floor(prompt.length / BLOCK_CHARACTERS);
  return Array.from({ length: count }, (_, index) =>
    hashText(prompt.slice(0, (index + 1) * BLOCK_CHARACTERS)).slice(0, 16),
  );
}
