import { createRandom } from '@pomeloroad/core';
import type { Milliseconds } from '@pomeloroad/core';
import { draw } from './callers';
import type { FleetSize } from './fleet';

/** A fault of the plan. Processes are named by their number, from 0. */
export interface Fault {
  kind: 'kill';
  endpoint: number;
  /** Time until the process is started again. */
  pause: Milliseconds;
}

/** A fault and the time, from the start of the soak, at which it begins. */
export interface PlannedFault {
  at: Milliseconds;
  fault: Fault;
}

const FIRST_FAULT_MS: Milliseconds = 2000;
const FAULT_GAP_MIN_MS: Milliseconds = 200;
const FAULT_GAP_MAX_MS: Milliseconds = 1500;
const PAUSES: Milliseconds[] = [100, 500, 1500, 3000];

/** Returns the faults for a soak of the length; the same seed gives the same plan. */
export function createPlan(seed: number, size: FleetSize, length: Milliseconds): PlannedFault[] {
  const random = createRandom(seed);
  const plan: PlannedFault[] = [];
  let at = FIRST_FAULT_MS;
  while (at < length) {
    const endpoint = random.integer(0, size.endpoints - 1);
    plan.push({ at, fault: { kind: 'kill', endpoint, pause: draw(random, PAUSES) } });
    at += random.integer(FAULT_GAP_MIN_MS, FAULT_GAP_MAX_MS);
  }
  return plan;
}
