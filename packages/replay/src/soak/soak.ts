import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { callHttp, runPeriodically } from '@pomeloroad/core';
import type { Clock, Milliseconds } from '@pomeloroad/core';
import type { EarlyEndReason } from '@pomeloroad/standins';
import { BUNDLED_PROGRAM } from '../paths';
import { pause } from '../pause';
import { createLauncher } from '../programs';
import type { Launcher } from '../programs';
import { startBusyLoops } from './busyLoops';
import { startCallers } from './callers';
import type { EarlyEnd } from './callers';
import { createEvidence } from './evidence';
import type { Evidence, Failure } from './evidence';
import { startFleet } from './fleet';
import type { Fleet, FleetSize } from './fleet';
import type { JoinedCount } from './joinedStreams';
import { createInjector } from './injector';
import { createOperator } from './operator';
import type { PlannedFault } from './faults';
import { createPlan } from './plan';
import { buildRevision } from './olderBuild';
import { checkProcesses } from './processChecks';
import type { ProcessPeaks } from './processChecks';
import { createSender } from './sender';
import { startSocketCallers } from './socketCallers';
import type { VersionHistory } from './versionChecks';

/** Settings of a soak. */
export interface SoakOptions extends FleetSize {
  seed: number;
  /** Time from the first request to the last. */
  length: Milliseconds;
  /** Time at the end in which no fault begins, so that the recovery can be checked. */
  calm: Milliseconds;
  callers: number;
  /** Number of callers on plain sockets, besides the others. */
  sockets: number;
  /** Names of the faults to play. */
  faults: string[];
  /** Whether endpoints' answers are to have faults. */
  hasAnswerFaults: boolean;
  /** Whether callers on plain sockets send what no server may run. */
  hasUnreadable: boolean;
  /** Ends in order of answers that are not whole, which further callers ask for. */
  earlyEnds: EarlyEnd[];
  /** Whether the configuration says that endpoints of streams replicate runs. */
  hasReplicas?: boolean;
  /** Number of processes beside the soak that only burn processor time. */
  busyLoops?: number;
  /** Least number of such ends by their reason, for which the soak goes on beyond its length for a time. */
  awaitedEnds?: Partial<Record<EarlyEndReason, number>>;
  /** Commit whose program the instances run until they are started again; `undefined` for the present one. */
  olderRevision?: string | undefined;
  /** Whether they run it after that too. */
  keepsOlder?: boolean;
  onLog(name: string, line: string): void;
  /** Aborted to end the soak early, and with it all processes. */
  signal: AbortSignal;
}

/** The result of a soak. */
export interface SoakResult {
  seed: number;
  plan: PlannedFault[];
  /** How often each fault was played. */
  faults: Record<string, number>;
  /** How often each check was made. */
  checks: Record<string, number>;
  /** How often endpoints stated the end of an answer with events missing, by the reason. */
  falseEnds: Record<string, number>;
  /** The same by kind, with how often callers took such an answer for whole. */
  earlyEnds: Evidence['earlyEnds'];
  /** Both harms of wrong ends side by side, by the kind of request. */
  ends: Evidence['ends'];
  /** The same by route and framing. */
  framedEnds: Evidence['framedEnds'];
  /** How often callers on plain sockets did each thing. */
  behaviours: Record<string, number>;
  /** Number of requests by how they ended. */
  outcomes: Record<string, number>;
  spent: Record<string, number>;
  /** Streams that went on, and the shares of those that began and were taken up. */
  streams: JoinedCount & VersionHistory['shares'];
  peaks: ProcessPeaks;
  failures: Failure[];
}

const READINESS_INTERVAL_MS: Milliseconds = 1000;
const JUDGE_INTERVAL_MS: Milliseconds = 500;
const POLL_INTERVAL_MS: Milliseconds = 50;
/** Longest time beyond its length for which a soak waits for ends. */
const EXTENSION_MAX_MS: Milliseconds = 30_000;
const STATUS_OK = 200;

