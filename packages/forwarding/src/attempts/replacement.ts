import { match } from 'ts-pattern';
import { Diagnostics, sleep, withTimeout } from '@pomeloroad/core';
import type { Clock, Milliseconds } from '@pomeloroad/core';
import type { Slot } from '@pomeloroad/routing';
import { describeAttempt, mayHaveRun, sendAttempt } from './attempt';
import type { SentAttempt } from './sentAttempt';
import { choose } from './choice';
import type { Choice } from './choice';
import { readAhead } from './readAhead';
import type { Replacement } from './readAhead';
import { findReplacementSlot, noteLoss } from './replacementSlot';
import { getTimeLeft, hasAttemptsLeft, mayBeDeclined, takeRetry } from '../run';
import type { Run } from '../run';

/** Enough for one turn of the event loop, which reads the connections that have data. */
const READ_TURN_MS: Milliseconds = 1;
/** Time after which a replacement is looked for again. */
const NEXT_LOOK_MS: Milliseconds = 300;
/** An attempt whose next step is awaited: its reply, or the next events or the end of its stream. */
export interface AwaitedStep<Step> {
  attempt: SentAttempt;
  step: Promise<Step>;
  /** Whether the step shows that the attempt has failed. */
  hasFailed(step: Step): boolean;
  /** Silence after which a replacement is looked for. */
  threshold: Milliseconds;
  /** Returns when the silence began. */
  silentSince(): Milliseconds;
}

/**
 * How a wait ended: with the step, or with a replacement that takes the attempt's place, which is then
 * to be ended. `failure` is the attempt's step if it has failed by itself.
 */
export type Progress<Step> =
  { kind: 'step'; step: Step } | { kind: 'replaced'; by: SentAttempt; failure: Step | undefined };

/** What the attempt did meanwhile. */
type Course = 'went on' | 'failed';
/** What decides between an attempt and its replacement. */
type Turn = Course | Choice | 'begun' | 'lost';

/** A silent attempt and what it does meanwhile. */
interface SilentAttempt {
  attempt: SentAttempt;
  course: Promise<Course>;
  /** Returns the course once it is known. */
  getCourse(): Course | undefined;
  /** Aborted once the course is known. */
  settled: AbortSignal;
  /** Returns when the silence began. */
  silentSince(): Milliseconds;
  threshold: Milliseconds;
}

/**
 * Waits for the next step of an attempt. If it stays silent, a replacement is sent, where the request may
 * run once more and there is a slot and a retry for it. Silence never ends the attempt: it goes on
 * until its replacement has begun (a stream with its first event), or until its endpoint or its connection turns out to be dead.
 */
export async function awaitStep<Payload, Step>(
  run: Run<Payload>,
  awaited: AwaitedStep<Step>,
): Promise<Progress<Step>> {
  const { attempt, step, hasFailed, silentSince, threshold } = awaited;
  const { clock } = run.host;
  const delay = silentSince() + threshold - clock.elapsed();
  if (await isSettledWithin(clock, delay, step)) return { kind: 'step', step: await step };
  const settled = new AbortController();
  let known: Course | undefined;
  const course = step.then((value) => {
    known = hasFailed(value) ? 'failed' : 'went on';
    settled.abort();
    return known;
  });
  const getCourse = () => known;
  const silent = { attempt, course, getCourse, settled: settled.signal, silentSince, threshold };
  const by = await replaceSilent(run, silent);
  if (!by) return { kind: 'step', step: await step };
  return { kind: 'replaced', by, failure: known === 'failed' ? await step : undefined };
}

// What arrived while the process was held up is read before the time counts as silence.
async function isSettledWithin(
  clock: Clock,
  delay: Milliseconds,
  step: Promise<unknown>,
): Promise<boolean> {
  const isSettled = step.then(() => true);
  if (await withTimeout(clock, delay, isSettled, false)) return true;
  return withTimeout(clock, READ_TURN_MS, isSettled, false);
}

// A silent endpoint may be one that this instance does not reach any more.
function checkPath<Payload>(
  { host }: Run<Payload>,
  { slot, endpoint }: SentAttempt,
  threshold: Milliseconds,
): void {
  const isSilent = host.clock.elapsed() - slot.getActivityTime() >= threshold;
  if (endpoint && isSilent) host.checkPath(endpoint);
}

