import { Err } from 'ts-results';
import { createCondition, withTimeout } from '@pomeloroad/core';
import type { Clock, Milliseconds, Outcome } from '@pomeloroad/core';
import type { EngineCall, EngineClient, EngineError, EngineSink } from './engineTypes';
import type { StreamProgress } from './streamProgress';

/** Pause before a stream is read anew after its only connection has ended. */
const RESUME_DELAY_MS = 200;

/** Dependencies of following a stream, and its limits. */
export interface StreamFollow {
  clock: Clock;
  engine: Pick<EngineClient, 'run' | 'resume'>;
  call: EngineCall;
  progress: StreamProgress;
  /** Receives the events of all connections; some may be repeated. */
  sink: EngineSink;
  /** Silence after which the stream is read over a further connection too. */
  stallTimeout: Milliseconds;
  /** Longest time without a new event. */
  getTimeLimit(): Milliseconds;
  /** Whether the stream has exceeded its limit, so that it is not read on. */
  isOverBound(): boolean;
  /** Called before the stream is read over a further connection. */
  onResume(): void;
}

interface Connection {
  kind: 'run' | 'resume';
  openedAt: Milliseconds;
  abort: AbortController;
  isReplaced: boolean;
}

/**
 * Runs a stream, or reads a started one, to its end. Silence ends no connection: a further one is
 * opened beside it, and the first that brings a new event replaces the others. The error tells with
 * `ran: 'no'` that the run was declined.
 */
export async function followStream(
  follow: StreamFollow,
  first: Connection['kind'],
): Promise<Outcome<void, EngineError>> {
  const { clock, engine, call, progress, sink, stallTimeout } = follow;
  const connections = new Set<Connection>();
  const ended = createCondition();
  let result: Outcome<void, EngineError> | undefined;
  let lastError = SILENT;
  let lastProgressAt = clock.elapsed();
  let openAt = Infinity;
  let stallDelay = stallTimeout;
  /** When the engine first said that it does not know the stream. */
  let unknownAt = Infinity;
  /** Events that the sink has not taken yet. Until then the engine is not the one that is silent. */
  let eventsInSink = 0;

  async function open(kind: Connection['kind']): Promise<void> {
    const openedAt = clock.elapsed();
    const abort = new AbortController();
    const connection: Connection = { kind, openedAt, abort, isReplaced: false };
    connections.add(connection);
    openAt = openedAt + stallDelay;
    const signal = AbortSignal.any([call.signal, connection.abort.signal]);
    // A connection of the pool may have died without notice, like the one that is silent.
    const hasOwnConnection = call.hasOwnConnection || kind === 'resume';
    const ownCall = { ...call, signal, hasOwnConnection };
    const receive: EngineSink = (event) => receiveEvent(connection, event);
    const outcome =
      kind === 'run'
        ? await engine.run(ownCall, receive)
        : await engine.resume(ownCall, progress.getLastIndex(), receive);
    connections.delete(connection);
    if (!connection.isReplaced) conclude(connection, outcome);
    ended.notify();
  }

  async function receiveEvent(
    connection: Connection,
    event: Parameters<EngineSink>[0],
  ): Promise<void> {
    if (connection.isReplaced) return;
    const indexBefore = progress.getLastIndex();
    const hadEnded = progress.hasEnded();
    eventsInSink += 1;
    const taken = sink(event);
    // An event that is refused because one before it is missing is no progress.
    const isEnd = !hadEnded && progress.hasEnded();
    const isNew = isEnd || progress.getLastIndex() > indexBefore;
    if (isNew) replaceOthers(connection);
    try {
      await taken;
    } finally {
      eventsInSink -= 1;
      if (isNew) recordProgress();
    }
  }

  function replaceOthers(connection: Connection): void {
    if (connections.size > 1) close([...connections].filter((other) => other !== connection));
  }

  function close(closed: Connection[]): void {
    closed.forEach((connection) => {
      connections.delete(connection);
      Object.assign(connection, { isReplaced: true });
      connection.abort.abort();
    });
  }

  function recordProgress(): void {
    lastProgressAt = clock.elapsed();
    stallDelay = stallTimeout;
    openAt = lastProgressAt + stallDelay;
  }

  function conclude(connection: Connection, outcome: Outcome<void, EngineError>): void {
    const { kind, openedAt } = connection;
    if (outcome.ok) {
      result = progress.usage() ? outcome : Err(UNFINISHED);
      return;
    }
    const isDeclined = kind === 'run' && outcome.val.ran === 'no';
    lastError = isDeclined ? outcome.val : { ...outcome.val, kind: 'failed', ran: 'unknown' };
    const isUnknown = kind === 'resume' && outcome.val.kind === 'rejected';
    if (isDeclined || follow.isOverBound() || (isUnknown && isLost(openedAt)))
      result = Err(lastError);
    else if (connections.size === 0 || isUnknown) openAt = clock.elapsed() + RESUME_DELAY_MS;
  }

  // An engine that does not know the stream may still be about to begin it for an open connection, so
  // it is asked once more after its first reply.
  function isLost(askedAt: Milliseconds): boolean {
    const wasUnknown = askedAt > unknownAt;
    unknownAt = Math.min(unknownAt, clock.elapsed());
    return connections.size === 0 || wasUnknown;
  }

  function isTimeUp(): boolean {
    return clock.elapsed() - lastProgressAt >= follow.getTimeLimit();
  }

  function resume(): void {
    if (connections.size > 0) stallDelay *= 2;
    follow.onResume();
    open('resume');
  }

  function getWait(): Milliseconds {
    if (eventsInSink > 0) return stallTimeout;
    const limitAt = lastProgressAt + follow.getTimeLimit();
    const nextAt = call.signal.aborted ? limitAt : Math.min(limitAt, openAt);
    return Math.max(0, nextAt - clock.elapsed());
  }

  open(first);
  while (!result) {
    const hasCallerLeft = call.signal.aborted && connections.size === 0;
    const isSilent = eventsInSink === 0 && isTimeUp();
    if (hasCallerLeft || isSilent) break;
    if (eventsInSink === 0 && clock.elapsed() >= openAt && !call.signal.aborted) resume();
    else await withTimeout(clock, getWait(), ended.wait(), undefined);
  }
  close([...connections]);
  return result ?? Err(lastError);
}

const UNFINISHED: EngineError = {
  kind: 'failed',
  ran: 'unknown',
  message: 'the engine ended the stream without stating that its text is finished',
};
const SILENT: EngineError = { kind: 'failed', ran: 'unknown', message: 'the stream fell silent' };
