import { match } from 'ts-pattern';
import { sleep } from '@pomeloroad/core';
import type { Milliseconds } from '@pomeloroad/core';
import type { SentAttempt } from './sentAttempt';
import type { Replacement } from './readAhead';
import type { Run } from '../run';
import { inquire } from '../ends/runInquiry';

/**
 * Time after which one of the two endpoints that work on a stream is chosen. Together with the two last
 * chances it is shorter than the 400 ms after which such work counts as done twice.
 */
const STREAM_OVERLAP_MS: Milliseconds = 240;
/** Time for what the first endpoint tells, and then for what the second one does. */
const LAST_CHANCE_MS: Milliseconds = 40;
/** A probe that took longer was not read in time. */
const PROBE_TIME_MAX_MS: Milliseconds = 370;

/** What decides between a silent attempt at a stream and its replacement. */
export type Choice = 'first is sound' | 'first is dead' | 'second is ahead';

/** Two attempts at one stream. */
export interface Rivals {
  first: SentAttempt;
  second: Replacement;
  /** Silence from which on the first counts as silent. */
  threshold: Milliseconds;
}

/**
 * Tells, while neither attempt at a stream goes on, which one is kept. What the first endpoint tells of
 * its run decides; if it does not tell, what is heard of it on other connections and by a probe.
 */
export async function choose<Payload>(
  run: Run<Payload>,
  { first, second, threshold }: Rivals,
  decided: AbortSignal,
): Promise<Choice> {
  const { clock, protocol } = run.host;
  const overlap = sleep(clock, STREAM_OVERLAP_MS, decided);
  await Promise.race([overlap, second.head]);
  if (decided.aborted || !first.endpoint) return 'first is sound';
  const told = inquire(run, first, first.endpoint);
  if (second.hasHead()) await Promise.race([overlap, told.death]);
  if (told.get() === 'dead') return 'first is dead';
  await overlap;
  if (decided.aborted) return 'first is sound';
  const heardAt = first.slot.getActivityTime();
  const startedAt = clock.elapsed();
  const probe = protocol.probe(first.endpoint);
  // What the first sends at the same moment as to others, or before its report, is read meanwhile.
  await Promise.race([told.death, sleep(clock, LAST_CHANCE_MS, decided)]);
  if (told.get() === 'alive') return 'first is sound';
  // An endpoint of which nothing is heard is compared with that of its replacement.
  const { endpoint } = second.attempt;
  const isCompared = told.get() === 'silent' && !decided.aborted;
  const other = isCompared && endpoint && inquire(run, second.attempt, endpoint);
  await Promise.race([told.death, sleep(clock, LAST_CHANCE_MS, decided)]);
  if (told.get() === 'silent') await probe;
  // A process that is slow itself has not read what may have come.
  const isLate = clock.elapsed() - startedAt > PROBE_TIME_MAX_MS;
  // What it sent to others as the silence began does not show that it still sends.
  const isHeardElsewhere = !isLate && heardAt - first.getActivityTime() >= threshold;
  // Where nothing is known of the first, a second that has sent its head is the better one.
  const unproved = () => (second.hasHead() ? 'second is ahead' : 'first is sound');
  return match(told.get())
    .with('alive', () => 'first is sound' as const)
    .with('dead', () => 'first is dead' as const)
    .with('answered', () => (isHeardElsewhere ? 'first is dead' : unproved()))
    .with('silent', async () => {
      if (isLate) return unproved();
      if (isHeardElsewhere || (await probe) !== 'accepting') return 'first is dead';
      return other && other.get() !== 'silent' ? 'second is ahead' : unproved();
    })
    .exhaustive();
}
