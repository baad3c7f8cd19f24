import { Diagnostics, sleep } from '@pomeloroad/core';
import type { Milliseconds, Outcome, Tokens } from '@pomeloroad/core';
import type { Placement, UsageRecord } from '@pomeloroad/budgets';
import type { Answer } from '@pomeloroad/requests';
import type { Slot } from '@pomeloroad/routing';
import { refuse, toFailureRefusal } from './chatOutcome';
import type { ChatRequest } from './chatRequest';
import type { EngineCall, EngineError, EngineSink, StoppedUsage } from './engineTypes';
import type { RunHost } from './runHost';
import type { RunRequest } from './runRequest';
import { followStream } from './streamFollower';
import type { StreamFollow } from './streamFollower';
import type { StreamProgress } from './streamProgress';
import { createUsageRecord } from './usage';

const BACKLOG_EVENTS_MAX = 64;
const STOP_ATTEMPTS_MAX = 30;
const STOP_RETRY_DELAY_MS: Milliseconds = 1000;

/** A chat completion that runs, attempt by attempt. */
export interface ChatRun {
  host: RunHost;
  request: RunRequest;
  chat: ChatRequest;
  answer: Answer;
  signal: AbortSignal;
  /** Slot of the present attempt; there is none for a stream that was taken over. */
  slot?: Slot;
}

/** Runs the stream of a placed attempt, or reads it from its first event, to its end. */
export function followPlaced(
  run: ChatRun,
  placement: Placement,
  progress: StreamProgress,
  first: 'run' | 'resume',
): Promise<Outcome<void, EngineError>> {
  const { clock, log, engine, settings } = run.host;
  const { endpoint, stream } = placement;
  run.answer.setStream(stream);
  const follow: StreamFollow = {
    clock,
    engine,
    call: createCall(run, placement),
    progress,
    sink: createSink(run, progress),
    stallTimeout: settings.stallTimeout,
    getTimeLimit: () => getProgressTimeout(run, progress),
    isOverBound: () => isOverBound(run, progress),
    onResume: () => log(Diagnostics.requestResumed, { request: run.request.id, endpoint }),
  };
  return followStream(follow, first);
}

// The longest time without a new delta after which a stream is still resumed.
function getProgressTimeout({ host }: ChatRun, progress: StreamProgress): Milliseconds {
  const { firstByteTimeout, betweenTimeout } = host.settings;
  return progress.countDeltas() === 0 ? firstByteTimeout : betweenTimeout;
}

/**
 * Stops a stream and returns its usage. Retried many times because only the endpoint knows it. The
 * answer ends after the first failure, so that its readers do not wait for the other attempts.
 */
export async function stopStream(
  run: ChatRun,
  placement: Placement,
): Promise<StoppedUsage | undefined> {
  const { host } = run;
  for (let attempt = 0; attempt < STOP_ATTEMPTS_MAX; attempt += 1) {
    const stopped = await host.engine.stop(placement.address, placement.stream);
    if (stopped.ok) return stopped.val;
    if (attempt === 0) run.answer.finish(refuse(toFailureRefusal(stopped.val)));
    await sleep(host.clock, STOP_RETRY_DELAY_MS);
  }
  return undefined;
}

function createCall({ chat, request, signal }: ChatRun, placement: Placement): EngineCall {
  return {
    address: placement.address,
    stream: placement.stream,
    body: chat.body,
    priority: request.priority,
    hasOwnConnection: !request.isIdempotent,
    signal,
  };
}

function createSink(run: ChatRun, progress: StreamProgress): EngineSink {
  return async (event) => {
    run.slot?.recordActivity();
    const text = progress.accept(event);
    if (text === undefined) return;
    if (isOverBound(run, progress)) throw new RangeError('the answer is longer than its limit');
    run.answer.append({ kind: 'delta', text });
    await run.answer.waitForBacklog(BACKLOG_EVENTS_MAX);
  };
}

/** Whether the answer is longer than its limit. */
export function isOverBound({ chat }: ChatRun, progress: StreamProgress): boolean {
  return progress.countDeltas() > chat.outputBound;
}

/**
 * Whether an engine was restarted, and so knows none of its streams. Another stream may not go on with
 * the text of this one, as its model or software may be of another version.
 */
export function isForgotten(
  { request }: ChatRun,
  stopped: StoppedUsage,
  progress: StreamProgress,
): boolean {
  const hasBegun = progress.countDeltas() > 0 || request.isContinuation;
  return stopped.state === 'never' && hasBegun;
}

/** The record that a run is billed by. */
export function createRecord(
  run: ChatRun,
  promptTokens: Tokens,
  completionTokens: Tokens,
): UsageRecord {
  return createUsageRecord(run.host.clock, run.request, promptTokens, completionTokens);
}
