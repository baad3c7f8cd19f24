import { readFileSync } from 'node:fs';
import type { Identity } from '@pomeloroad/core';
import { createPeerNetwork } from '@pomeloroad/peers';
import type { NetworkHost, PeerNetwork } from '@pomeloroad/peers';
import type { Settings } from './settings';

/** Creates an instance's connections to its peers, with the files that the settings name; it does not listen yet. */
export function createInstanceNetwork(
  host: NetworkHost,
  self: Identity,
  settings: Settings,
): PeerNetwork {
  return createPeerNetwork(host, {
    self,
    address: settings.peersAddress,
    fleetKey: settings.fleetKey,
    certificate: readCertificate(settings.peersTlsCert, settings.peersTlsKey),
    authority: readOptionalFile(settings.peersTlsAuthority),
    sourceAddress: settings.sourceAddress || undefined,
  });
}

/** Reads a certificate and its key; returns `undefined` if no file is named. */
export function readCertificate(
  cert: string,
  key: string,
): { cert: string; key: string } | undefined {
  if (cert === '') return undefined;
  return { cert: readFileSync(cert, 'utf8'), key: readFileSync(key, 'utf8') };
}

function readOptionalFile(path: string): string | undefined {
  return path === '' ? undefined : readFileSync(path, 'utf8');
}
