import { randomBytes } from 'node:crypto';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Random } from './types';

const FRACTION_STEPS = 2 ** 31;

/** Creates a reproducible source: the same seed gives the same numbers. */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return {
    integer: (from, to) => uniformInt(generator, from, to),
    fraction: () => uniformInt(generator, 0, FRACTION_STEPS - 1) / FRACTION_STEPS,
  };
}

/** Creates a source seeded by the operating system. */
export function createSystemRandom(): Random {
  return createRandom(randomBytes(4).readInt32LE(0));
}

/** Returns an unguessable identifier of 16 base64url characters. */
export function createId(): string {
  return randomBytes(12).toString('base64url');
}
