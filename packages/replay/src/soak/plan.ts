import { createRandom } from '@pomeloroad/core';
import type { Milliseconds, Random } from '@pomeloroad/core';
import { findFaultDraw } from './faultDraws';
import type { PlannedFault } from './faults';
import type { FleetSize } from './fleet';

const FIRST_FAULT_MS: Milliseconds = 3000;
const FAULT_GAP_MIN_MS: Milliseconds = 50;
const FAULT_GAP_MAX_MS: Milliseconds = 1500;
/** One gap in this many is long, so that bounds that hold only in calm are checked as well. */
const CALM_RATIO = 6;
const CALM_GAP_MIN_MS: Milliseconds = 5000;
const CALM_GAP_MAX_MS: Milliseconds = 9000;

/** What a plan is made for. */
export interface PlanOptions extends FleetSize {
  seed: number;
  /** Time after which no fault begins. */
  length: Milliseconds;
  /** Names of the faults to play. */
  faults: string[];
}

/** Returns the faults of a soak; the same seed gives the same plan. Each name comes in turn. */
export function createPlan({ seed, length, faults, ...size }: PlanOptions): PlannedFault[] {
  const random = createRandom(seed);
  const plan: PlannedFault[] = [];
  let names: string[] = [];
  let at = FIRST_FAULT_MS;
  while (at < length && faults.length > 0) {
    if (names.length === 0) names = [...faults];
    const [name = ''] = names.splice(random.integer(0, names.length - 1), 1);
    const drawFault = findFaultDraw(name);
    if (drawFault) plan.push({ at, name, fault: drawFault(random, size) });
    at += drawGap(random);
  }
  return plan;
}

function drawGap(random: Random): Milliseconds {
  if (random.integer(1, CALM_RATIO) === 1) return random.integer(CALM_GAP_MIN_MS, CALM_GAP_MAX_MS);
  return random.integer(FAULT_GAP_MIN_MS, FAULT_GAP_MAX_MS);
}
