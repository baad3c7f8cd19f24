import { hashText } from '@pomeloroad/core';
import type { ForwardRequest } from '../types';

/** Longest name of a part; a row's key may have 200 bytes. */
const PART_NAME_LENGTH_MAX = 64;
/** Names of parts hold no colon, because it separates a part's id from its size. */
const REQUEST_NAME_START = 'request:';

/** What of a request may be shared with others. */
type SharedFields = Pick<ForwardRequest<unknown>, 'prefix' | 'fingerprint'>;

/**
 * Returns the names of what a request shares with others that may crash endpoints: the parts of its prompt,
 * and the request itself, which may come again.
 */
export function getSuspectNames(request: SharedFields): string[] {
  return [...getSharedParts(request), `${REQUEST_NAME_START}${request.fingerprint}`];
}

/**
 * Returns the names of the parts of a prompt that other requests share: all but the last one. Ids are
 * hexadecimal, so their case does not matter.
 */
export function getSharedParts({ prefix }: Pick<SharedFields, 'prefix'>): string[] {
  return [...new Set(prefix.slice(0, -1).map(({ id }) => getPartName(id)))];
}

/** Whether the name is one of a whole request; else it is one of a part of prompts. */
export function isRequestName(name: string): boolean {
  return name.startsWith(REQUEST_NAME_START);
}

function getPartName(id: string): string {
  const name = id.toLowerCase();
  const isShort = Buffer.byteLength(name) <= PART_NAME_LENGTH_MAX;
  return isShort ? name : hashText(name);
}
