import type { Random } from '@pomeloroad/core';

/** Returns one of the items at random. */
export function draw<T>(random: Random, items: readonly T[]): T {
  return items[random.integer(0, items.length - 1)] as T;
}
