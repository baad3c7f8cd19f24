import { isSameText, signText } from '@pomeloroad/core';
import type { Identity } from '@pomeloroad/core';

/** The two ends of a connection. */
export type Side = 'dialer' | 'listener';

/** Proves knowledge of the fleet key for this connection and identity. */
export function createProof(
  fleetKey: string,
  side: Side,
  listenerNonce: string,
  dialerNonce: string,
  identity: Identity,
): string {
  const parts = [side, listenerNonce, dialerNonce];
  const names = [identity.instance, identity.incarnation, identity.dataCentre];
  return signText(fleetKey, JSON.stringify([...parts, ...names]));
}

/** Whether the proof was made with the same fleet key. */
export function isProof(proof: unknown, expected: string): boolean {
  return typeof proof === 'string' && isSameText(proof, expected);
}
