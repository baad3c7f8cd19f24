import { randomBytes } from 'node:crypto';
import { hashText } from '@pomeloroad/core';
import { createSuccess } from './output';
import type { CommandResult } from './output';

const SECRET_BYTES = 24;
const SECRET_PREFIX = 'pk-';

/**
 * Creates a random caller's key. The caller gets the secret; the configuration file holds only its
 * hash.
 */
export function createKey(): CommandResult {
  const secret = SECRET_PREFIX + randomBytes(SECRET_BYTES).toString('base64url');
  const hash = hashText(secret);
  return createSuccess(`secret: ${secret}\nhash:   ${hash}`, { secret, hash });
}

/** Returns the hash of an existing secret, for the configuration file. */
export function hashKey(secret: string): CommandResult {
  const hash = hashText(secret);
  return createSuccess(hash, { hash });
}
