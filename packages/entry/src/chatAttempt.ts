import { Diagnostics } from '@pomeloroad/core';
import type { Outcome } from '@pomeloroad/core';
import type { HeldReservation, Placement } from '@pomeloroad/budgets';
import { createRefusal } from '@pomeloroad/requests';
import type { AnswerEnd } from '@pomeloroad/requests';
import type { Slot } from '@pomeloroad/routing';
import { getPlacement } from './admit';
import {
  concludeNeverBegun,
  concludeNotRun,
  refuse,
  refuseCallerLeft,
  refuseEndpointLeaving,
  refuseKeeperLost,
  toFailureRefusal,
} from './chatOutcome';
import type { AttemptOutcome } from './chatOutcome';
import { createRecord, followPlaced, isForgotten, isOverBound, stopStream } from './chatStream';
import type { ChatRun } from './chatStream';
import type { EngineError, StoppedUsage } from './engineTypes';
import { createStreamProgress } from './streamProgress';
import type { StreamProgress } from './streamProgress';

/** Runs the request on the slot's endpoint and returns how that ended; settles and releases nothing. */
export async function runAttempt(
  run: ChatRun,
  slot: Slot,
  reservation: HeldReservation,
  attempt: number,
): Promise<AttemptOutcome> {
  const { request, signal } = run;
  const placement = getPlacement(request, slot, attempt, reservation.id);
  const isPlaced = await announcePlacement(run, reservation, placement);
  if (!isPlaced) return { kind: 'done', end: refuseKeeperLost(), record: undefined };
  if (signal.aborted) return { kind: 'done', end: refuseCallerLeft(), record: undefined };
  await run.host.guard.waitUntilFresh();
  await run.host.refreshEndpoint(slot.endpoint);
  if (slot.isLeaving()) return refuseEndpointLeaving();
  run.slot = slot;
  const progress = createStreamProgress();
  const outcome = await followPlaced(run, placement, progress, 'run');
  return concludeAttempt(run, reservation, placement, progress, outcome);
}

async function concludeAttempt(
  run: ChatRun,
  reservation: HeldReservation,
  placement: Placement,
  progress: StreamProgress,
  outcome: Outcome<void, EngineError>,
): Promise<AttemptOutcome> {
  if (outcome.ok) return completeAttempt(run, reservation, progress);
  if (outcome.val.ran === 'no') return concludeNotRun(outcome.val);
  const stopped = await stopStream(run, placement);
  if (!stopped || isForgotten(run, stopped, progress)) {
    // The endpoint can't tell the usage, so the whole reservation is charged.
    const record = createRecord(
      run,
      reservation.tokens - run.chat.outputBound,
      run.chat.outputBound,
    );
    return { kind: 'done', end: refuse(toFailureRefusal(outcome.val)), record };
  }
  if (stopped.state === 'never') return concludeNeverBegun(outcome.val);
  const record = createRecord(run, stopped.promptTokens, stopped.completionTokens);
  const isCompletable = isOverBound(run, progress) && !run.answer.isFinished();
  const end = isCompletable ? completeAtLimit(run, stopped) : refuse(toFailureRefusal(outcome.val));
  return { kind: 'done', end, record };
}

// Tells the keepers of the request's name and budget where the attempt runs, so that it can be
// taken over or billed without this instance. Returns whether the budget keeper noted it.
async function announcePlacement(
  run: ChatRun,
  reservation: HeldReservation,
  placement: Placement,
): Promise<boolean> {
  const { host, request } = run;
  const { id, budget, tokens, keeper } = reservation;
  const noted = request.name
    ? host.registry.recordRun(request.name, request.id, {
        placement,
        budget,
        reservation: id,
        keeper,
        tokens,
      })
    : Promise.resolve();
  const isAlreadyPlaced = reservation.placement?.stream === placement.stream;
  const placed = isAlreadyPlaced ? Promise.resolve(true) : reservation.place(placement);
  const [isPlaced] = await Promise.all([placed, noted]);
  return isPlaced;
}

function completeAttempt(
  run: ChatRun,
  reservation: HeldReservation,
  progress: StreamProgress,
): AttemptOutcome {
  const usage = progress.usage();
  if (!usage) return { kind: 'done', end: refuse(NO_USAGE), record: undefined };
  const { promptTokens, completionTokens } = usage;
  const tokens = promptTokens + completionTokens;
  if (tokens > reservation.tokens) {
    const { id } = run.request;
    run.host.log(Diagnostics.reservationExceeded, {
      request: id,
      tokens,
      reserved: reservation.tokens,
    });
  }
  run.answer.append(usage);
  const record = createRecord(run, promptTokens, completionTokens);
  return { kind: 'done', end: { kind: 'complete' }, record };
}

const NO_USAGE = createRefusal('endpoint_failed', 'unknown', 'The endpoint reported no usage.');

// Ends an answer that exceeded its bound like one that the endpoint ended there.
function completeAtLimit(run: ChatRun, stopped: StoppedUsage): AnswerEnd {
  const { promptTokens } = stopped;
  const completionTokens = run.chat.outputBound;
  run.answer.append({ kind: 'usage', promptTokens, completionTokens, finish: 'length' });
  return { kind: 'complete' };
}
