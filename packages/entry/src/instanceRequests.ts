import { createPauseGuard } from '@pomeloroad/core';
import { createBudgetClient, createKeepers, createLedger } from '@pomeloroad/budgets';
import type { BudgetClient, GrantPolicy, Keepers, Ledger } from '@pomeloroad/budgets';
import { createAnswerStore, createClaims, createRequestRegistry } from '@pomeloroad/requests';
import type { AnswerStore, RequestRegistry } from '@pomeloroad/requests';
import { createAnswerOpener } from './answerOpener';
import type { AnswerOpener } from './answerOpener';
import { serveAnswers } from './answerSource';
import type { Fleet } from './fleet';
import type { InstanceBase } from './instanceBase';
import type { InstanceRouting } from './instanceRouting';
import { findLostRequest, stopLostRequest } from './lostRequests';
import { createReconciler } from './reconciler';
import type { Reconciler } from './reconciler';
import { createRunner } from './runner';
import type { Runner } from './runner';
import { createServiceClient } from './serviceClient';
import type { Settings } from './settings';

/** What an instance runs requests, pays for them and keeps their answers with. */
export interface InstanceRequests {
  budgets: BudgetClient;
  keepers: Keepers;
  ledger: Ledger;
  answers: AnswerStore;
  registry: RequestRegistry;
  reconciler: Reconciler;
  runner: Runner;
  opener: AnswerOpener;
}

/** Creates the budgets, answers and runner of an instance that runs nothing yet. */
export function createInstanceRequests(
  base: InstanceBase,
  { admission, distributor, engine, loads }: InstanceRouting,
  settings: Settings,
  fleet: Fleet,
): InstanceRequests {
  const { clock, random, self, log, platform, table, network } = base;
  const { objects } = platform;
  const { getLocalInstances, getInstances, isLive, isLost } = fleet;
  const guard = createPauseGuard(clock, async () => {
    await Promise.all([fleet.poll(), distributor.refresh()]);
  });
  const budgets = createBudgetClient({ clock, random, self, network, getLocalInstances });
  const keepers = createKeepers({
    clock,
    log,
    self,
    table,
    objects,
    network,
    policy: getGrantPolicy(settings),
    getDataCentres: () => fleet.getDataCentres().length,
    getLocalInstances,
    isTableUnreachable: base.isTableUnavailable,
    isLive,
    isLost,
    stopRequest: (placements, reserved) => stopLostRequest(engine, placements, reserved),
  });
  const answers = createAnswerStore(clock, {
    retention: settings.answerRetention,
    capacityBytes: settings.answerCapacity,
  });
  const registry = createRequestRegistry({
    clock,
    self,
    network,
    retention: settings.answerRetention,
    getLocalInstances,
    getInstances,
    isLive,
    isFleetComplete: fleet.isComplete,
    findReservation: (request) => findLostRequest({ self, keepers, isLive }, request),
  });
  const ledger = createLedger({ clock, table });
  const reconciler = createReconciler({
    clock,
    self,
    ledger,
    objects,
    registry,
    getLocalInstances,
  });
  const runner = createRunner({
    clock,
    log,
    self,
    settings,
    budgets,
    answers,
    claims: createClaims(clock, table, self),
    registry,
    admission,
    guard,
    refreshEndpoint: loads.refresh,
    engine,
    services: createServiceClient(settings),
  });
  serveAnswers(clock, network, answers);
  const opener = createAnswerOpener({ clock, self, network, answers, registry, runner });
  return { budgets, keepers, ledger, answers, registry, reconciler, runner, opener };
}

function getGrantPolicy(settings: Settings): GrantPolicy {
  if (settings.grants !== 'adaptive') return { kind: settings.grants };
  return { kind: 'adaptive', horizonSeconds: settings.grantHorizon };
}
