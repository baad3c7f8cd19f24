import { setMaxListeners } from 'node:events';
import { createPauseGuard, Diagnostics, runPeriodically, withTimeout } from '@pomeloroad/core';
import type {
  Clock,
  Connection,
  DroppedLines,
  Log,
  Milliseconds,
  Outcome,
  Random,
  Tokens,
} from '@pomeloroad/core';
import type { TunnelAddress, TunnelRefusal } from '@pomeloroad/peers';
import { BUDGET_TABLE, createEscrow, createEscrowLease } from '@pomeloroad/budgets';
import { createAdmission, createEndpoints } from '@pomeloroad/routing';
import { watchStore } from '@pomeloroad/storage';
import type { RowChange, RowStore, StoreEra, VersionedRow } from '@pomeloroad/storage';
import { createMetrics } from '@pomeloroad/telemetry';
import { followConfiguration } from './store/configurationFeed';
import { watchCrashes } from './suspects/crashWatch';
import { createEndpointDirectory } from './store/endpointDirectory';
import { createDialer } from './relays/dialer';
import type { OpenTunnel } from './relays/dialer';
import { startRelayDirectory } from './relays/relayDirectory';
import { createEndStatements } from './ends/endStatements';
import { findEndpointState } from './store/endpointState';
import { startRateLimits } from './limits/rateLimits';
import { startSlotShares } from './limits/slotShares';
import { createRecentEnds } from './ends/recentEnds';
import { followTable } from './store/follow';
import { forward } from './forward';
import { createForwardMetrics } from './forwardMetrics';
import type { ForwardHost } from './forwardTypes';
import { startInstanceCount } from './store/instanceCount';
import { startStreamOrigins } from './origins/streamOrigins';
import { startSuspects } from './suspects/suspects';
import { startVersionRows } from './origins/versionRows';
import { createVersionHistory } from './origins/versionHistory';
import { createRetryBudget } from './limits/retryBudget';
import type { RetryAllowance } from './limits/retryBudget';
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

const ENDPOINT_POLL_DELAY_MS: Milliseconds = 400;
const BUDGET_POLL_DELAY_MS: Milliseconds = 300;
const REBALANCE_INTERVAL_MS: Milliseconds = 400;
/** Maximum time that a request waits for the store to be read again after a pause of the process. */
const REFRESH_TIMEOUT_MS: Milliseconds = 500;
const ADMISSION_QUEUE_LIMIT = 500;
/** Number of loops that may sleep at once until the instance stops. */
const LOOPS_MAX = 20;

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

