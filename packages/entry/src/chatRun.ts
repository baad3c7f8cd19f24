import { Err } from 'ts-results';
import { Diagnostics, sleep } from '@pomeloroad/core';
import type { Milliseconds, Outcome, Tokens } from '@pomeloroad/core';
import type { HeldReservation, Placement, UsageRecord } from '@pomeloroad/budgets';
import { createRefusal } from '@pomeloroad/requests';
import type { Answer, AnswerEnd, RunState } from '@pomeloroad/requests';
import type { RouteRequest, Slot } from '@pomeloroad/routing';
import { acquireSlot, admitRequest, getPlacement } from './admit';
import type { ChatRequest } from './chatRequest';
import { claimName, releaseName } from './claimName';
import type { EngineCall, EngineError, EngineSink, StoppedUsage } from './engine';
import type { RunHost } from './runHost';
import { createProgress } from './progress';
import type { Progress } from './progress';
import type { RunRequest } from './runRequest';
import { createUsageRecord } from './usage';
import {
  isEndpointFault,
  isKeeperLost,
  isNotRun,
  leftBeforeStart,
  notRunHere,
  notRunOnLeaving,
  refuse,
  toFailure,
  toNotRun,
} from './chatOutcome';
import type { Attempt } from './chatOutcome';

const ATTEMPTS = 3;
const ADMISSIONS = 3;
const RESUME_DELAY_MS = 200;
const BACKLOG_EVENTS = 64;
const STOP_ATTEMPTS = 30;
const STOP_RETRY_MS = 1000;

interface Run {
  host: RunHost;
  request: RunRequest;
  chat: ChatRequest;
  answer: Answer;
  signal: AbortSignal;
}

/** Runs a chat completion to its end and settles its cost. */
export async function runChat(
  host: RunHost,
  request: RunRequest,
  chat: ChatRequest,
  answer: Answer,
  signal: AbortSignal,
): Promise<AnswerEnd> {
  const run: Run = { host, request, chat, answer, signal };
  const deadline = host.clock.elapsed() + request.patience;
  let end = await runAdmitted(run, deadline);
  // A keeper that is lost before anything was sent costs another admission, not the request.
  for (let count = 1; count < ADMISSIONS && isKeeperLost(end); count += 1) {
    end = await runAdmitted(run, deadline);
  }
  return end;
}

async function runAdmitted(run: Run, deadline: Milliseconds): Promise<AnswerEnd> {
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
  run: Run,
  route: RouteRequest,
  deadline: Milliseconds,
  first: Slot,
  reservation: HeldReservation,
): Promise<AnswerEnd> {
  const { host, request } = run;
  const excluded = new Set<string>();
  let slot = first;
  for (let attempt = 1; ; attempt += 1) {
    const outcome = await runAttempt(run, slot, reservation, attempt);
    if (outcome.kind === 'done') {
      slot.release(isEndpointFault(outcome.end) ? 'failed' : 'ok');
      reservation.settle(outcome.record);
      if (isNotRun(outcome.end)) await releaseName(host, request);
      return outcome.end;
    }
    slot.release(outcome.result);
    excluded.add(slot.endpoint.name);
    host.log(Diagnostics.requestRetried, { request: request.id, endpoint: slot.endpoint.name });
    const next = attempt < ATTEMPTS ? await acquireNext(run, route, deadline, excluded) : undefined;
    if (!next) {
      reservation.settle(undefined);
      await releaseName(host, request);
      return refuse(outcome.refusal);
    }
    slot = next;
  }
}

async function acquireNext(
  run: Run,
  route: RouteRequest,
  deadline: Milliseconds,
  excluded: ReadonlySet<string>,
): Promise<Slot | undefined> {
  if (run.signal.aborted) return undefined;
  const next = await acquireSlot(run.host, { ...route, excluded }, deadline);
  return next.ok ? next.val : undefined;
}

async function runAttempt(
  run: Run,
  slot: Slot,
  reservation: HeldReservation,
  attempt: number,
): Promise<Attempt> {
  const { request, signal } = run;
  const placement = getPlacement(request, slot, attempt);
  if (!(await announcePlacement(run, reservation, placement))) return notRunHere();
  if (signal.aborted) return { kind: 'done', end: leftBeforeStart(), record: undefined };
  await run.host.guard.waitUntilFresh();
  await run.host.refreshEndpoint(slot.endpoint);
  if (slot.isLeaving()) return notRunOnLeaving();
  const call = createCall(run, placement);
  const progress = createProgress();
  const sink = createSink(run, progress);
  const outcome = await run.host.engine.run(call, sink);
  return concludeAttempt(run, reservation, placement, progress, outcome);
}

async function concludeAttempt(
  run: Run,
  reservation: HeldReservation,
  placement: Placement,
  progress: Progress,
  outcome: Outcome<void, EngineError>,
): Promise<Attempt> {
  if (outcome.ok) return complete(run, reservation, progress);
  if (outcome.val.ran === 'no') return toNotRun(outcome.val);
  const resumed = isTooLong(run, progress) ? outcome : await resumeStream(run, placement, progress);
  if (resumed.ok) return complete(run, reservation, progress);
  const stopped = await stopStream(run, placement);
  if (!stopped) {
    // The endpoint can't be asked, so the most that it may have used is charged.
    const record = createRecord(
      run,
      reservation.tokens - run.chat.outputBound,
      run.chat.outputBound,
    );
    return { kind: 'done', end: refuse(toFailure(outcome.val)), record };
  }
  if (stopped.state === 'never') return toNotRun(outcome.val);
  const record = createRecord(run, stopped.promptTokens, stopped.completionTokens);
  const end = isTooLong(run, progress)
    ? completeAtLimit(run, stopped)
    : refuse(toFailure(outcome.val));
  return { kind: 'done', end, record };
}

