import { Ok } from 'ts-results';
import { Diagnostics, sleep, withTimeout } from '@pomeloroad/core';
import type { Clock, Log, Milliseconds, ResponseFraming } from '@pomeloroad/core';
import type { IncarnationFate } from '../store/directoryEntry';
import type { EndpointDirectory } from '../store/endpointDirectory';
import type { ForwardMetrics } from '../forwardMetrics';
import { createAbandonedRequests } from './abandonedRequests';
import type { RequestSuspects } from './abandonedRequests';
import { createProcessNames } from './processNames';
import { getSharedParts, getSuspectNames } from './suspectNames';
import type { ProcessName } from './processNames';
import type {
  Attempt,
  EndpointProtocol,
  EndpointRecord,
  EventStream,
  StartFinding,
} from '../types';

/** Pause before the second probe: a dying process closes its connections before its listening socket. */
const SECOND_PROBE_DELAY_MS: Milliseconds = 100;
/** Time for which an endpoint that answered both probes is watched for a new start or its removal. */
const WATCH_TIME_MS: Milliseconds = 5000;
const WATCH_INTERVAL_MS: Milliseconds = 500;
/** Time from the first event of a stream after which its endpoint has borne the prompt. */
const SOUND_AFTER_MS: Milliseconds = 1000;
/** Maximum time that a failed attempt waits to learn whether its endpoint has died. */
const VERDICT_TIMEOUT_MS: Milliseconds = 150;
/** Maximum time that a request under suspicion waits to learn which process it is sent to. */
const START_TIMEOUT_MS: Milliseconds = 150;
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

/** An attempt, and the process that it was sent to. */
interface WatchedAttempt<Payload> extends Attempt<Payload> {
  process: ProcessName;
}

type Watched = Pick<WatchedAttempt<unknown>, 'endpoint' | 'process'>;

/** An endpoint that has broken off requests and is examined. */
interface Examination {
  broken: RequestSuspects;
  verdict: Promise<void>;
}

/**
 * Returns the protocol with the same results. An endpoint that breaks off a request is probed; if it has
 * died, without having announced that it leaves, that is reported as a crash.
 *
 * A later process may take the place of one that has died, with the same entry. Processes at one address follow each
 * other: if the same start was told before a request and after it was broken off, that process had it, and lives.
 * Otherwise one has died meanwhile, which counts as a crash, as a crash that is missed is worse than one too many.
 */