/** Starts an instance, which follows the store until it is stopped. */
export function startForwardInstance<Payload>(
  host: ForwardInstanceHost<Payload>,
): ForwardInstance<Payload> {
  const { clock, random } = host;
  const metrics = createMetrics();
  const forwardMetrics = createForwardMetrics(metrics);
  const recentEnds = createRecentEnds({ clock, log: host.log, metrics: forwardMetrics });
  const log = recentEnds.watch(host.log);
  const { rows, isSilent } = watchStore(clock, host.rows, ({ duration, table: name, ...ended }) => {
    forwardMetrics.storeCalls.add(1, { ...ended, table: name ?? '' });
    forwardMetrics.storeCall.record(duration);
  });
  const stop = new AbortController();
  setMaxListeners(LOOPS_MAX, stop.signal);
  const following = { clock, log, rows, signal: stop.signal };
  let leaseStart: Promise<void> | undefined;
  let open = 0;

  let instanceNames: string[] = [];
  const getInstanceCount = startInstanceCount({
    ...following,
    onCounted(names) {
      instanceNames = names;
    },
  });
  const lease = createEscrowLease({
    ...following,
    instance: host.instance,
    incarnation: host.incarnation,
    countInstances: getInstanceCount,
    isUsageCovered: () => escrow.isUsageCovered(),
  });
  const escrow = createEscrow({
    clock,
    random,
    log,
    rows,
    instance: host.instance,
    incarnation: host.incarnation,
    isStoreUnresponsive: isSilent,
    getReserveShare: lease.getReserveShare,
    getReserveDelay: lease.getReserveDelay,
    countInstances: getInstanceCount,
  });
  const endpoints = createEndpoints({ clock, log, onFailure: recentEnds.noteFate });
  const directory = createEndpointDirectory({
    clock,
    log,
    onChange() {
      versions.update(directory.listServing());
      versionRows.update();
      endpoints.configure(directory.list());
      admission.wake();
    },
  });
  const versions = createVersionHistory(clock);
  const versionRows = startVersionRows({ clock, rows, signal: stop.signal, versions });
  const admission = createAdmission(
    {
      clock,
      random,
      dataCentre: host.dataCentre,
      endpoints,
      getPolicy: ({ prefix = [] }) => ({
        kind: prefix.length > 0 ? 'prefix-affinity' : 'least-in-flight',
      }),
      getAccount: () => undefined,
    },
    ADMISSION_QUEUE_LIMIT,
  );
  const configuration = followConfiguration({
    ...following,
    table: host.tables.configuration,
    decode: host.decodeConfiguration,
    getDelayLimit: host.getConfigurationDelayLimit,
    onAccepted(accepted) {
      escrow.setLimits(getPrepaidLimits(accepted));
      startLease();
    },
  });
  metrics.gauge(
    'pomeloroad_configuration_version',
    'Version of the configuration in force; 0 while none is known.',
    () => configuration.getTable()?.configuration.version ?? 0,
  );
  metrics.gauge(
    'pomeloroad_configuration_age_milliseconds',
    'Time since the start of the latest read that confirmed the configuration.',
    configuration.getAge,
  );
  const endpointFeed = followTable(following, {
    table: host.tables.endpoints,
    partition: '',
    pause: ENDPOINT_POLL_DELAY_MS,
    onView: (view) => directory.replaceAll(view.rows.map(decodeEndpointRow).filter(isDefined)),
    onChanges: (changes) => changes.forEach(applyEndpointChange),
    onUnavailable: directory.markStoreUnavailable,
    onAvailable: directory.markStoreAvailable,
  });
  followTable(following, {
    table: BUDGET_TABLE,
    partition: undefined,
    pause: BUDGET_POLL_DELAY_MS,
    onView(view) {
      escrow.startEra(view.era);
      escrow.applyChanges(view.rows);
    },
    onChanges: escrow.applyChanges,
    onUnavailable: () => undefined,
    onAvailable: () => undefined,
  });
  metrics.gauge(
    'pomeloroad_store_era',
    'How often the store came back from an older copy, as the feeds know.',
    getStoreEra,
  );
  metrics.gauge(
    'pomeloroad_ordinary_lines_dropped',
    'Ordinary lines of the log that were dropped since the start.',
    () => host.getDroppedLines?.().ordinary ?? 0,
  );
  metrics.gauge(
    'pomeloroad_important_lines_dropped',
    'Important lines of the log that were dropped since the start.',
    () => host.getDroppedLines?.().important ?? 0,
  );
  const relays = startRelayDirectory({
    ...following,
    self: host.relay && { instance: host.instance, dataCentre: host.dataCentre, ...host.relay },
    onGone: (instance) => dialer.retireRelay(instance),
  });
  const dialer = createDialer({
    ...{ clock, random, log, metrics: forwardMetrics, dataCentre: host.dataCentre },
    connect: host.connect,
    openTunnel: host.openTunnel,
    listEndpoints: directory.listServing,
    listRelays: relays.list,
  });
  metrics.gauge(
    'pomeloroad_cut_paths',
    'Endpoints that are only reached through other instances.',
    () => dialer.listCut().length,
  );
  const suspects = startSuspects({ ...following, random });
  metrics.gauge(
    'pomeloroad_blocked_suspects',
    'Requests and parts of prompts that are blocked because endpoints crash under them.',
    () => suspects.listBlocked().length,
  );
  const rateLimits = startRateLimits({
    ...following,
    random,
    instance: host.instance,
    listInstances: () => instanceNames,
    isListed: (name) => directory.find(name) !== undefined,
    setRateShares(shares) {
      endpoints.setRateShares(shares);
      admission.wake();
    },
  });
  const slotShares = startSlotShares({
    ...following,
    random,
    instance: host.instance,
    listInstances: () => instanceNames,
    isListed: (name) => directory.find(name) !== undefined,
    findSlots: (name) => directory.find(name)?.concurrency,
    setSlotShares(shares) {
      endpoints.setSlotShares(shares);
      admission.wake();
    },
  });
  const guard = createPauseGuard(clock, async () => {
    log(Diagnostics.processPaused);
    await Promise.all([configuration.refresh(), endpointFeed.refresh(), suspects.refresh()]);
  });
  runPeriodically(
    clock,
    () => REBALANCE_INTERVAL_MS,
    stop.signal,
    async () => escrow.rebalance(REBALANCE_INTERVAL_MS),
  );

  const forwarding: ForwardHost<Payload> = {
    clock,
    random,
    log,
    escrow,
    admission,
    directory,
    retryBudget: createRetryBudget(clock, host.getRetryAllowance, getInstanceCount),
    protocol: watchCrashes({
      ...{ clock, log, metrics: forwardMetrics, directory },
      protocol: host.createProtocol(dialer.dial),
      onCrash: suspects.noteCrash,
      onAnswer: suspects.noteAnswer,
      isSuspicious: (names) => suspects.judge(names) !== 'none',
    }),
    metrics: forwardMetrics,
    endStatements: createEndStatements(),
    recentEnds,
    getEndpointState: (name) => findEndpointState(directory, endpoints, name),
    getConfigurationVersion: () => configuration.getTable()?.configuration.version,
    origins: startStreamOrigins({
      clock,
      rows,
      signal: stop.signal,
      instance: host.instance,
      versions,
      countInstances: getInstanceCount,
      getViewAge: endpointFeed.getAge,
      areVersionsLoaded: versionRows.isLoaded,
    }),
    suspects,
    endpoints,
    rateLimits,
    slotShares,
    checkPath: ({ address }) => dialer.check(address),
    findService: (name) => configuration.getTable()?.findService(name),
    waitForRefresh: () => withTimeout(clock, REFRESH_TIMEOUT_MS, guard.waitUntilFresh(), undefined),
  };

  // The lowest era of the feeds: those that have not seen the newest one yet are behind.
  function getStoreEra(): StoreEra {
    return Math.min(configuration.getEra(), endpointFeed.getEra());
  }

  // Waits for a configuration, because it names the accounts whose grants the predecessor may hold.
  function startLease(): void {
    leaseStart ??= lease.start().then(async (predecessor) => {
      await escrow.reclaim(predecessor);
    });
  }

  function decodeEndpointRow(row: VersionedRow): EndpointRecord | undefined {
    const record = host.decodeEndpoint(row);
    if (!record) log(Diagnostics.rowUnreadable, { table: row.table, key: row.key });
    return record;
  }

  function applyEndpointChange(change: RowChange): void {
    const record = isPresent(change) ? decodeEndpointRow(change) : undefined;
    if (record) directory.upsert(record);
    else directory.remove(change.key);
  }

  return {
    getTable: configuration.getTable,
    isConfigurationCurrent: configuration.isCurrent,
    isReady: () =>
      configuration.getTable() !== undefined &&
      directory.isLoaded() &&
      suspects.isLoaded() &&
      !configuration.isLate(),
    async forward(request, caller) {
      open += 1;
      try {
        await forward(forwarding, request, caller);
      } finally {
        open -= 1;
      }
    },
    renderMetrics: metrics.render,
    describe: () => ({
      instance: host.instance,
      incarnation: host.incarnation,
      configuration: configuration.getTable()?.configuration.version,
      configurationAge: configuration.getAge(),
      storeEra: getStoreEra(),
      open,
      waiting: admission.waiting(),
      instances: getInstanceCount(),
      budgets: escrow.describe(),
      endpoints: endpoints.list(),
      rateLimits: rateLimits.list(),
      brittleEndpoints: slotShares.list(),
      blockedSuspects: suspects.listBlocked(),
      relays: relays.list().map((relay) => relay.instance),
      cutPaths: dialer.listCut(),
    }),
    openForPeer: dialer.openForPeer,
    retire() {
      escrow.retire();
      relays.withdraw();
    },
    async stop(patience) {
      await escrow.release(patience);
      stop.abort();
    },
  };
}

function getPrepaidLimits({ accounts }: ForwardConfiguration): Map<string, Tokens> {
  const limits = new Map<string, Tokens>();
  accounts.forEach(({ name, prepaid }) => {
    if (prepaid !== undefined) limits.set(name, prepaid);
  });
  return limits;
}

function isPresent(change: RowChange): change is VersionedRow {
  return change.value !== undefined;
}

function isDefined(record: EndpointRecord | undefined): record is EndpointRecord {
  return record !== undefined;
}
