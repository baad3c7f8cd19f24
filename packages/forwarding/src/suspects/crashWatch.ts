import { Ok } from 'ts-results';
import { Diagnostics, sleep, withTimeout } from '@pomeloroad/core';
import type { Clock, Log, Milliseconds, ResponseFraming } from '@pomeloroad/core';
import type { EndpointDirectory } from '../store/endpointDirectory';
import type { ForwardMetrics } from '../forwardMetrics';
import { createAbandonedRequests } from './abandonedRequests';
import type { RequestSuspects } from './abandonedRequests';
import { createProcessNames } from './processNames';
import { getSharedParts, getSuspectNames } from './suspectNames';
import type { Attempt, EndpointProtocol, EndpointRecord, EventStream } from '../types';

/** Pause before the second probe: a dying process closes its connections before its listening socket. */
const SECOND_PROBE_DELAY_MS: Milliseconds = 100;
/** Time for which an endpoint that answered both probes is watched for a new start or its removal. */
const WATCH_TIME_MS: Milliseconds = 5000;
const WATCH_INTERVAL_MS: Milliseconds = 500;
/** Time from the first event of a stream after which its endpoint has borne the prompt. */
const SOUND_AFTER_MS: Milliseconds = 1000;
/** Maximum time that a failed attempt waits to learn whether its endpoint has died. */
const VERDICT_TIMEOUT_MS: Milliseconds = 150;
/** Lowest HTTP status of an error. */
const ERROR_STATUS_MIN = 400;
/** Maximum number of requests that one line names. */
const NAMED_REQUESTS_MAX = 20;

/** A process of an endpoint that crashed, and what it worked on for this instance. */
export interface EndpointCrash {
  /** Identifies the process; the same at all instances that saw as many die behind its entry. */
  incarnation: string;
  /** Names of suspects, and how many of the requests that were broken off have each. */
  names: Map<string, number>;
}

/** Dependencies of watching endpoints for crashes. */
export interface CrashWatchHost<Payload> {
  clock: Clock;
  log: Log;
  metrics: Pick<ForwardMetrics, 'crashes'>;
  protocol: EndpointProtocol<Payload>;
  directory: Pick<EndpointDirectory, 'getFate'>;
  onCrash(crash: EndpointCrash): void;
  /** Called when an incarnation has answered a request with these names, at least for a while. */
  onAnswer(names: string[], incarnation: string): void;
  /** Whether a crash under one of these suspects decides if a request may be sent again. */
  isSuspicious(names: string[]): boolean;
}

/** An attempt, and the name of the process that it was sent to. */
interface WatchedAttempt<Payload> extends Attempt<Payload> {
  incarnation: string;
}

type Watched = Pick<WatchedAttempt<unknown>, 'endpoint' | 'incarnation'>;

/** An endpoint that has broken off requests and is examined. */
interface Examination {
  broken: RequestSuspects;
  verdict: Promise<void>;
}

/**
 * Returns the protocol with the same results. An endpoint that breaks off a request is probed; if it has
 * died, without having announced that it leaves, that is reported as a crash.
 */
