import { callHttp, sleep } from '@pomeloroad/core';
import type { Clock, Milliseconds } from '@pomeloroad/core';
import { createLauncher } from '../programs';
import { pause } from '../pause';
import { startCallers } from './callers';
import { putConfiguration } from './configuration';
import { createEvidence } from './evidence';
import type { Evidence, Failure } from './evidence';
import { startFleet } from './fleet';
import type { Fleet, FleetSize } from './fleet';
import { createInjector } from './injector';
import { createPlan } from './plan';
import type { PlannedFault } from './plan';

/** Settings of a soak. */
export interface SoakOptions extends FleetSize {
  seed: number;
  length: Milliseconds;
  callers: number;
  onLog(name: string, line: string): void;
}

/** The result of a soak. */
export interface SoakResult {
  seed: number;
  plan: PlannedFault[];
  checks: Record<string, number>;
  outcomes: Record<string, number>;
  failures: Failure[];
}

const READINESS_INTERVAL_MS: Milliseconds = 1000;
const JUDGE_INTERVAL_MS: Milliseconds = 500;
const POLL_INTERVAL_MS: Milliseconds = 50;
const STATUS_OK = 200;

/** Runs a soak: starts all processes, plays the plan of the seed and checks what was seen. */
export async function runSoak(clock: Clock, options: SoakOptions): Promise<SoakResult> {
  const { seed, length } = options;
  const evidence = createEvidence(clock);
  const launcher = createLauncher((name, line) => {
    options.onLog(name, line);
    evidence.addLine(name, line);
  });
  const plan = createPlan(seed, options, length);
  try {
    const fleet = await startFleet(clock, launcher, options, seed);
    await playPlan(clock, options, plan, fleet, evidence);
    fleet.close();
  } finally {
    launcher.stopAll();
  }
  const { checks, outcomes, failures } = evidence;
  return { seed, plan, checks, outcomes, failures };
}

async function playPlan(
  clock: Clock,
  options: SoakOptions,
  plan: PlannedFault[],
  fleet: Fleet,
  evidence: Evidence,
): Promise<void> {
  const stopped = new AbortController();
  await putConfiguration(fleet.store, 1);
  const watches = [
    repeat(clock, READINESS_INTERVAL_MS, stopped.signal, () => checkReadiness(fleet)),
    repeat(clock, JUDGE_INTERVAL_MS, stopped.signal, async () => evidence.judge(false)),
  ];
  while (fleet.instances.some((instance) => !instance.isReady)) await pause(POLL_INTERVAL_MS);
  const startedAt = clock.elapsed();
  const callers = startCallers({
    clock,
    fleet,
    evidence,
    seed: options.seed,
    count: options.callers,
  });
  const injector = createInjector(fleet, evidence);
  const faults: Promise<void>[] = [];
  for (const { at, fault } of plan) {
    await pause(Math.max(0, startedAt + at - clock.elapsed()));
    faults.push(injector.play(fault));
  }
  await Promise.all(faults);
  await pause(Math.max(0, startedAt + options.length - clock.elapsed()));
  await callers.stop();
  stopped.abort();
  await Promise.all(watches);
  evidence.judge(true);
}

async function checkReadiness(fleet: Fleet): Promise<void> {
  await Promise.all(
    fleet.instances.map(async (instance) => {
      const checked = instance;
      const url = `http://${instance.readinessAddress}/v1/readyz`;
      const answer = await callHttp({ method: 'GET', url, timeout: READINESS_INTERVAL_MS });
      checked.isReady = answer.ok && answer.val.status === STATUS_OK;
    }),
  );
}

async function repeat(
  clock: Clock,
  interval: Milliseconds,
  signal: AbortSignal,
  step: () => Promise<void>,
): Promise<void> {
  while (!signal.aborted) {
    await step();
    await sleep(clock, interval, signal);
  }
}
