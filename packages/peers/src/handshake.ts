import { isSameText, signText } from '@pomeloroad/core';
import type { Identity } from '@pomeloroad/core';

/** End of a connection: the dialer opened it, the listener accepted it. */
export type ConnectionSide = 'dialer' | 'listener';

/**
 * Returns an HMAC that proves knowledge of the fleet key. It covers the side and both nonces, so that
 * it is valid for one end of one connection only, and the identity of that end.
 */
export function createProof(
  fleetKey: string,
  side: ConnectionSide,
  listenerNonce: string,
  dialerNonce: string,
  identity: Identity,
): string {
  const parts = [side, listenerNonce, dialerNonce];
  const names = [identity.instance, identity.incarnation, identity.dataCentre];
  return signText(fleetKey, JSON.stringify([...parts, ...names]));
}

/** Whether a received proof equals the expected one, compared in constant time. */
export function isValidProof(proof: unknown, expected: string): boolean {
  return typeof proof === 'string' && isSameText(proof, expected);
}
