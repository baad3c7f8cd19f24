import { createRandom } from '@pomeloroad/core';
import type { Milliseconds } from '@pomeloroad/core';
import type { Deployment } from './deployments';
import type { Fault } from './faultNames';
import { isRequest } from './trace';
import type { TraceEvent } from './trace';

/** Largest share of a replay that a partition may take, so that it ends while requests arrive. */
const MAX_PARTITION_SHARE = 0.6;
/** Share of the requests with a key that get one more repeat. */
const REPEAT_SHARE = 0.3;
const MAX_REPEAT_DELAY_MS = 2000;

/** Faults that last as long as a partition or depend on its length. */
const PARTITION_LENGTH_FAULTS: Fault[] = [
  'partition',
  'platform-cut',
  'platform-slow',
  'lost-answers',
  'topup-during-partition',
];

/**
 * Returns the trace adapted to the faults: stretched in time if they last long, and with repeats by
 * the callers if `retries` is among them. The same seed gives the same repeats.
 */
export function prepareTrace(
  deployment: Deployment,
  trace: TraceEvent[],
  seed: number,
  faults: Fault[],
  partition: Milliseconds,
): TraceEvent[] {
  const stretched = stretchTrace(trace, faults, partition);
  return faults.includes('retries') ? addRepeats(deployment, stretched, seed) : stretched;
}

function stretchTrace(trace: TraceEvent[], faults: Fault[], partition: Milliseconds): TraceEvent[] {
  if (!faults.some((fault) => PARTITION_LENGTH_FAULTS.includes(fault))) return trace;
  const length = Math.max(...trace.map((event) => event.at));
  const factor = Math.max(1, partition / MAX_PARTITION_SHARE / length);
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
    const repeat = { after: random.integer(0, MAX_REPEAT_DELAY_MS), site: pickSite() };
    return { ...event, repeats: [...event.repeats, repeat] };
  });
}
