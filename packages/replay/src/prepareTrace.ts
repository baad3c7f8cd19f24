import { createRandom } from '@pomeloroad/core';
import type { Milliseconds } from '@pomeloroad/core';
import type { Deployment } from './deployments';
import type { Fault } from './faultPlan';
import { isRequest } from './trace';
import type { TraceEvent } from './trace';

/** Part of a replay that a partition may take up, so that it heals under load. */
const PARTITION_SHARE = 0.6;
const REPEAT_SHARE = 0.3;
const LONGEST_REPEAT_MS = 2000;

/** Faults whose length is that of the partition. */
const LONG_FAULTS: Fault[] = [
  'partition',
  'platform-cut',
  'platform-slow',
  'lost-answers',
  'topup-during-partition',
];

/** Fits a trace to the faults: stretches it over a long partition and adds callers' retries. */
export function prepareTrace(
  deployment: Deployment,
  trace: TraceEvent[],
  seed: number,
  faults: Fault[],
  partition: Milliseconds,
): TraceEvent[] {
  const stretched = stretch(trace, faults, partition);
  return faults.includes('retries') ? addRepeats(deployment, stretched, seed) : stretched;
}

function stretch(trace: TraceEvent[], faults: Fault[], partition: Milliseconds): TraceEvent[] {
  if (!faults.some((fault) => LONG_FAULTS.includes(fault))) return trace;
  const length = Math.max(...trace.map((event) => event.at));
  const factor = Math.max(1, partition / PARTITION_SHARE / length);
  return trace.map((event) => ({ ...event, at: event.at * factor }));
}

function addRepeats(deployment: Deployment, trace: TraceEvent[], seed: number): TraceEvent[] {
  const random = createRandom(seed);
  const pickSite = () => {
    const index = random.integer(0, deployment.sites.length - 1);
    return deployment.sites[index]?.name ?? '';
  };
  return trace.map((event) => {
    if (!isRequest(event) || event.key === undefined) return event;
    if (random.fraction() >= REPEAT_SHARE) return event;
    const repeat = { after: random.integer(0, LONGEST_REPEAT_MS), site: pickSite() };
    return { ...event, repeats: [...event.repeats, repeat] };
  });
}
