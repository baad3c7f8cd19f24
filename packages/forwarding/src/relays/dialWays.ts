import { match } from 'ts-pattern';
import { Diagnostics } from '@pomeloroad/core';
import type { Clock, ConnectError, Connection, Log, Milliseconds, Outcome } from '@pomeloroad/core';
import type { EndpointRecord } from '../types';
import type { DialFailure } from './dialFailures';
import type { Paths } from './paths';
import type { Way } from './race';
import type { Reach } from './reach';
import type { RelayChoice } from './relayChoice';
import type { Relay } from './relayRows';
import type { TunnelFailure } from './tunnels';

/** Links take a few milliseconds; a lost SYN packet is retransmitted only after a second. */
export const OWN_TIMEOUT_MS: Milliseconds = 350;
/** Time until all ways have failed. */
export const DIAL_TIMEOUT_MS: Milliseconds = 450;
/** Time for which the own path is awaited alone. */
const RELAY_DELAY_MS: Milliseconds = 150;
/** Time for which one relay is awaited alone. */
const NEXT_RELAY_DELAY_MS: Milliseconds = 100;
const RELAY_TIMEOUT_MS: Milliseconds = 250;
const RELAYS_MAX = 3;

/** Dependencies of choosing ways to an endpoint. */
export interface DialWaysHost {
  clock: Clock;
  log: Log;
  paths: Paths;
  reach: Reach;
  choice: RelayChoice;
  /** Connects by the own path. */
  connectOwn(address: string, timeout: Milliseconds): Promise<Outcome<Connection, ConnectError>>;
  /** Connects through the relay. */
  connectThrough(
    relay: Relay,
    endpoint: EndpointRecord,
    timeout: Milliseconds,
  ): Promise<Outcome<Connection, TunnelFailure>>;
}

/** Returns the ways to the endpoint in the order in which they are to be tried from now on. */
export function listWays(
  host: DialWaysHost,
  endpoint: EndpointRecord,
  relays: Relay[],
): Way<DialFailure>[] {
  const { clock, log, paths, reach } = host;
  const { address } = endpoint;
  const until = clock.elapsed() + DIAL_TIMEOUT_MS;
  const getTimeLeft = (most: Milliseconds) => Math.max(1, Math.min(most, until - clock.elapsed()));
  let relayed: Relay | undefined;

  // The own path may turn out to have failed after a relay has opened a connection.
  function noteWays(): void {
    if (!relayed || !paths.noteRelayed(address)) return;
    log(Diagnostics.pathLost, { address, endpoint: endpoint.id, relay: relayed.instance });
  }

  async function openOwn(): Promise<Outcome<Connection, DialFailure>> {
    const connected = await host.connectOwn(address, getTimeLeft(OWN_TIMEOUT_MS));
    if (connected.err) noteWays();
    return connected.mapErr((error) => ({ kind: 'own' as const, error }));
  }

  async function openThrough(
    relay: Relay,
    timeout: Milliseconds,
  ): Promise<Outcome<Connection, DialFailure>> {
    const opened = await host.connectThrough(relay, endpoint, getTimeLeft(timeout));
    if (opened.ok) {
      relayed = relay;
      noteWays();
    }
    return opened.mapErr((error) => ({ kind: 'relay' as const, error }));
  }

  // Where no endpoint is reached at all, the own paths are tried without requests.
  function getOrder(): 'own first' | 'relays first' | 'relays only' {
    if (!paths.isDoubtful(address)) return 'own first';
    const hasReaching = relays.some(({ isCutOff }) => !isCutOff);
    return reach.isLost() && hasReaching ? 'relays only' : 'relays first';
  }

  const through = host.choice
    .pick(endpoint.id, relays, RELAYS_MAX)
    .map((relay, index, { length }): Way<DialFailure> => {
      const isLast = index === length - 1;
      return {
        delay: index === 0 ? RELAY_DELAY_MS : NEXT_RELAY_DELAY_MS,
        open: () => openThrough(relay, isLast ? DIAL_TIMEOUT_MS : RELAY_TIMEOUT_MS),
      };
    });
  return match(getOrder())
    .with('own first', () => [{ delay: 0, open: openOwn }, ...through])
    .with('relays first', () => [...through, { delay: RELAY_DELAY_MS, open: openOwn }])
    .with('relays only', () => through)
    .exhaustive();
}