export function watchCrashes<Payload>(host: CrashWatchHost<Payload>): EndpointProtocol<Payload> {
  const { clock, log, metrics, protocol, directory } = host;
  const examinations = new Map<string, Examination>();
  const abandoned = createAbandonedRequests(clock);
  const processes = createProcessNames();

  function startExamination({ endpoint, process }: Watched): Examination {
    const broken: RequestSuspects = new Map();
    const examination = { broken, verdict: judge({ endpoint, process }, broken) };
    examinations.set(process.name, examination);
    examination.verdict.finally(() => examinations.delete(process.name));
    return examination;
  }

  // Resolves once it is known whether the endpoint has died.
  async function examine(attempt: WatchedAttempt<Payload>): Promise<void> {
    const { endpoint, request, process } = attempt;
    if (endpoint.isLeaving) return;
    const { broken, verdict } = examinations.get(process.name) ?? startExamination(attempt);
    broken.set(request.id, getSuspectNames(request));
    await verdict;
  }

  // Whether the request is sent once more may depend on the verdict.
  async function handleBreak(attempt: WatchedAttempt<Payload>): Promise<void> {
    const { request, process, signal } = attempt;
    const names = getSuspectNames(request);
    if (signal.aborted) {
      abandoned.note(process.name, request.id, names);
      return;
    }
    const verdict = examine(attempt);
    if (!host.isSuspicious(names)) return;
    await withTimeout(clock, VERDICT_TIMEOUT_MS, verdict, undefined);
  }

  // What was given up may have ended the endpoint, which broke nothing else off.
  function handleRefusal(attempt: WatchedAttempt<Payload>): void {
    const { endpoint, process } = attempt;
    if (endpoint.isLeaving || examinations.has(process.name)) return;
    if (abandoned.has(process.name)) startExamination(attempt);
  }

  // The kernel ends the connections of a dead process in order too.
  function handleEnd(attempt: WatchedAttempt<Payload>, framing: ResponseFraming): void {
    const names = getSuspectNames(attempt.request);
    // A probe costs a connection, so answers of plain services are believed unless something is suspected.
    const mayHaveDied = getSharedParts(attempt.request).length > 0 || host.isSuspicious(names);
    if (framing === 'close' && mayHaveDied) examine(attempt);
    host.onAnswer(names, attempt.process.name);
  }

  async function judge(watched: Watched, broken: RequestSuspects): Promise<void> {
    if (await hasDied(watched)) report(watched, broken);
    else watch(watched, broken);
  }

  function report({ endpoint, process }: Watched, found: RequestSuspects): void {
    processes.noteDeath(endpoint, process);
    const broken = new Map([...found, ...abandoned.take(process.name)]);
    const names = new Map<string, number>();
    [...broken.values()].flat().forEach((name) => names.set(name, (names.get(name) ?? 0) + 1));
    metrics.crashes.add(1);
    log(Diagnostics.endpointCrashed, {
      endpoint: endpoint.id,
      born: endpoint.born,
      count: broken.size,
      requests: describe(broken),
    });
    host.onCrash({ incarnation: process.name, names });
  }

  async function hasDied(watched: Watched): Promise<boolean> {
    if (await isGone(watched)) return true;
    await sleep(clock, SECOND_PROBE_DELAY_MS);
    return isGone(watched);
  }

  // What breaks off meanwhile is examined by itself, so that a crash soon after shows at once.
  async function watch(watched: Watched, broken: RequestSuspects): Promise<void> {
    if (await isGoneSoon(watched)) report(watched, broken);
  }

  async function isRefusing(endpoint: EndpointRecord): Promise<boolean> {
    return (await protocol.probe(endpoint)) === 'refused';
  }

  // The entry that comes may be that of the process itself.
  function getFate({ endpoint, process }: Watched): IncarnationFate {
    return directory.getFate({ ...endpoint, born: process.start });
  }

  async function isGone(watched: Watched): Promise<boolean> {
    const { endpoint, process } = watched;
    // Where entries tell no start, each start has an id and an address of its own.
    if (endpoint.born === 0) return isRefusing(endpoint);
    const found = await askStart(endpoint);
    if (found.kind !== 'told') return found.kind === 'refused';
    return found.born !== process.start && getFate(watched) !== 'leaving';
  }

  // Unlike a process of which nothing is told, one that tells the same start has certainly not gone.
  async function isSame({ endpoint, process }: Watched): Promise<boolean> {
    if (endpoint.born === 0) return false;
    const found = await askStart(endpoint);
    return found.kind === 'told' && found.born === process.start;
  }

  // One that starts again at once accepts connections by then, but as another incarnation.
  async function isGoneSoon(watched: Watched): Promise<boolean> {
    const until = clock.elapsed() + WATCH_TIME_MS;
    while (clock.elapsed() < until) {
      const fate = getFate(watched);
      if (fate === 'started again' && !(await isSame(watched))) return true;
      if (fate === 'leaving') return false;
      if (fate === 'gone') return isRefusing(watched.endpoint);
      await sleep(clock, WATCH_INTERVAL_MS);
    }
    return false;
  }

  async function askStart(endpoint: EndpointRecord): Promise<StartFinding> {
    const found = await protocol.findStart(endpoint);
    if (found.kind === 'told') noteStart(endpoint, found.born);
    return found;
  }

  function noteStart(endpoint: EndpointRecord, start: number): void {
    const before = processes.get(endpoint);
    if (start === before.start) return;
    processes.noteStart(endpoint, start);
    // Its last answers show nothing, and those of the next one may have been noted under its name.
    host.onCrash({ incarnation: before.name, names: new Map() });
  }

  // Costs a report, so it is done only where a crash would decide something, or a break is not understood yet.
  async function learnStart({ endpoint, request }: Attempt<Payload>): Promise<void> {
    if (endpoint.born === 0) return;
    const isBroken = [...examinations.values()].some(({ broken }) => broken.has(request.id));
    if (!isBroken && !host.isSuspicious(getSuspectNames(request))) return;
    await withTimeout(clock, START_TIMEOUT_MS, askStart(endpoint), undefined);
  }

  function watchStream(attempt: WatchedAttempt<Payload>, stream: EventStream): EventStream {
    let begunAt: Milliseconds | undefined;
    let isSound = false;

    // A long stream shows before its end that its endpoint bears the prompt.
    function handleEvents(): void {
      begunAt ??= clock.elapsed();
      if (isSound || clock.elapsed() - begunAt < SOUND_AFTER_MS) return;
      isSound = true;
      host.onAnswer(getSuspectNames(attempt.request), attempt.process.name);
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
      await learnStart(unwatched);
      const attempt = { ...unwatched, process: processes.get(unwatched.endpoint) };
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
