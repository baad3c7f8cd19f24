import { Diagnostics } from '@pomeloroad/core';
import type { Milliseconds, Outcome } from '@pomeloroad/core';
import type { HeldReservation, Placement } from '@pomeloroad/budgets';
import { createRefusal } from '@pomeloroad/requests';
import type { Answer, AnswerEnd, RunState } from '@pomeloroad/requests';
import type { RouteRequest, Slot } from '@pomeloroad/routing';
import { acquireSlot, admitRepeatedly, admitRequest, getPlacement } from './admit';
import type { ChatRequest } from './chatRequest';
import { createRecord, followPlaced, isForgotten, isOverBound, stopStream } from './chatStream';
import type { ChatRun } from './chatStream';
import { claimName, releaseName } from './claimName';
import type { EngineError, StoppedUsage } from './engineTypes';
import type { RunHost } from './runHost';
import type { RunRequest } from './runRequest';
import { createStreamProgress } from './streamProgress';
import type { StreamProgress } from './streamProgress';
import {
  concludeNeverBegun,
  concludeNotRun,
  isEndpointFault,
  isNotRun,
  refuse,
  refuseCallerLeft,
  refuseEndpointLeaving,
  refuseKeeperLost,
  refuseNotRun,
  toFailureRefusal,
} from './chatOutcome';
import type { AttemptOutcome } from './chatOutcome';

const ATTEMPTS_MAX = 3;

/** Runs a chat completion and settles its usage. Returns how its answer ended. */
export async function runChat(
  host: RunHost,
  request: RunRequest,
  chat: ChatRequest,
  answer: Answer,
  signal: AbortSignal,
): Promise<AnswerEnd> {
  const run: ChatRun = { host, request, chat, answer, signal };
  const deadline = host.clock.elapsed() + request.patience;
  return admitRepeatedly(() => admitAndRun(run, deadline));
}

async function admitAndRun(run: ChatRun, deadline: Milliseconds): Promise<AnswerEnd> {
  const { host, request, chat } = run;
  const route = getRoute(request, chat);
  const admitted = await admitRequest(host, request, route, chat.promptBound + chat.outputBound);
  if (admitted.err) return refuse(admitted.val);
  const { slot, reservation } = admitted.val;
  if (!reservation) return refuse(createRefusal('invalid_request', 'no', 'The request is empty.'));
  const claimed = await claimName(host, request);
  if (claimed.err) {
    slot.release('ok');
    reservation.settle(undefined);
    return refuse(claimed.val);
  }
  return runAttempts(run, route, deadline, slot, reservation);
}

async function runAttempts(
  run: ChatRun,
  route: RouteRequest,
  deadline: Milliseconds,
  firstSlot: Slot,
  reservation: HeldReservation,
): Promise<AnswerEnd> {
  const { host, request } = run;
  let excluded = new Set<string>();
  let slot = firstSlot;
  for (let attempt = 1; ; attempt += 1) {
    const outcome = await runAttempt(run, slot, reservation, attempt);
    if (outcome.kind === 'done') {
      const hasFailed = isEndpointFault(outcome.end) && !run.signal.aborted;
      slot.release(hasFailed ? 'failed' : 'ok');
      reservation.settle(outcome.record);
      if (isNotRun(outcome.end)) await releaseName(host, request);
      return outcome.end;
    }
    slot.release(outcome.result);
    host.log(Diagnostics.requestRetried, { request: request.id, endpoint: slot.endpoint.name });
    const others = new Set([...excluded, slot.endpoint.name]);
    const choices = outcome.isRepeatable ? [others, excluded] : [others];
    excluded = others;
    const next =
      attempt < ATTEMPTS_MAX ? await acquireNextSlot(run, route, deadline, choices) : undefined;
    if (!next) {
      reservation.settle(undefined);
      await releaseName(host, request);
      return refuse(outcome.refusal);
    }
    slot = next;
  }
}

// Tries the sets of excluded endpoints in order.
async function acquireNextSlot(
  run: ChatRun,
  route: RouteRequest,
  deadline: Milliseconds,
  choices: ReadonlySet<string>[],
): Promise<Slot | undefined> {
  for (const excluded of choices) {
    // An answer that ended while its stream could not be stopped can't take what another run returns.
    if (run.signal.aborted || run.answer.isFinished()) return undefined;
    const next = await acquireSlot(run.host, { ...route, excluded }, deadline);
    if (next.ok) return next.val;
  }
  return undefined;
}

async function runAttempt(
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

/**
 * Takes over a stream that a lost instance started, reads it from its first event and settles its
 * usage. Runs the request again if the stream never started.
 */
export async function resumeChat(
  host: RunHost,
  request: RunRequest,
  chat: ChatRequest,
  answer: Answer,
  signal: AbortSignal,
  state: RunState,
): Promise<AnswerEnd> {
  const run: ChatRun = { host, request, chat, answer, signal };
  const reservation = await host.budgets.adopt(state);
  const progress = createStreamProgress();
  const resumed = await followPlaced(run, state.placement, progress, 'resume');
  if (resumed.err) {
    const stopped = await stopStream(run, state.placement);
    const isKnown = stopped !== undefined && !isForgotten(run, stopped, progress);
    if (isKnown && stopped.state === 'never') {
      reservation?.settle(undefined);
      // An answer that ended while the stream could not be stopped is not run again.
      if (answer.isFinished()) return refuseNotRun(resumed.val);
      return runChat(host, request, chat, answer, signal);
    }
    const used = isKnown ? stopped : { promptTokens: state.tokens, completionTokens: 0 };
    reservation?.settle(createRecord(run, used.promptTokens, used.completionTokens));
    return refuse(toFailureRefusal(resumed.val));
  }
  const usage = progress.usage();
  if (usage) answer.append(usage);
  reservation?.settle(usage && createRecord(run, usage.promptTokens, usage.completionTokens));
  return { kind: 'complete' };
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

function getRoute(request: RunRequest, chat: ChatRequest): RouteRequest {
  const { account, priority, patience } = request;
  const target = { kind: 'engine' as const, model: chat.model };
  return { target, account, priority, patience, excluded: new Set() };
}
