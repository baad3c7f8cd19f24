import { match } from 'ts-pattern';
import { Diagnostics } from '@pomeloroad/core';
import type { SlotResult, Slot } from '@pomeloroad/routing';
import { findEndFault } from '../ends/answerEnd';
import { logFailure } from './attempt';
import type { SentAttempt } from './sentAttempt';
import { sendWithRetries } from './attempts';
import { noteResumption, noteStreamEnd, reportEnd } from '../ends/endReport';
import { isRetryable, STREAM_THRESHOLD_MS } from './patience';
import { awaitStep } from './replacement';
import type { Progress } from './replacement';
import { getTimeLeft, takeAttempt } from '../run';
import type { Run } from '../run';
import { getVersion, noteEvents } from '../origins/takeUp';
import type { EndpointRecord, EventStream, StreamStep } from '../types';

/**
 * How a stream ended: stated as complete by its endpoint, closed in order without such a statement,
 * ended in either way though something speaks against it, or broken off.
 */
export type StreamEnd = 'complete' | 'closed' | 'doubtful' | 'broken';

/** A stream of an endpoint and the attempt that brought it. */
interface Source {
  stream: EventStream;
  attempt: SentAttempt;
}

/** The end of a stream and the endpoint that it came from. */
interface SourceEnd {
  end: StreamEnd;
  /** The end as its endpoint told it. */
  toldEnd: StreamEnd;
  endpoint: string;
  /** Entry of the endpoint; `undefined` if it was not asked. */
  record: EndpointRecord | undefined;
  /** Whether the endpoint sent no event, of a whole stream or of the rest of one. */
  isEmpty: boolean;
  /** The attempt that has taken the place of this one. */
  replacement: SentAttempt | undefined;
}

/**
 * Relays a stream to the caller. If it has broken off, or has probably broken off, the rest is
 * requested from another endpoint.
 */
export async function relayStream<Payload>(
  run: Run<Payload>,
  stream: EventStream,
  attempt: SentAttempt,
): Promise<StreamEnd> {
  let last = await relaySource(run, { stream, attempt });
  while (last.replacement || shouldResume(run, last)) {
    reportEnd(run, 'rest requested');
    const source = await resume(run, last.replacement);
    if (!source) break;
    last = combineEnds(last, await relaySource(run, source));
  }
  return last.isEmpty && isOnlyAnswer(run) ? last.toldEnd : last.end;
}

// One endpoint that sends nothing of the rest does not show that nothing is left of the stream; two do.
function combineEnds(last: SourceEnd, next: SourceEnd): SourceEnd {
  if (!next.isEmpty) return next;
  // A resumption that breaks off before its first event tells nothing about the stream.
  if (next.end === 'broken') return { ...last, replacement: next.replacement };
  const isConfirmed = last.end !== 'broken' && !isSamePlace(last.record, next.record);
  return isConfirmed ? { ...next, end: next.toldEnd } : next;
}

// An endpoint that has started again knows as little of the stream as it did before.
function isSamePlace(left: EndpointRecord | undefined, right: EndpointRecord | undefined): boolean {
  return left?.id === right?.id || left?.address === right?.address;
}

// Whether nothing was brought to the caller and the request may run once only, so that nobody can confirm it.
function isOnlyAnswer<Payload>({ request: { route }, events }: Run<Payload>): boolean {
  return events === 0 && (route.attempts === 1 || !isRetryable(route));
}

function shouldResume<Payload>(run: Run<Payload>, { end, endpoint }: SourceEnd): boolean {
  const mayLackEvents = match(end)
    .with('complete', () => false)
    .with('closed', () => run.host.endStatements.has(endpoint))
    .with('doubtful', 'broken', () => true)
    .exhaustive();
  const hasTime = !run.stop.signal.aborted && getTimeLeft(run) > 0;
  return mayLackEvents && hasTime && takeAttempt(run);
}