/** Takes over a stream that a lost instance started, from its first event. */
export async function resumeChat(
  host: RunHost,
  request: RunRequest,
  chat: ChatRequest,
  answer: Answer,
  signal: AbortSignal,
  state: RunState,
): Promise<AnswerEnd> {
  const run: Run = { host, request, chat, answer, signal };
  const reservation = await host.budgets.adopt(state);
  const progress = createProgress();
  const resumed = await resumeStream(run, state.placement, progress);
  if (resumed.err) {
    const stopped = await stopStream(run, state.placement);
    if (stopped?.state === 'never') {
      reservation?.settle(undefined);
      return runChat(host, request, chat, answer, signal);
    }
    const used = stopped ?? { promptTokens: state.tokens, completionTokens: 0 };
    reservation?.settle(createRecord(run, used.promptTokens, used.completionTokens));
    return refuse(toFailure(resumed.val));
  }
  const usage = progress.usage();
  if (usage) answer.append(usage);
  reservation?.settle(usage && createRecord(run, usage.promptTokens, usage.completionTokens));
  return { kind: 'complete' };
}

async function resumeStream(
  run: Run,
  placement: Placement,
  progress: Progress,
): Promise<Outcome<void, EngineError>> {
  const { host, request, signal } = run;
  const call = createCall(run, placement);
  let outcome: Outcome<void, EngineError> = Err(ABORTED);
  let progressAt = host.clock.elapsed();
  while (!signal.aborted && host.clock.elapsed() - progressAt < getPatience(run, progress)) {
    const before = progress.deltas();
    host.log(Diagnostics.requestResumed, { request: request.id, endpoint: placement.endpoint });
    outcome = await host.engine.resume(call, progress.lastIndex(), createSink(run, progress));
    if (outcome.ok || outcome.val.kind === 'rejected') return outcome;
    if (progress.deltas() > before) progressAt = host.clock.elapsed();
    await sleep(host.clock, RESUME_DELAY_MS, signal);
  }
  return outcome;
}

function getPatience({ host }: Run, progress: Progress): Milliseconds {
  const { firstByteTimeout, betweenTimeout } = host.settings;
  return progress.deltas() === 0 ? firstByteTimeout : betweenTimeout;
}

const ABORTED: EngineError = { kind: 'failed', ran: 'unknown', message: 'the caller left' };

// Retried for long, since the cost of a stream is known to its endpoint only.
async function stopStream(run: Run, placement: Placement): Promise<StoppedUsage | undefined> {
  const { host } = run;
  for (let attempt = 0; attempt < STOP_ATTEMPTS; attempt += 1) {
    const stopped = await host.engine.stop(placement.address, placement.stream);
    if (stopped.ok) return stopped.val;
    if (attempt === 0) run.answer.finish(refuse(toFailure(stopped.val)));
    await sleep(host.clock, STOP_RETRY_MS);
  }
  return undefined;
}

function createCall({ chat, request, signal }: Run, placement: Placement): EngineCall {
  return {
    address: placement.address,
    stream: placement.stream,
    body: chat.body,
    priority: request.priority,
    isFresh: !request.isIdempotent,
    signal,
  };
}

function createSink(run: Run, progress: Progress): EngineSink {
  return async (event) => {
    const text = progress.take(event);
    if (text === undefined) return;
    if (isTooLong(run, progress)) throw new RangeError('the answer is longer than its limit');
    run.answer.append({ kind: 'delta', text });
    await run.answer.waitForBacklog(BACKLOG_EVENTS);
  };
}

function isTooLong({ chat }: Run, progress: Progress): boolean {
  return progress.deltas() > chat.outputBound;
}

async function announcePlacement(
  run: Run,
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
  const isKnown = reservation.placement?.stream === placement.stream;
  const placed = isKnown ? Promise.resolve(true) : reservation.place(placement);
  const [isPlaced] = await Promise.all([placed, noted]);
  return isPlaced;
}

function complete(run: Run, reservation: HeldReservation, progress: Progress): Attempt {
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

function completeAtLimit(run: Run, stopped: StoppedUsage): AnswerEnd {
  const { promptTokens } = stopped;
  const completionTokens = run.chat.outputBound;
  run.answer.append({ kind: 'usage', promptTokens, completionTokens, finish: 'length' });
  return { kind: 'complete' };
}

function createRecord(run: Run, promptTokens: Tokens, completionTokens: Tokens): UsageRecord {
  return createUsageRecord(run.host.clock, run.request, promptTokens, completionTokens);
}

function getRoute(request: RunRequest, chat: ChatRequest): RouteRequest {
  const { account, priority, patience } = request;
  const target = { kind: 'engine' as const, model: chat.model };
  return { target, account, priority, patience, excluded: new Set() };
}
