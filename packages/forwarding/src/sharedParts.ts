import type { PromptPart } from '@pomeloroad/routing';

/** Returns the ids of the parts of a prompt that other requests share: all but the last one. */
export function getSharedParts({ prefix }: { prefix: PromptPart[] }): string[] {
  return [...new Set(prefix.slice(0, -1).map(({ id }) => id))];
}
