import { match } from 'ts-pattern';
import { Diagnostics } from '@pomeloroad/core';
import type { SlotResult } from '@pomeloroad/routing';
import { describeIncarnation, isServerError } from './attempt';
import type { SentAttempt } from './sentAttempt';
import { sendWithRetries } from './attempts';
import { continueFromCopy } from '../copies/continuation';
import { combineCopyEnds } from '../copies/copyEnd';
import { noteOpenEnd, noteResumption, reportEnd } from '../ends/endReport';
import { combineEnds, renewEnd } from '../ends/confirmation';
import { concludeEnd, judgeSource, mayLackEvents, mayStayOpen } from '../ends/streamEnd';
import type { EndStep, SourceEnd, StreamEnd } from '../ends/streamEnd';
import { createPace } from './pace';
import type { Pace } from './pace';
import { STREAM_THRESHOLD_MS } from './patience';
import { leaveIfSilent, mayWaitForConfirmer } from './question';
import { awaitStep } from './replacement';
import type { Progress } from './replacement';
import { getTimeLeft, takeAttempt, takeSpareAttempt } from '../run';
import type { Run } from '../run';
import { getVersion, noteEvents } from '../origins/takeUp';
import type { EventStream, StreamStep } from '../types';

/** A stream of an endpoint and the attempt that brought it. */
interface Source {
  stream: EventStream;
  attempt: SentAttempt;
}

/** The end of a source, and the attempt that has taken its place. */
interface RelayedSource {
  end: SourceEnd;
  replacement: SentAttempt | undefined;
}

/**
 * Relays a stream to the caller. If it has broken off, or something speaks against its end, the rest is
 * requested from another endpoint, which confirms the end if it has no more. An end in order that nobody has
 * confirmed yet leaves the answer open, and is asked about again.
 */
export async function relayStream<Payload>(
  run: Run<Payload>,
  stream: EventStream,
  attempt: SentAttempt,
): Promise<StreamEnd> {
  const pace = createPace(run);
  let { end, replacement } = await relaySource(run, { stream, attempt });
  // A copy of what another incarnation may have begun is no copy of this run.
  const isUnproved = stream.incarnation === 'unproved';
  if (!replacement && !isUnproved) end = await relayFromCopy(run, attempt, end);
  while (replacement || mayLackEvents(end.end)) {
    if (mayStayOpen(run, end)) noteOpenEnd(run);
    const next = await relayRest(run, replacement, end, pace);
    replacement = next?.replacement;
    if (next) end = combineEnds(run, end, next.end);
    else if (run.stop.signal.aborted || !mayStayOpen(run, end)) break;
    else if (!mayWaitForConfirmer(run)) run.confirmer = undefined;
    if (!replacement && mayStayOpen(run, end)) {
      await pace.wait(next !== undefined);
      end = renewEnd(run, end);
    }
  }
  return concludeEnd(run, end);
}

// A run that may not be sent again goes on from its copy. A holder that has no copy any more confirms the end.
async function relayFromCopy<Payload>(
  run: Run<Payload>,
  source: SentAttempt,
  last: SourceEnd,
): Promise<SourceEnd> {
  const continuation = await continueFromCopy(run, source, last);
  if (!continuation) return last;
  return match(continuation)
    .with({ kind: 'unknown' }, () => last)
    .with({ kind: 'ended' }, () => ({ ...last, end: 'complete' as const }))
    .with({ kind: 'stream' }, async ({ stream, attempt }) => {
      noteContinuation(run, { stream, attempt });
      const next = await relaySource(run, { stream, attempt });
      return combineCopyEnds(last, next.end);
    })
    .exhaustive();
}

function noteContinuation<Payload>(run: Run<Payload>, source: Source): void {
  run.course.source = source.attempt;
  reportEnd(run, 'rest requested');
  recordResumption(run, source);
  noteResumption(run);
}

// One that says nothing about the end of an open answer is left for another one.
async function relayRest<Payload>(
  run: Run<Payload>,
  replacement: SentAttempt | undefined,
  last: SourceEnd,
  pace: Pace,
): Promise<RelayedSource | undefined> {
  if (!replacement && !shouldResume(run, last, pace)) return undefined;
  run.question = new AbortController();
  const before = replacement ? undefined : run.latest;
  const rest = relayNext(run, replacement);
  if (mayStayOpen(run, last)) leaveIfSilent(run, rest, run.question, before);
  return rest;
}

async function relayNext<Payload>(
  run: Run<Payload>,
  replacement: SentAttempt | undefined,
): Promise<RelayedSource | undefined> {
  const source = await resume(run, replacement);
  return source && relaySource(run, source);
}

