import type { ConnectError } from '@pomeloroad/core';
import type { TunnelFailure } from './tunnels';

/** Why one way to an endpoint opened no connection: the own path or that of a relay. */
export type DialFailure =
  { kind: 'own'; error: ConnectError } | { kind: 'relay'; error: TunnelFailure };

/** Whether a relay says that the endpoint refuses connections. */
export function isRefusedByRelay(failures: DialFailure[]): boolean {
  return failures.some(({ kind, error }) => kind === 'relay' && error === 'refused');
}

/**
 * Returns the error for an endpoint to which all ways have failed. Nothing listens at an address if a relay
 * says so, or if no relay could be asked.
 */
export function toConnectError(failures: DialFailure[], isReachLost: boolean): ConnectError {
  const own = failures.find((failure) => failure.kind === 'own');
  const told = failures.filter((failure) => failure.kind === 'relay').map(({ error }) => error);
  const message = own?.error.message ?? 'no way to the endpoint';
  if (told.includes('refused')) return { kind: 'refused', message };
  if (isReachLost && told.includes('late')) return { kind: 'late', message };
  if (own?.error.kind === 'late') return { kind: 'late', message };
  const hasPathDoubt = isReachLost || told.includes('no-path');
  return { kind: own?.error.kind === 'refused' && !hasPathDoubt ? 'refused' : 'failed', message };
}
