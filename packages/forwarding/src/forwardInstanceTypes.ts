import type {
  Clock,
  Connection,
  DroppedLines,
  Log,
  Milliseconds,
  Outcome,
  Random,
} from '@pomeloroad/core';
import type { TunnelAddress, TunnelRefusal } from '@pomeloroad/peers';
import type { RowStore, VersionedRow } from '@pomeloroad/storage';
import type { RetryAllowance } from './limits/retryBudget';
import type { OpenTunnel } from './relays/dialer';
import type { RouteTable } from './store/routeTable';
import type {
  Caller,
  Connect,
  Dial,
  EndpointProtocol,
  EndpointRecord,
  ForwardConfiguration,
  ForwardRequest,
} from './types';

/** Dependencies and identity of an instance. */
export interface ForwardInstanceHost<Payload> {
  clock: Clock;
  random: Random;
  log: Log;
  rows: RowStore;
  /** Opens connections to endpoints over this instance's own path. */
  connect: Connect;
  /** Opens connections to endpoints through other instances. */
  openTunnel: OpenTunnel;
  /** Where this instance carries connections for others; left out if it does not. */
  relay?: TunnelAddress;
  /** Creates the client of the endpoints' protocol, which opens its connections by the function. */
  createProtocol(dial: Dial): EndpointProtocol<Payload>;
  instance: string;
  incarnation: string;
  dataCentre: string;
  tables: { configuration: string; endpoints: string };
  /** Decodes a row of the configuration's table; `undefined` if it holds no configuration. */
  decodeConfiguration(row: VersionedRow): ForwardConfiguration | undefined;
  /** Decodes an endpoint's entry; `undefined` if it describes no usable endpoint. */
  decodeEndpoint(row: VersionedRow): EndpointRecord | undefined;
  getRetryAllowance(): RetryAllowance;
  /** Returns the time within which an accepted configuration is to be in force. */
  getConfigurationDelayLimit(): Milliseconds;
  /** Returns how many lines of the log were dropped so far; left out where that is not counted. */
  getDroppedLines?(): DroppedLines;
}

/** An instance that forwards requests by the configuration and the endpoints in the store. */
export interface ForwardInstance<Payload> {
  /** Returns the configuration in force; `undefined` until one is known. */
  getTable(): RouteTable | undefined;
  /**
   * Whether the configuration was confirmed recently enough to deny what it lacks. What it contains
   * is served in any case, because the store may be away for long.
   */
  isConfigurationCurrent(): boolean;
  /**
   * Whether new callers are welcome: a configuration and the endpoints are known, and a change of the
   * configuration does not take too long to arrive, which shows that the network link is overloaded.
   */
  isReady(): boolean;
  /** Forwards a request and answers its caller. */
  forward(request: ForwardRequest<Payload>, caller: Caller): Promise<void>;
  renderMetrics(): string;
  /** Returns a dump of the state for operators. */
  describe(): unknown;
  /** Opens a connection to the endpoint with the id for another instance, by the own path only. */
  openForPeer(endpoint: string): Promise<Outcome<Connection, TunnelRefusal>>;
  /**
   * Gives up all unused tokens, and carries no more connections for others, now and from now on; called
   * when a shutdown starts.
   */
  retire(): void;
  /** Returns grants within the given time and renews the lease no more; called when a shutdown ends. */
  stop(patience: Milliseconds): Promise<void>;
}