async function resume<Payload>(
  run: Run<Payload>,
  replacement: SentAttempt | undefined,
): Promise<Source | undefined> {
  const next = await sendWithRetries(run, replacement);
  if (next.err) return undefined;
  const { reply, attempt } = next.val;
  const { slot } = attempt;
  if (reply.kind !== 'stream') {
    slot.release('failed');
    return undefined;
  }
  recordResumption(run, slot);
  noteResumption(run);
  return { stream: reply.stream, attempt };
}

function recordResumption<Payload>(run: Run<Payload>, slot: Slot): void {
  const version = getVersion(slot.endpoint);
  const isSame = !run.origin || run.origin.version === version;
  run.host.metrics.resumptions.add(1, { version: isSame ? 'same' : 'other' });
  run.host.log(Diagnostics.requestResumed, {
    request: run.request.id,
    endpoint: slot.endpoint.name,
    version,
    fromVersion: run.origin?.version,
    after: run.lastEventId,
    events: run.events,
  });
}

async function relaySource<Payload>(run: Run<Payload>, source: Source): Promise<SourceEnd> {
  const { stream, attempt } = source;
  const { slot } = attempt;
  const endpoint = slot.endpoint.name;
  const eventsBefore = run.events;
  const { step, replacement } = await relayEvents(run, source);
  // Two attempts of one request must not run at the same time.
  await stream.close();
  const isEmpty = run.events === eventsBefore;
  const toldEnd = step ? await judgeEnd(run, attempt, step) : 'broken';
  const end = isEmpty && toldEnd !== 'broken' ? 'doubtful' : toldEnd;
  slot.release(getSlotResult(run, step));
  const framing = run.framing ?? '';
  run.host.metrics.streamEnds.add(1, { end: step ? end : 'replaced', framing });
  if (end === 'complete') run.host.endStatements.add(endpoint);
  else run.excluded.add(endpoint);
  return { end, toldEnd, endpoint, record: attempt.endpoint, isEmpty, replacement };
}

// An end in order is no failure of the endpoint, even if the answer is not complete.
function getSlotResult<Payload>(run: Run<Payload>, step: EndStep | undefined): SlotResult {
  if (!step) return 'silent';
  return step.kind !== 'broken' || run.stop.signal.aborted ? 'ok' : 'failed';
}

type EndStep = Exclude<StreamStep, { kind: 'events' }>;

/** The end of a stream, unless it was silent and is to be ended, and what has taken its place. */
interface LastStep {
  step: EndStep | undefined;
  replacement: SentAttempt | undefined;
}

async function relayEvents<Payload>(
  run: Run<Payload>,
  { stream, attempt }: Source,
): Promise<LastStep> {
  for (;;) {
    const progress = await awaitEvents(run, stream, attempt);
    if (progress.kind === 'replaced') {
      const { by: replacement, failure } = progress;
      return { step: failure?.kind === 'broken' ? failure : undefined, replacement };
    }
    const { step } = progress;
    if (step.kind !== 'events') return { step, replacement: undefined };
    run.events += step.count;
    noteEvents(run, attempt);
    run.course.lastEventAt = run.host.clock.elapsed();
    run.lastEventId = step.lastId ?? run.lastEventId;
    await run.caller.write(step.data);
  }
}

function awaitEvents<Payload>(
  run: Run<Payload>,
  stream: EventStream,
  attempt: SentAttempt,
): Promise<Progress<StreamStep>> {
  const startedAt = run.host.clock.elapsed();
  return awaitStep(run, {
    attempt,
    step: stream.next(),
    hasFailed: (step) => step.kind === 'broken',
    threshold: STREAM_THRESHOLD_MS,
    silentSince: () => startedAt,
  });
}

async function judgeEnd<Payload>(
  run: Run<Payload>,
  attempt: SentAttempt,
  step: EndStep,
): Promise<StreamEnd> {
  noteStreamEnd(run, attempt, step);
  if (step.kind === 'broken') {
    logFailure(run, attempt, step);
    return 'broken';
  }
  const fault = await findEndFault(run, attempt, step);
  if (fault === undefined) return step.kind;
  logFailure(run, attempt, { kind: 'broken', message: fault });
  return 'doubtful';
}