function shouldResume<Payload>(run: Run<Payload>, last: SourceEnd, pace: Pace): boolean {
  if (run.stop.signal.aborted || getTimeLeft(run) <= 0) return false;
  // What was missing for an earlier question says nothing of this one.
  run.lack = undefined;
  // What is asked again, or counts in any case, leaves retries to answers that broke off.
  const isAgain = pace.hasAsked() && run.confirmer === undefined;
  const isSpare = isAgain || last.end === 'unconfirmed';
  return isSpare ? takeSpareAttempt(run) : takeAttempt(run);
}

async function resume<Payload>(
  run: Run<Payload>,
  replacement: SentAttempt | undefined,
): Promise<Source | undefined> {
  const arrivals = run.runs + run.declines;
  const next = await sendWithRetries(run, replacement);
  if (next.err) {
    const isUnused = !replacement && run.runs + run.declines === arrivals;
    if (isUnused) run.host.retryBudget.giveBack(run.request.service);
    return undefined;
  }
  const { reply, attempt } = next.val;
  const { slot } = attempt;
  if (reply.kind !== 'stream') {
    slot.release(isServerError(reply) ? 'failed' : 'ok');
    return undefined;
  }
  const source = { stream: reply.stream, attempt };
  reportEnd(run, 'rest requested');
  recordResumption(run, source);
  noteResumption(run);
  return source;
}

function recordResumption<Payload>(
  run: Run<Payload>,
  { stream, attempt: { slot, endpoint } }: Source,
): void {
  const version = getVersion(slot.endpoint);
  const { connectionAge } = stream;
  const isSame = !run.origin || run.origin.version === version;
  run.host.metrics.resumptions.add(1, { version: isSame ? 'same' : 'other' });
  run.host.log(Diagnostics.requestResumed, {
    request: run.request.id,
    endpoint: slot.endpoint.name,
    ...describeIncarnation(run.host, endpoint),
    version,
    fromVersion: run.origin?.version,
    connectionAge: connectionAge === undefined ? undefined : Math.round(connectionAge),
    after: run.lastEventId,
    events: run.events,
  });
}

async function relaySource<Payload>(run: Run<Payload>, source: Source): Promise<RelayedSource> {
  const { stream, attempt } = source;
  const { slot } = attempt;
  const eventsBefore = run.events;
  const { step, replacement } = await relayEvents(run, source);
  // Two attempts of one request must not run at the same time.
  await stream.close();
  const end = await judgeSource(run, attempt, stream, step, run.events === eventsBefore);
  slot.release(getSlotResult(run, step));
  const framing = run.framing ?? '';
  run.host.metrics.streamEnds.add(1, { end: step ? end.end : 'replaced', framing });
  if (end.end !== 'complete') run.excluded.add(slot.endpoint.name);
  if (end.end !== 'broken') run.returnable.add(slot.endpoint.name);
  return { end, replacement };
}

// An end in order is no failure of the endpoint, even if the answer is not complete.
function getSlotResult<Payload>(run: Run<Payload>, step: EndStep | undefined): SlotResult {
  if (!step || run.question.signal.aborted) return 'silent';
  return step.kind !== 'broken' || run.stop.signal.aborted ? 'ok' : 'failed';
}

/** The end of a stream, unless it was silent and is to be ended, and what has taken its place. */
interface LastStep {
  step: EndStep | undefined;
  replacement: SentAttempt | undefined;
}

async function relayEvents<Payload>(
  run: Run<Payload>,
  { stream, attempt }: Source,
): Promise<LastStep> {
  const eventsBefore = run.events;
  for (;;) {
    const progress = await awaitEvents(run, stream, attempt);
    if (progress.kind === 'replaced') {
      const { by: replacement, failure } = progress;
      return { step: failure?.kind === 'broken' ? failure : undefined, replacement };
    }
    const { step } = progress;
    if (step.kind !== 'events') return { step, replacement: undefined };
    run.events += step.count;
    const hasGoneOn = stream.hasRepeated() || run.events - eventsBefore > 1;
    if (hasGoneOn) run.host.endHistory.apartEnds.clear(attempt.slot.endpoint.name);
    await noteEvents(run, attempt, stream);
    run.course.lastEventAt = run.host.clock.elapsed();
    run.course.openSince = undefined;
    const unnumbered = step.unnumbered ?? 0;
    run.unnumbered = step.lastId === undefined ? run.unnumbered + unnumbered : unnumbered;
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