/** Runs a soak: starts all processes, plays the plan of the seed and checks what was seen. */
export async function runSoak(clock: Clock, options: SoakOptions): Promise<SoakResult> {
  const evidence = createEvidence(clock, options.olderRevision !== undefined);
  const launcher = createLauncher((name, line) => {
    options.onLog(name, line);
    evidence.addLine(name, line);
  });
  // An exception or an interrupt may end this process before its `finally` does.
  process.once('exit', launcher.stopAll);
  const directory = mkdtempSync(path.join(tmpdir(), 'pomeloroad-soak-'));
  const plan = createPlan({ ...options, length: options.length - options.calm });
  const peaks: ProcessPeaks = { memoryMb: 0, files: 0 };
  const stopBusyLoops = startBusyLoops(options.busyLoops ?? 0);
  const aborted = new Promise<never>((_, reject) => {
    options.signal.addEventListener('abort', () => reject(new Error('interrupted')));
  });
  try {
    const running = playSoak({ clock, options, plan, evidence, launcher, peaks, directory });
    const faults = await Promise.race([running, aborted]);
    const left = await launcher.close();
    evidence.check('left-behind', left.length > 0 ? `still running: ${left.join()}` : undefined);
    const { checks, falseEnds, earlyEnds, behaviours, outcomes, failures } = evidence;
    const { totals, versions, ends, framedEnds } = evidence;
    const { seed } = options;
    const counts = { faults, checks, falseEnds, earlyEnds, ends, framedEnds, behaviours, outcomes };
    const streams = { ...evidence.streams.count(), ...versions.shares };
    const figures = { spent: totals.spent, streams, peaks };
    return { seed, plan, ...counts, ...figures, failures };
  } finally {
    stopBusyLoops();
    await launcher.close();
    process.off('exit', launcher.stopAll);
    rmSync(directory, { recursive: true, force: true });
  }
}

interface SoakRun {
  clock: Clock;
  options: SoakOptions;
  plan: PlannedFault[];
  evidence: Evidence;
  launcher: Launcher;
  peaks: ProcessPeaks;
  /** Where the instances' settings files are written. */
  directory: string;
}

// Resolves to how often each fault was played.
async function playSoak(run: SoakRun): Promise<Record<string, number>> {
  const { clock, options, evidence, peaks } = run;
  const { seed, olderRevision, keepsOlder } = options;
  const first = olderRevision ? buildRevision(olderRevision, run.directory) : BUNDLED_PROGRAM;
  const programs = { first, next: keepsOlder ? first : BUNDLED_PROGRAM };
  const fleet = await startFleet(clock, run.launcher, options, seed, run.directory, programs);
  const stopped = new AbortController();
  const { signal } = stopped;
  const sender = createSender(clock, evidence);
  const { hasReplicas = false } = options;
  const operator = createOperator({ ...run, fleet, sender, seed, hasReplicas, signal });
  await operator.start();
  const watches = [
    runPeriodically(
      clock,
      () => READINESS_INTERVAL_MS,
      signal,
      () => checkReadiness(fleet),
    ),
    runPeriodically(
      clock,
      () => JUDGE_INTERVAL_MS,
      signal,
      async () => {
        evidence.judge(false);
        checkProcesses(fleet, evidence, peaks);
      },
    ),
  ];
  while (fleet.instances.some((instance) => !instance.isReady)) await pause(POLL_INTERVAL_MS);
  const startedAt = clock.elapsed();
  const waitUntil = (at: Milliseconds) => pause(Math.max(0, startedAt + at - clock.elapsed()));
  const { callers: count, hasAnswerFaults: hasFaults, earlyEnds } = options;
  const base = { fleet, sender, seed, hasFaults };
  const callers = startCallers({ ...base, count, earlyEnds });
  const { sockets, hasUnreadable } = options;
  const socketCallers = startSocketCallers({ ...base, evidence, count: sockets, hasUnreadable });
  const operating = operator.run();
  const playing: Promise<void>[] = [];
  const injector = createInjector(fleet, evidence, operator);
  evidence.onCrash = (name) => playing.push(injector.restart(name));
  for (const planned of run.plan) {
    await waitUntil(planned.at);
    playing.push(injector.play(planned));
  }
  await Promise.all(playing);
  await waitUntil(options.length);
  const isOver = () => clock.elapsed() - startedAt >= options.length + EXTENSION_MAX_MS;
  while (!hasEnds(evidence, options) && !isOver()) await pause(POLL_INTERVAL_MS);
  await Promise.all([callers.stop(), socketCallers.stop()]);
  stopped.abort();
  await Promise.all([operating, ...watches]);
  evidence.judge(true);
  fleet.close();
  return injector.counts;
}

function hasEnds({ falseEnds }: Evidence, { awaitedEnds = {} }: SoakOptions): boolean {
  return Object.entries(awaitedEnds).every(([reason, least]) => (falseEnds[reason] ?? 0) >= least);
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
