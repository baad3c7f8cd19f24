import { match } from 'ts-pattern';
import { createRandom } from '@pomeloroad/core';
import type { ActionLog } from './evidence';
import { createRuleSet } from './faultContext';
import type { FaultContext } from './faultContext';
import type { Fault } from './faultNames';
import { killInstances, pauseInstance, restartInstances } from './instanceFaults';
import {
  cutDataCentres,
  cutPlatform,
  dropAnswers,
  silenceConnections,
  slowPlatform,
} from './networkFaults';
import { applyInConflict, topUpDuringPartition, withdrawEndpoints } from './operatorFaults';
import type { ReplayOptions } from './replay';
import type { Testbed } from './testbed';

/** Share of the trace's length that passes before the first fault. */
const FIRST_FAULT_SHARE = 0.15;
/** Faults during which instances cannot read the membership list, for the length of a partition. */
const MEMBERSHIP_FAULTS: Fault[] = ['partition', 'platform-cut'];
/** Time after such a fault until the instances read the membership list again. */
const MEMBERSHIP_RECOVERY_MS = 2000;

/** The scheduled faults of one replay. */
export interface FaultPlan {
  /** Injects the faults; resolves once all of them have ended. */
  run(): Promise<void>;
}

/** Creates the fault plan of a replay; the same seed gives the same schedule. */
export function createFaultPlan(
  testbed: Testbed,
  actionLog: ActionLog,
  options: ReplayOptions,
): FaultPlan {
  const random = createRandom(options.seed * 7919 + 17);
  const traceLength = Math.max(...options.events.map((event) => event.at));
  const start = traceLength * FIRST_FAULT_SHARE;
  const rules = createRuleSet(testbed);
  const hidesMembership = options.faults.some((fault) => MEMBERSHIP_FAULTS.includes(fault));
  const membershipLeaveAt = hidesMembership
    ? start + options.partition + MEMBERSHIP_RECOVERY_MS
    : start;
  const context: FaultContext = {
    testbed,
    actionLog,
    random,
    start,
    partition: options.partition,
    membershipLeaveAt,
    rules,
  };
  return {
    async run() {
      await Promise.all(options.faults.map((fault) => runFault(context, fault)));
    },
  };
}

function runFault(context: FaultContext, fault: Fault): Promise<void> {
  return (
    match(fault)
      .with('partition', () => cutDataCentres(context))
      .with('platform-cut', () => cutPlatform(context))
      .with('platform-slow', () => slowPlatform(context))
      .with('lost-answers', () => dropAnswers(context))
      .with('router-death', () => killInstances(context))
      .with('pause', () => pauseInstance(context))
      .with('silent', () => silenceConnections(context))
      // For retries, prepareTrace adds repeats to the trace.
      .with('retries', async () => undefined)
      .with('topup-during-partition', () => topUpDuringPartition(context))
      .with('conflicting-applies', () => applyInConflict(context))
      .with('endpoint-leaving', () => withdrawEndpoints(context))
      .with('rolling-restart', () => restartInstances(context))
      .exhaustive()
  );
}
