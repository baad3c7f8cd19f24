import { createPauseGuard, Diagnostics, runPeriodically, withTimeout } from '@pomeloroad/core';
import type { Clock, Log, Milliseconds, Random, Tokens } from '@pomeloroad/core';
import { BUDGET_TABLE, createEscrow, createEscrowLease } from '@pomeloroad/budgets';
import { createAdmission, createEndpoints } from '@pomeloroad/routing';
import { watchStore } from '@pomeloroad/storage';
import type { RowChange, RowStore, VersionedRow } from '@pomeloroad/storage';
import { createMetrics } from '@pomeloroad/telemetry';
import { createEndpointDirectory } from './endpointDirectory';
import { followTable } from './follow';
import { forward } from './forward';
import { createForwardMetrics } from './forwardMetrics';
import type { ForwardHost } from './forwardTypes';
import { countInstances } from './instanceCount';
import { createRetryBudget } from './retryBudget';
import type { RetryAllowance } from './retryBudget';
import { createRouteTable } from './routeTable';
import type { RouteTable } from './routeTable';
import type {
  Caller,
  EndpointProtocol,
  EndpointRecord,
  ForwardConfiguration,
  ForwardRequest,
} from './types';

const CONFIGURATION_PAUSE_MS: Milliseconds = 100;
const ENDPOINT_PAUSE_MS: Milliseconds = 400;
const BUDGET_PAUSE_MS: Milliseconds = 300;
const REBALANCE_MS: Milliseconds = 400;
/** How long a request waits for beliefs to be read again after a pause. */
const CONFIRM_MS: Milliseconds = 500;
const QUEUE_LIMIT = 500;

/** What an instance needs from its surroundings. */
export interface ForwardInstanceHost<Payload> {
  clock: Clock;
  random: Random;
  log: Log;
  rows: RowStore;
  protocol: EndpointProtocol<Payload>;
  instance: string;
  incarnation: string;
  dataCentre: string;
  tables: { configuration: string; endpoints: string };
  /** Reads a row of the configuration's table; `undefined` if it holds no configuration. */
  decodeConfiguration(row: VersionedRow): ForwardConfiguration | undefined;
  /** Reads an endpoint's entry; `undefined` if it names no endpoint to use. */
  decodeEndpoint(row: VersionedRow): EndpointRecord | undefined;
  getRetryAllowance(): RetryAllowance;
}

/** An instance that forwards requests by what the store says. */
export interface ForwardInstance<Payload> {
  /** The configuration in force; `undefined` until one is known. */
  getTable(): RouteTable | undefined;
  isReady(): boolean;
  /** Forwards a request and answers its caller. */
  forward(request: ForwardRequest<Payload>, caller: Caller): Promise<void>;
  countOpen(): number;
  renderMetrics(): string;
  describe(): unknown;
  /** Holds no tokens but those in use from now on; for the start of a shutdown. */
  retire(): void;
  /** Returns grants and leaves within the time; for the end of a shutdown. */
  stop(patience: Milliseconds): Promise<void>;
}

