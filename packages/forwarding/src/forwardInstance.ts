import { setMaxListeners } from 'node:events';
import { createPauseGuard, Diagnostics, withTimeout } from '@pomeloroad/core';
import type { DroppedLines, Milliseconds } from '@pomeloroad/core';
import { createEndpoints } from '@pomeloroad/routing';
import { watchStore } from '@pomeloroad/storage';
import type { StoreEra } from '@pomeloroad/storage';
import { createMetrics } from '@pomeloroad/telemetry';
import { createServiceTroubles } from './copies/serviceTroubles';
import { followConfiguration } from './store/configurationFeed';
import { watchCrashes } from './suspects/crashWatch';
import { getIncarnation } from './suspects/processNames';
import { createEndpointDirectory } from './store/endpointDirectory';
import { followEndpoints } from './store/endpointFeed';
import { createEndpointLosses } from './store/endpointLosses';
import { startEndpointPaths } from './relays/endpointPaths';
import { createCloseHistory } from './ends/closeHistory';
import { createEndHistory } from './ends/endHistory';
import { createEndpointLife } from './ends/endpointLife';
import { watchLives } from './ends/lifeWatch';
import { findEndpointState } from './store/endpointState';
import { startPrepaidBudgets } from './limits/prepaidBudgets';
import { startEndpointLimits } from './limits/endpointLimits';
import { createPauseHistory } from './ends/pauseHistory';
import { createRecentEnds } from './ends/recentEnds';
import { shareCalls } from './store/sharedCalls';
import { forward } from './forward';
import { createForwardAdmission } from './forwardAdmission';
import { describeInstance } from './forwardDescription';
import { registerGauges } from './forwardGauges';
import { createForwardMetrics } from './forwardMetrics';
import type { ForwardHost } from './forwardTypes';
import { startSharedFeed } from './store/sharedFeed';
import { startInstanceCount } from './store/instanceCount';
import { startStreamOrigins } from './origins/streamOrigins';
import { startSuspects } from './suspects/suspects';
import { startVersionRows } from './origins/versionRows';
import { createTargetHistory } from './origins/targetHistory';
import { createVersionHistory } from './origins/versionHistory';
import { createRetryBudget } from './limits/retryBudget';
import type { ForwardInstance, ForwardInstanceHost } from './forwardInstanceTypes';

