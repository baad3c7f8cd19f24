import type { TunnelAddress } from '@pomeloroad/peers';
import { createDialer } from './dialer';
import type { Dialer, DialerHost } from './dialer';
import { startRelayDirectory } from './relayDirectory';
import type { RelayDirectory, RelayDirectoryHost } from './relayDirectory';

/** Dependencies of reaching endpoints by all paths. */
export interface EndpointPathsHost
  extends
    Omit<RelayDirectoryHost, 'self' | 'onGone'>,
    Omit<DialerHost, 'listRelays' | 'onReachChange'> {
  /** Name of this instance. */
  instance: string;
  /** Where this instance carries connections for others, if it does. */
  relay: TunnelAddress | undefined;
}

/** The paths to endpoints: this instance's own, and those through other instances. */
export interface EndpointPaths {
  relays: RelayDirectory;
  dialer: Dialer;
}

/** Announces this instance as a relay, and starts following the others and using their paths. */
export function startEndpointPaths(host: EndpointPathsHost): EndpointPaths {
  const { instance, dataCentre, relay } = host;
  const relays = startRelayDirectory({
    ...host,
    self: relay && { instance, dataCentre, ...relay },
    onGone: (name) => dialer.retireRelay(name),
  });
  const dialer = createDialer({
    ...host,
    listRelays: relays.list,
    onReachChange: relays.setCutOff,
  });
  return { relays, dialer };
}