/** Starts an instance; it follows the store until it is stopped. */
export function startForwardInstance<Payload>(
  host: ForwardInstanceHost<Payload>,
): ForwardInstance<Payload> {
  const { clock, random, log } = host;
  const { rows, isSilent } = watchStore(host.rows);
  const stop = new AbortController();
  const following = { clock, log, rows, signal: stop.signal };
  let table: RouteTable | undefined;
  let leasing: Promise<void> | undefined;
  let open = 0;

  const count = countInstances(following);
  const lease = createEscrowLease({
    ...following,
    instance: host.instance,
    incarnation: host.incarnation,
    countInstances: count,
    isUsageCovered: () => escrow.isUsageCovered(),
  });
  const escrow = createEscrow({
    clock,
    random,
    log,
    rows,
    incarnation: host.incarnation,
    isStoreUnresponsive: isSilent,
    getReserveShare: lease.getReserveShare,
    getReserveDelay: lease.getReserveDelay,
    countInstances: count,
  });
  const endpoints = createEndpoints({ clock, log });
  const directory = createEndpointDirectory({
    clock,
    log,
    onChange() {
      endpoints.configure(directory.list());
      admission.wake();
    },
  });
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
    QUEUE_LIMIT,
  );
  const metrics = createMetrics();
  const configurationFeed = followTable(following, {
    table: host.tables.configuration,
    partition: '',
    pause: CONFIGURATION_PAUSE_MS,
    onView: (view) => view.rows.forEach(takeConfiguration),
    onChanges: (changes) => changes.filter(isPresent).forEach(takeConfiguration),
    onOutage: () => undefined,
    onReturn: () => undefined,
  });
  const endpointFeed = followTable(following, {
    table: host.tables.endpoints,
    partition: '',
    pause: ENDPOINT_PAUSE_MS,
    onView: (view) => directory.replaceAll(view.rows.map(readEndpoint).filter(isPresentRecord)),
    onChanges: (changes) => changes.forEach(takeEndpoint),
    onOutage: directory.noteOutage,
    onReturn: directory.noteReturn,
  });
  followTable(following, {
    table: BUDGET_TABLE,
    partition: undefined,
    pause: BUDGET_PAUSE_MS,
    onView: (view) => escrow.applyChanges(view.rows),
    onChanges: escrow.applyChanges,
    onOutage: () => undefined,
    onReturn: () => undefined,
  });
  const guard = createPauseGuard(clock, async () => {
    log(Diagnostics.processPaused);
    await Promise.all([configurationFeed.refresh(), endpointFeed.refresh()]);
  });
  runPeriodically(
    clock,
    () => REBALANCE_MS,
    stop.signal,
    async () => escrow.rebalance(REBALANCE_MS),
  );

  const forwarding: ForwardHost<Payload> = {
    clock,
    random,
    log,
    escrow,
    admission,
    directory,
    retryBudget: createRetryBudget(clock, host.getRetryAllowance, count),
    protocol: host.protocol,
    metrics: createForwardMetrics(metrics),
    findService: (name) => table?.findService(name),
    confirmBeliefs: () => withTimeout(clock, CONFIRM_MS, guard.waitUntilFresh(), undefined),
  };

  function takeConfiguration(row: VersionedRow): void {
    const configuration = host.decodeConfiguration(row);
    if (!configuration) return;
    const current = table?.configuration.version ?? -Infinity;
    if (configuration.version <= current) return;
    table = createRouteTable(configuration);
    escrow.setLimits(getLimits(configuration));
    takeLease();
    log(Diagnostics.configurationAccepted, {
      configuration: configuration.version,
      row: row.version,
      routes: configuration.routes.length,
      accounts: configuration.accounts.length,
    });
  }

  // The configuration names the accounts whose grants an earlier life may have left.
  function takeLease(): void {
    leasing ??= lease.start().then(async (predecessor) => {
      if (predecessor) await escrow.reclaim(predecessor);
    });
  }

  function readEndpoint(row: VersionedRow): EndpointRecord | undefined {
    const record = host.decodeEndpoint(row);
    if (!record) log(Diagnostics.rowUnreadable, { table: row.table, key: row.key });
    return record;
  }

  function takeEndpoint(change: RowChange): void {
    const record = isPresent(change) ? readEndpoint(change) : undefined;
    if (record) directory.take(record);
    else directory.remove(change.key);
  }

  return {
    getTable: () => table,
    isReady: () => table !== undefined && directory.isLoaded(),
    async forward(request, caller) {
      open += 1;
      try {
        await forward(forwarding, request, caller);
      } finally {
        open -= 1;
      }
    },
    countOpen: () => open,
    renderMetrics: metrics.render,
    describe: () => ({
      instance: host.instance,
      incarnation: host.incarnation,
      configuration: table?.configuration.version,
      open,
      waiting: admission.waiting(),
      instances: count(),
      budgets: escrow.describe(),
      endpoints: endpoints.list(),
    }),
    retire: escrow.retire,
    async stop(patience) {
      await escrow.release(patience);
      stop.abort();
      await lease.end();
    },
  };
}

function getLimits(configuration: ForwardConfiguration): Map<string, Tokens> {
  const limits = new Map<string, Tokens>();
  configuration.accounts.forEach(({ name, prepaid }) => {
    if (prepaid !== undefined) limits.set(name, prepaid);
  });
  return limits;
}

function isPresent(change: RowChange): change is VersionedRow {
  return change.value !== undefined;
}

function isPresentRecord(record: EndpointRecord | undefined): record is EndpointRecord {
  return record !== undefined;
}