/** Maximum time that a request waits for the store to be read again after a pause of the process. */
const REFRESH_TIMEOUT_MS: Milliseconds = 500;
/** Number of loops that may sleep at once until the instance stops. */
const LOOPS_MAX = 20;
const NO_DROPPED_LINES: DroppedLines = { ordinary: 0, important: 0 };

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
  const feed = startSharedFeed(following);
  let open = 0;

  let instanceNames: string[] = [];
  const instanceCount = startInstanceCount({
    ...following,
    onCounted(names) {
      instanceNames = names;
    },
  });
  const troubles = createServiceTroubles(clock);
  const endpoints = createEndpoints({
    clock,
    log,
    onFailure(name, result) {
      recentEnds.noteFate(name, result);
      const failed = directory.find(name);
      // What can't be reached may be cut off from this instance alone.
      if (failed && result === 'failed') troubles.note(failed.service);
    },
  });
  const losses = createEndpointLosses(clock);
  const directory = createEndpointDirectory({
    clock,
    log,
    onLost(record) {
      losses.note(getIncarnation(record));
      troubles.note(record.service);
    },
    onVersionChanged(record) {
      origins.doubt(record.id, record.version);
      origins.doubt(getIncarnation(record), record.version);
    },
    // Until its entry came, what it said of itself was noted under the one before.
    onReplaced(before, next) {
      endpoints.passOn(before, next);
      rateLimits.passOn(before, next);
      slotShares.passOn(before, next);
    },
    onChange() {
      versions.update(directory.listServing());
      troubles.update(directory.listServing());
      versionRows.update();
      endpoints.configure(directory.list());
      admission.wake();
    },
  });
  const versions = createVersionHistory(clock);
  const targets = createTargetHistory(clock);
  const versionRows = startVersionRows({ clock, rows, signal: stop.signal, versions });
  const admission = createForwardAdmission({
    clock,
    random,
    endpoints,
    dataCentre: host.dataCentre,
  });
  const configuration = followConfiguration({
    ...following,
    table: host.tables.configuration,
    decode: host.decodeConfiguration,
    getDelayLimit: host.getConfigurationDelayLimit,
    onAccepted(table) {
      targets.update(table);
      budgets.configure(table.configuration);
    },
  });
  const endpointFeed = followEndpoints({
    ...following,
    table: host.tables.endpoints,
    decode: host.decodeEndpoint,
    directory,
    losses,
  });
  const budgets = startPrepaidBudgets({
    ...following,
    random,
    instance: host.instance,
    incarnation: host.incarnation,
    instanceCount,
    isStoreUnresponsive: isSilent,
    getConfigurationAge: configuration.getAge,
  });
  const { escrow } = budgets;
  const { relays, dialer } = startEndpointPaths({
    ...following,
    random,
    feed,
    metrics: forwardMetrics,
    instance: host.instance,
    dataCentre: host.dataCentre,
    relay: host.relay,
    connect: host.connect,
    openTunnel: host.openTunnel,
    listInstances: instanceCount.list,
    listEndpoints: directory.listServing,
  });
  const suspects = startSuspects({
    ...following,
    feed,
    random,
    losses: {
      mayHaveOthers: losses.mayHaveOthers,
      getViewTime: () => clock.elapsed() - endpointFeed.getAge(),
    },
  });
  const { rateLimits, slotShares } = startEndpointLimits({
    ...following,
    feed,
    random,
    instance: host.instance,
    listInstances: () => instanceNames,
    directory,
    endpoints,
    onShares: admission.wake,
  });
  const sources = {
    getConfigurationVersion,
    getConfigurationAge: configuration.getAge,
    getStoreEra,
    listCutPaths: dialer.listCut,
    listBlockedSuspects: suspects.listBlocked,
  };
  registerGauges(metrics, {
    ...sources,
    getDroppedLines: () => host.getDroppedLines?.() ?? NO_DROPPED_LINES,
  });
  const guard = createPauseGuard(clock, async () => {
    log(Diagnostics.processPaused);
    await Promise.all([configuration.refresh(), endpointFeed.refresh(), suspects.refresh()]);
  });
  const refreshEndpoints = shareCalls(endpointFeed.refresh);
  const origins = startStreamOrigins({
    clock,
    rows,
    signal: stop.signal,
    instance: host.instance,
    versions,
    targets,
    countInstances: instanceCount.get,
    getEra: endpointFeed.getEra,
    refreshEndpoints,
    refreshVersions: versionRows.refresh,
    areVersionsLoaded: versionRows.isLoaded,
    areSeveralRecorded: versionRows.hasSeveral,
  });
  const endpointProtocol = host.createProtocol(dialer.dial);
  const endpointLife = createEndpointLife({
    ...{ clock, directory, getHeldUpTime: guard.getHeldUpTime },
    protocol: endpointProtocol,
    refreshEndpoints,
  });
  const forwarding: ForwardHost<Payload> = {
    clock,
    random,
    log,
    dataCentre: host.dataCentre,
    escrow,
    admission,
    directory,
    retryBudget: createRetryBudget(clock, host.getRetryAllowance, instanceCount.get),
    protocol: watchCrashes({
      ...{ clock, log, metrics: forwardMetrics, directory },
      protocol: watchLives(endpointProtocol, endpointLife),
      onCrash: suspects.noteCrash,
      onAnswer: suspects.noteAnswer,
      isSuspicious: (names) => suspects.judge(names) !== 'none',
    }),
    metrics: forwardMetrics,
    endHistory: createEndHistory(),
    closeHistory: createCloseHistory(),
    endpointLife,
    recentEnds,
    pauseHistory: createPauseHistory(clock),
    getEndpointState: (name) => findEndpointState(directory, endpoints, name),
    getConfigurationVersion,
    serviceTroubles: troubles,
    origins,
    suspects,
    endpoints,
    rateLimits,
    slotShares,
    checkPath: ({ address }) => dialer.check(address),
    findService: (name) => configuration.getTable()?.findService(name),
    getViewAge: endpointFeed.getAge,
    refreshEndpoints,
    getHeldUpTime: guard.getHeldUpTime,
    waitForRefresh: () => withTimeout(clock, REFRESH_TIMEOUT_MS, guard.waitUntilFresh(), undefined),
  };

  function getConfigurationVersion(): number | undefined {
    return configuration.getTable()?.configuration.version;
  }

  // The lowest era of the feeds: those that have not seen the newest one yet are behind.
  function getStoreEra(): StoreEra {
    return Math.min(configuration.getEra(), endpointFeed.getEra());
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
    describe: () =>
      describeInstance({
        ...sources,
        instance: host.instance,
        incarnation: host.incarnation,
        countOpen: () => open,
        countInstances: instanceCount.get,
        admission,
        escrow,
        endpoints,
        rateLimits,
        slotShares,
        relays,
      }),
    openForPeer: dialer.openForPeer,
    retire() {
      escrow.retire();
      relays.withdraw();
    },
    async stop(patience) {
      endpointLife.hurry();
      await escrow.release(patience);
      stop.abort();
    },
  };
}
