import { Diagnostics } from '@pomeloroad/core';
import type { Milliseconds } from '@pomeloroad/core';
import type { HeldReservation } from '@pomeloroad/budgets';
import { createRefusal } from '@pomeloroad/requests';
import type { Answer, AnswerEnd, RunState } from '@pomeloroad/requests';
import type { RouteRequest, Slot } from '@pomeloroad/routing';
import { acquireSlot, admitRepeatedly, admitRequest } from './admit';
import { runAttempt } from './chatAttempt';
import type { ChatRequest } from './chatRequest';
import { createRecord, followPlaced, isForgotten, stopStream } from './chatStream';
import type { ChatRun } from './chatStream';
import { claimName, releaseName } from './claimName';
import type { RunHost } from './runHost';
import type { RunRequest } from './runRequest';
import { createStreamProgress } from './streamProgress';
import { isEndpointFault, isNotRun, refuse, refuseNotRun, toFailureRefusal } from './chatOutcome';

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

function getRoute(request: RunRequest, chat: ChatRequest): RouteRequest {
  const { account, priority, patience } = request;
  const target = { kind: 'engine' as const, model: chat.model };
  return { target, account, priority, patience, excluded: new Set() };
}