export function watchCrashes<Payload>(host: CrashWatchHost<Payload>): EndpointProtocol<Payload> {
  const { clock, log, metrics, protocol, directory } = host;
  const examinations = new Map<string, Examination>();
  const abandoned = createAbandonedRequests(clock);
  const processes = createProcessNames();

  function startExamination({ endpoint, incarnation }: Watched): Examination {
    const broken: RequestSuspects = new Map();
    const examination = { broken, verdict: judge({ endpoint, incarnation }, broken) };
    examinations.set(incarnation, examination);
    examination.verdict.finally(() => examinations.delete(incarnation));
    return examination;
  }

  // Resolves once it is known whether the endpoint has died.
  async function examine(attempt: WatchedAttempt<Payload>): Promise<void> {
    const { endpoint, request, incarnation } = attempt;
    if (endpoint.isLeaving) return;
    const { broken, verdict } = examinations.get(incarnation) ?? startExamination(attempt);
    broken.set(request.id, getSuspectNames(request));
    await verdict;
  }

  // Whether the request is sent once more may depend on the verdict.
  async function handleBreak(attempt: WatchedAttempt<Payload>): Promise<void> {
    const { request, incarnation, signal } = attempt;
    const names = getSuspectNames(request);
    if (signal.aborted) {
      abandoned.note(incarnation, request.id, names);
      return;
    }
    const verdict = examine(attempt);
    if (!host.isSuspicious(names)) return;
    await withTimeout(clock, VERDICT_TIMEOUT_MS, verdict, undefined);
  }

  // What was given up may have ended the endpoint, which broke nothing else off.
  function handleRefusal(attempt: WatchedAttempt<Payload>): void {
    const { endpoint, incarnation } = attempt;
    if (endpoint.isLeaving || examinations.has(incarnation)) return;
    if (abandoned.has(incarnation)) startExamination(attempt);
  }

  // The kernel ends the connections of a dead process in order too.
  function handleEnd(attempt: WatchedAttempt<Payload>, framing: ResponseFraming): void {
    const names = getSuspectNames(attempt.request);
    // A probe costs a connection, so answers of plain services are believed unless something is suspected.
    const mayHaveDied = getSharedParts(attempt.request).length > 0 || host.isSuspicious(names);
    if (framing === 'close' && mayHaveDied) examine(attempt);
    host.onAnswer(names, attempt.incarnation);
  }

  async function judge(watched: Watched, broken: RequestSuspects): Promise<void> {
    if (await hasDied(watched.endpoint)) report(watched, broken);
    else watch(watched, broken);
  }

  function report({ endpoint, incarnation }: Watched, found: RequestSuspects): void {
    processes.noteDeath(endpoint, incarnation);
    const broken = new Map([...found, ...abandoned.take(incarnation)]);
    const names = new Map<string, number>();
    [...broken.values()].flat().forEach((name) => names.set(name, (names.get(name) ?? 0) + 1));
    metrics.crashes.add(1);
    log(Diagnostics.endpointCrashed, {
      endpoint: endpoint.id,
      born: endpoint.born,
      count: broken.size,
      requests: describe(broken),
    });
    host.onCrash({ incarnation, names });
  }

  async function hasDied(endpoint: EndpointRecord): Promise<boolean> {
    if (await isRefusing(endpoint)) return true;
    await sleep(clock, SECOND_PROBE_DELAY_MS);
    return isRefusing(endpoint);
  }

  // What breaks off meanwhile is examined by itself, so that a crash soon after shows at once.
  async function watch(watched: Watched, broken: RequestSuspects): Promise<void> {
    if (await isGoneSoon(watched.endpoint)) report(watched, broken);
  }

  async function isRefusing(endpoint: EndpointRecord): Promise<boolean> {
    return (await protocol.probe(endpoint)) === 'refused';
  }

  // One that starts again at once accepts connections by then, but as another incarnation.
  async function isGoneSoon(endpoint: EndpointRecord): Promise<boolean> {
    const until = clock.elapsed() + WATCH_TIME_MS;
    while (clock.elapsed() < until) {
      const fate = directory.getFate(endpoint);
      if (fate === 'started again') return true;
      if (fate === 'leaving') return false;
      if (fate === 'gone') return isRefusing(endpoint);
      await sleep(clock, WATCH_INTERVAL_MS);
    }
    return false;
  }

  function watchStream(attempt: WatchedAttempt<Payload>, stream: EventStream): EventStream {
    let begunAt: Milliseconds | undefined;
    let isSound = false;

    // A long stream shows before its end that its endpoint bears the prompt.
    function handleEvents(): void {
      begunAt ??= clock.elapsed();
      if (isSound || clock.elapsed() - begunAt < SOUND_AFTER_MS) return;
      isSound = true;
      host.onAnswer(getSuspectNames(attempt.request), attempt.incarnation);
    }

    return {
      ...stream,
      async next() {
        const step = await stream.next();
        if (step.kind === 'broken') await handleBreak(attempt);
        else if (step.kind === 'events') handleEvents();
        else handleEnd(attempt, step.framing);
        return step;
      },
    };
  }

  return {
    ...protocol,
    async send(unwatched) {
      const attempt = { ...unwatched, incarnation: processes.get(unwatched.endpoint) };
      const sent = await protocol.send(unwatched);
      if (sent.err) {
        if (sent.val.kind === 'broken') await handleBreak(attempt);
        if (sent.val.kind === 'unreachable') handleRefusal(attempt);
        return sent;
      }
      const reply = sent.val;
      if (reply.kind === 'stream') {
        return Ok({ ...reply, stream: watchStream(attempt, reply.stream) });
      }
      if (reply.head.status < ERROR_STATUS_MIN) handleEnd(attempt, reply.head.framing);
      return sent;
    },
  };
}

function describe(broken: RequestSuspects): string {
  return [...broken]
    .slice(0, NAMED_REQUESTS_MAX)
    .map(([request, names]) => [request, ...names].join(' '))
    .join('; ');
}
