import { match } from 'ts-pattern';
import { Diagnostics } from '@pomeloroad/core';
import type { SlotResult, Slot } from '@pomeloroad/routing';
import { findEndFault } from './answerEnd';
import { logFailure } from './attempt';
import type { SentAttempt } from './attempt';
import { sendWithRetries } from './attempts';
import { noteResumption, noteStreamEnd, reportEnd } from './endReport';
import { STREAM_THRESHOLD_MS } from './patience';
import { awaitStep } from './replacement';
import type { Progress } from './replacement';
import { getTimeLeft, takeAttempt } from './run';
import type { Run } from './run';
import { getVersion, noteEvents } from './takeUp';
import type { EventStream, StreamStep } from './types';

/**
 * How a stream ended: stated as complete by its endpoint, closed in order without such a statement,
 * or broken off.
 */
export type StreamEnd = 'complete' | 'closed' | 'broken';

/** A stream of an endpoint and the attempt that brought it. */
interface Source {
  stream: EventStream;
  attempt: SentAttempt;
}

/** The end of a stream and the endpoint that it came from. */
interface SourceEnd {
  end: StreamEnd;
  endpoint: string;
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
    const eventsBefore = run.events;
    const source = await resume(run, last.replacement);
    if (!source) return last.end;
    const next = await relaySource(run, source);
    // A resumption that breaks off before its first event tells nothing about the stream.
    const tellsNothing = run.events === eventsBefore && next.end === 'broken';
    last = tellsNothing ? { ...last, replacement: next.replacement } : next;
  }
  return last.end;
}

function shouldResume<Payload>(run: Run<Payload>, { end, endpoint }: SourceEnd): boolean {
  const mayLackEvents = match(end)
    .with('complete', () => false)
    .with('closed', () => run.host.endStatements.has(endpoint))
    .with('broken', () => true)
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
  const { step, replacement } = await relayEvents(run, source);
  // Two attempts of one request must not run at the same time.
  await stream.close();
  const end = step ? await judgeEnd(run, attempt, step) : 'broken';
  slot.release(getSlotResult(run, step));
  const framing = run.framing ?? '';
  run.host.metrics.streamEnds.add(1, { end: step ? end : 'replaced', framing });
  if (end === 'complete') run.host.endStatements.add(endpoint);
  else run.excluded.add(endpoint);
  return { end, endpoint, replacement };
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
    noteEvents(run, attempt.slot.endpoint);
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
  const message =
    step.kind === 'broken' ? step.message : await findEndFault(run, attempt.slot, step);
  if (message === undefined) return step.kind;
  logFailure(run, attempt, { kind: 'broken', message });
  return 'broken';
}