// Looks for a replacement until one takes the attempt's place or the attempt's course is known.
async function replaceSilent<Payload>(
  run: Run<Payload>,
  silent: SilentAttempt,
): Promise<SentAttempt | undefined> {
  const { attempt, settled, silentSince, threshold } = silent;
  const { clock } = run.host;
  const report = createSilenceReport(run, attempt, silentSince());
  const declined = new Set<string>();
  while (!settled.aborted) {
    const delay = silentSince() + threshold - clock.elapsed();
    if (delay > 0) await sleep(clock, delay, settled);
    else {
      checkPath(run, attempt, threshold);
      const slot = await findPlace(run, attempt, declined, settled);
      const replacement = slot && (await tryReplacement(run, silent, slot, declined, report));
      if (replacement) return replacement;
      if (run.lack === 'attempt') break;
      await sleep(clock, NEXT_LOOK_MS, settled);
    }
  }
  report(await silent.course);
  return undefined;
}

// Returns a slot for a replacement, with a retry taken from the budget; or else notes what is missing.
async function findPlace<Payload>(
  run: Run<Payload>,
  { slot: { endpoint } }: SentAttempt,
  declined: ReadonlySet<string>,
  settled: AbortSignal,
): Promise<Slot | undefined> {
  const mayReplace = hasAttemptsLeft(run) && mayBeDeclined(run) && run.confirmer === undefined;
  run.lack = mayReplace ? undefined : 'attempt';
  if (run.lack) return undefined;
  const excluded = new Set([...run.excluded, endpoint.name]);
  const slot = await findReplacementSlot(run, excluded, declined, settled);
  if (slot.err) return undefined;
  if (!settled.aborted && takeRetry(run)) return slot.val;
  slot.val.release('unused');
  return undefined;
}

// Sends a replacement; returns it if it takes the attempt's place, or else ends it.
async function tryReplacement<Payload>(
  run: Run<Payload>,
  silent: SilentAttempt,
  slot: Slot,
  declined: Set<string>,
  report: (outcome: Turn) => void,
): Promise<SentAttempt | undefined> {
  const second = readAhead(run, sendAttempt(run, slot));
  const turn = await race(run, silent, second);
  const replacement = second.attempt;
  report(turn);
  return match(turn)
    .with('begun', 'failed', 'first is dead', 'second is ahead', async () => replacement)
    .with('lost', async () => {
      noteLoss(run, replacement, await replacement.reply, declined);
      return undefined;
    })
    .with('went on', 'first is sound', async () => {
      const reply = await replacement.end();
      slot.release('unused');
      if (mayHaveRun(reply)) run.returnable.add(slot.endpoint.name);
      return undefined;
    })
    .exhaustive();
}

async function race<Payload>(
  run: Run<Payload>,
  { attempt, course, getCourse, threshold }: SilentAttempt,
  second: Replacement,
): Promise<Turn> {
  const decided = new AbortController();
  const turns: Promise<Turn>[] = [course, second.beginning];
  if (run.request.route.kind === 'streaming') {
    const { connected } = second.attempt;
    const rivals = { first: attempt, second, threshold };
    turns.push(connected.then(() => choose(run, rivals, decided.signal)));
  }
  const turn = await Promise.race(turns);
  decided.abort();
  return getCourse() ?? turn;
}

// Logs and counts what became of a silent answer, and what was missing for a replacement.
function createSilenceReport<Payload>(
  run: Run<Payload>,
  attempt: SentAttempt,
  since: Milliseconds,
): (outcome: Turn) => void {
  const { host } = run;
  return (outcome) => {
    host.metrics.silences.add(1, { outcome, lack: run.lack ?? '' });
    host.log(Diagnostics.answerSilent, {
      ...describeAttempt(run, attempt),
      outcome,
      lack: run.lack,
      waited: Math.round(host.clock.elapsed() - since),
      runs: run.runs,
      declines: run.declines,
      timeLeft: Math.round(getTimeLeft(run)),
    });
  };
}
