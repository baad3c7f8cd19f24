import { Err, Ok } from 'ts-results';
import { Diagnostics, withTimeout } from '@pomeloroad/core';
import type {
  Clock,
  ConnectError,
  Connection,
  Log,
  Milliseconds,
  Outcome,
  Random,
} from '@pomeloroad/core';
import type { TunnelAddress, TunnelError, TunnelRefusal } from '@pomeloroad/peers';
import type { ForwardMetrics } from '../forwardMetrics';
import type { Connect, EndpointRecord } from '../types';
import { isRefusedByRelay, toConnectError } from './dialFailures';
import { DIAL_TIMEOUT_MS, listWays, OWN_TIMEOUT_MS } from './dialWays';
import { createOpenConnections } from './openConnections';
import { createPaths } from './paths';
import { raceConnections } from './race';
import { createReach } from './reach';
import { createRelayChoice } from './relayChoice';
import type { Relay } from './relayRows';
import { createTunnels } from './tunnels';
import type { TunnelFailure } from './tunnels';

/** Time after which a tunnel that nobody waits for any more is given up. */
const LATE_TUNNEL_TIMEOUT_MS: Milliseconds = 3000;
/** Time for which this instance tries its own path for another one. */
const CARRIED_TIMEOUT_MS: Milliseconds = 200;
/** Interval at which all paths are tried, if one hangs. */
const SURVEY_INTERVAL_MS: Milliseconds = 2000;

/** Opens a connection to the endpoint through another instance within the timeout. */
export type OpenTunnel = (
  relay: TunnelAddress,
  endpoint: string,
  timeout: Milliseconds,
) => Promise<Outcome<Connection, TunnelError>>;

/** Dependencies of opening connections to endpoints. */
export interface DialerHost {
  clock: Clock;
  random: Random;
  /** Aborted when the instance stops. */
  signal: AbortSignal;
  log: Log;
  metrics: Pick<ForwardMetrics, 'connections'>;
  dataCentre: string;
  connect: Connect;
  openTunnel: OpenTunnel;
  listEndpoints(): EndpointRecord[];
  listRelays(): Relay[];
  /** Called when this instance reaches no endpoint any more, and when it reaches one again. */
  onReachChange(isLost: boolean): void;
}

/** Opens connections to endpoints, by this instance's own path or through other instances. */
export interface Dialer {
  /** Opens a connection to the endpoint at the address, by whichever way opens one. */
  dial(address: string): Promise<Outcome<Connection, ConnectError>>;
  /** Opens a connection to the endpoint for another instance, by the own path only. */
  openForPeer(endpoint: string): Promise<Outcome<Connection, TunnelRefusal>>;
  /** Tries the own path to an endpoint that is silent, and all others if it hangs. */
  check(address: string): Promise<void>;
  /** Uses connections through the instance for no further requests. */
  retireRelay(instance: string): void;
  /** Returns the addresses that are only reached through others. */
  listCut(): string[];
}

