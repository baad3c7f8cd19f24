import { hashText } from '@pomeloroad/core';
import type { PromptPart } from '@pomeloroad/routing';

/** Longest name of a part; a row's key may have 200 bytes. */
const NAME_LENGTH_MAX = 64;

/**
 * Returns the names of the parts of a prompt that other requests share: all but the last one. Ids are
 * hexadecimal, so their case does not matter.
 */
export function getSuspectNames({ prefix }: { prefix: PromptPart[] }): string[] {
  return [...new Set(prefix.slice(0, -1).map(({ id }) => getPartName(id)))];
}

function getPartName(id: string): string {
  const name = id.toLowerCase();
  const isShort = Buffer.byteLength(name) <= NAME_LENGTH_MAX;
  return isShort ? name : hashText(name);
}