/** Creates a dialer that takes all paths for sound. */
export function createDialer(host: DialerHost): Dialer {
  const { clock, random, log, metrics } = host;
  const paths = createPaths(clock);
  const choice = createRelayChoice(clock, random, host.dataCentre);
  const open = createOpenConnections();
  const tunnels = createTunnels({ clock, open: openTunnel });
  const reach = createReach({
    clock,
    random,
    signal: host.signal,
    listAddresses: () => host.listEndpoints().map(({ address }) => address),
    async connect(address, timeout) {
      const connected = await connectOwn(address, timeout);
      if (connected.ok) connected.val.destroy();
    },
    onChange: host.onReachChange,
  });
  const checks = new Map<string, Promise<void>>();
  let surveyedAt: Milliseconds = -Infinity;

  async function connectOwn(
    address: string,
    timeout: Milliseconds,
  ): Promise<Outcome<Connection, ConnectError>> {
    const connected = await host.connect(address, timeout);
    const outcome = connected.err ? connected.val.kind : 'opened';
    metrics.connections.add(1, { way: 'own', outcome });
    if (connected.err) {
      paths.noteFailed(address, connected.val.kind);
      reach.noteFailed(address);
      return connected;
    }
    if (paths.isCut(address)) log(Diagnostics.pathRegained, { address });
    paths.noteOpened(address);
    reach.noteOpened();
    open.add(connected.val, { address, relay: undefined });
    return connected;
  }

  async function openTunnel(
    relay: Relay,
    { id, address }: EndpointRecord,
  ): Promise<Outcome<Connection, TunnelError>> {
    const opened = await host.openTunnel(relay, id, LATE_TUNNEL_TIMEOUT_MS);
    metrics.connections.add(1, { way: 'relay', outcome: opened.err ? opened.val : 'opened' });
    if (opened.err) {
      choice.noteFailure(relay, id, opened.val);
      return opened;
    }
    choice.noteSuccess(relay, id);
    open.add(opened.val, { address, relay: relay.instance });
    return opened;
  }

  async function connectThrough(
    relay: Relay,
    endpoint: EndpointRecord,
    timeout: Milliseconds,
  ): Promise<Outcome<Connection, TunnelFailure>> {
    const opened = await tunnels.get(relay, endpoint, timeout);
    if (opened.err && opened.val === 'late') {
      metrics.connections.add(1, { way: 'relay', outcome: 'late' });
      choice.noteFailure(relay, endpoint.id, 'unreachable');
    }
    return opened;
  }

  async function dial(address: string): Promise<Outcome<Connection, ConnectError>> {
    const endpoint = findEndpoint(address);
    const relays = endpoint && paths.mayRelay(address) ? host.listRelays() : [];
    if (!endpoint || relays.length === 0) return connectOwn(address, OWN_TIMEOUT_MS);
    if (paths.isDoubtful(address)) probeOwn(address);
    const ways = listWays(
      { clock, log, paths, reach, choice, connectOwn, connectThrough },
      endpoint,
      relays,
    );
    const dialed = await raceConnections(clock, ways);
    if (dialed.ok) return dialed;
    // Relays that did not answer, or have no path either, tell nothing of the endpoint.
    if (isRefusedByRelay(dialed.val)) paths.noteUnreachable(address);
    return Err(toConnectError(dialed.val, reach.isLost()));
  }

  function findEndpoint(address: string): EndpointRecord | undefined {
    return host
      .listEndpoints()
      .filter((endpoint) => endpoint.address === address)
      .at(-1);
  }

  // Callers' requests are not used to find out whether the path works again.
  async function probeOwn(address: string): Promise<void> {
    if (!paths.takeProbe(address)) return;
    const connected = await connectOwn(address, OWN_TIMEOUT_MS);
    if (connected.ok) connected.val.destroy();
  }

  async function tryOwn(address: string): Promise<void> {
    const connected = await connectOwn(address, OWN_TIMEOUT_MS);
    if (connected.ok) connected.val.destroy();
    else if (connected.val.kind === 'late') open.retire((way) => isOwnWay(way, address));
  }

  async function checkPath(address: string): Promise<void> {
    await tryOwn(address);
    const isSurveyDue = clock.elapsed() - surveyedAt >= SURVEY_INTERVAL_MS;
    if (!paths.isDoubtful(address) || !isSurveyDue) return;
    surveyedAt = clock.elapsed();
    const others = host.listEndpoints().filter((endpoint) => endpoint.address !== address);
    await Promise.all(others.map((endpoint) => tryOwn(endpoint.address)));
  }

  return {
    dial,
    async openForPeer(id) {
      const endpoint = host.listEndpoints().find((record) => record.id === id);
      if (!endpoint) return Err('unknown-endpoint');
      const { address } = endpoint;
      if (reach.isLost() || paths.isCut(address)) return Err('no-path');
      const connected = await connectOwn(address, CARRIED_TIMEOUT_MS);
      if (connected.ok) return Ok(connected.val);
      // Where nothing is reached, a refusal tells of this instance's path and not of the endpoint.
      const isRefused = connected.val.kind === 'refused' && (await reach.confirm(address));
      return Err(isRefused ? 'refused' : 'no-path');
    },
    check(address) {
      const running = checks.get(address);
      if (running) return running;
      const check = checkPath(address).finally(() => checks.delete(address));
      checks.set(address, check);
      return withTimeout(clock, DIAL_TIMEOUT_MS, check, undefined);
    },
    retireRelay: (instance) => open.retire(({ relay }) => relay === instance),
    listCut: paths.listCut,
  };
}

function isOwnWay(way: { address: string; relay: string | undefined }, address: string): boolean {
  return way.relay === undefined && way.address === address;
}
