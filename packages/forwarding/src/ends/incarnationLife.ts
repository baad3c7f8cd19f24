import { match } from 'ts-pattern';
import { sleep, withTimeout } from '@pomeloroad/core';
import type { Milliseconds } from '@pomeloroad/core';
import type { EndpointRecord } from '../types';
import { createIncarnationQuestion } from './incarnationQuestion';
import type { Finding, IncarnationQuestionHost } from './incarnationQuestion';

/** Time within which a process that ends its answers in order exits. */
const EXIT_TIME_MS: Milliseconds = 400;
/** Time for which a sign of life is awaited after that, before the endpoint is asked for one. */
const SIGN_WAIT_MS: Milliseconds = 100;
/** Time that a question takes, so that it is asked so long before a wait ends at the latest. */
const ASK_TIME_MS: Milliseconds = 150;
/** Longest sleep before it is looked anew when to ask, as somebody with less patience may wait by then. */
const ASK_STEP_MS: Milliseconds = 50;
/** Time between ends that belong to one event at their endpoint. */
const SAME_MOMENT_MS: Milliseconds = 50;
/** Pause before an endpoint that could not be reached is asked again. */
const ASK_AGAIN_MS: Milliseconds = 200;
/** Maximum of that pause, which doubles. */
const ASK_AGAIN_MAX_MS: Milliseconds = 1600;
/** Time for which the renewal of an entry is awaited before what accepts connections is asked again. */
const RENEWAL_WAIT_MS: Milliseconds = 1000;
/** Time for which ends are remembered; longer than an endpoint takes to end streams and to exit. */
const RETENTION_MS: Milliseconds = 2000;

/**
 * What became of an endpoint after an end in order: it lives on; it has exited; it has died and broken other streams
 * off, which one that ends its answers before it exits does not; or nothing could be learned in time.
 */
export type LifeVerdict = 'lives' | 'exited' | 'died amid streams' | 'unknown';

/** What is noted of an incarnation. */
export interface LifeSigns {
  /** Notes that an event of a stream has arrived that was not kept back here, on a connection opened at the time. */
  noteEvent(openedAt: Milliseconds): void;
  /** Notes an answer to a request that was sent at the time of `getTime()`, on a connection opened at the other time. */
  noteAnswer(sentAt: Milliseconds, openedAt: Milliseconds): void;
  /** Notes that a stream that had begun was ended in order by a statement, or broken off. */
  noteEnd(kind: 'stated' | 'broken'): void;
}

/** An end that is held. */
export interface HeldEnd {
  patience: Milliseconds;
  /** Time at which the process that stated it ran for certain; left out if none is known. */
  ranAt?: Milliseconds | undefined;
}

/** What becomes of one incarnation after the ends that it has stated. */
export interface IncarnationLife extends LifeSigns {
  /** As `EndpointLife.learn`. */
  learn(end: HeldEnd, signal: AbortSignal): Promise<LifeVerdict>;
}

/** Dependencies of learning what becomes of an incarnation. */
export interface IncarnationLifeHost extends IncarnationQuestionHost {
  /** Returns the time, without that for which this process was held up and read nothing. */
  getTime(): Milliseconds;
  /** Returns the time by which the connection was open. */
  getOpeningTime(connection: object): Milliseconds;
  /** Aborted when all that wait are to be told at once what can be learned. */
  hurry: AbortSignal;
}

/** A reading of the incarnation's entry. */
interface EntryReading {
  at: Milliseconds;
  /** Whether the entry has been renewed since; left out if it could not be read. */
  isRenewed: (() => boolean) | undefined;
}

/** An end whose endpoint is watched. */
interface Waiting {
  endedAt: Milliseconds;
  /** A connection opened by this time leads to the same process, or to one that had ended before. */
  ranAt: Milliseconds;
  /** Time from which on an answer or connection shows that the endpoint has not exited after the end. */
  provenFrom: Milliseconds;
  /** Time at which the endpoint is asked. */
  askAt: Milliseconds;
  resolve(verdict: LifeVerdict): void;
}

/** Starts to watch an incarnation of which nothing is known. */
export function createIncarnationLife(
  { getTime, getOpeningTime, hurry, ...host }: IncarnationLifeHost,
  endpoint: EndpointRecord,
): IncarnationLife {
  const { clock, protocol } = host;
  const question = createIncarnationQuestion(host, endpoint);
  const waiting = new Set<Waiting>();
  let ends: { kind: 'stated' | 'broken'; at: Milliseconds }[] = [];
  let isAsked = false;
  // Whether the endpoint has not told its start when it was asked last.
  let isUntelling = false;

  async function learn(end: HeldEnd, signal: AbortSignal): Promise<LifeVerdict> {
    if (signal.aborted) return 'unknown';
    let resolve: (verdict: LifeVerdict) => void = () => undefined;
    const told = new Promise<LifeVerdict>((onTold) => {
      resolve = onTold;
    });
    const entry = createWaiting(getTime(), end, resolve);
    const until = entry.endedAt + end.patience;
    const giveUp = () => resolve('unknown');
    waiting.add(entry);
    signal.addEventListener('abort', giveUp, { once: true });
    askWhenDue();
    const verdict = await waitUntil(told, until);
    signal.removeEventListener('abort', giveUp);
    waiting.delete(entry);
    return verdict;
  }

  // While this process is held up nothing is learned, so that time does not count.
  async function waitUntil(told: Promise<LifeVerdict>, until: Milliseconds): Promise<LifeVerdict> {
    let left = until - getTime();
    while (left > 0) {
      const verdict = await withTimeout(clock, left, told, undefined);
      if (verdict) return verdict;
      left = until - getTime();
    }
    return 'unknown';
  }

  // Asks once for all that wait, as long as somebody does.
  async function askWhenDue(): Promise<void> {
    if (isAsked) return;
    isAsked = true;
    let pause = ASK_AGAIN_MS;
    while (waiting.size > 0) {
      const left = Math.min(...[...waiting].map(({ askAt }) => askAt)) - getTime();
      if (left > 0 && !hurry.aborted) await sleep(clock, Math.min(left, ASK_STEP_MS), hurry);
      else {
        const askedAt = getTime();
        const early = isUntelling ? readEntry() : undefined;
        const finding = await question.ask();
        settle(finding, askedAt);
        isUntelling = finding === 'untold';
        if (isUntelling && waiting.size > 0) await awaitRenewal(await (early ?? readEntry()));
        if (finding === 'unknown' && waiting.size > 0) {
          await sleep(clock, pause, hurry);
          pause = Math.min(2 * pause, ASK_AGAIN_MAX_MS);
        }
      }
    }
    isAsked = false;
  }

  function settle(finding: Finding, askedAt: Milliseconds): void {
    match(finding)
      .with('lives', () => {
        noteLife(askedAt);
        if (hurry.aborted) tellAll(() => 'lives');
      })
      .with('ended', () => tellAll(judgeDeath))
      .with('untold', 'unknown', () => {
        noteIdleConnections(askedAt);
        if (hurry.aborted) tellAll(() => 'unknown');
      })
      .exhaustive();
  }

  // All connections of a process close with it. Whatever one of them told before the question was asked is read by now.
  function noteIdleConnections(askedAt: Milliseconds): void {
    protocol.listIdle(endpoint).forEach((connection) => {
      noteSign(askedAt, getOpeningTime(connection));
    });
  }

  async function readEntry(): Promise<EntryReading> {
    const at = getTime();
    return { at, isRenewed: await question.readEntry() };
  }

  // Only the incarnation itself renews its entry.
  async function awaitRenewal({ at, isRenewed }: EntryReading): Promise<void> {
    while (waiting.size > 0 && !hurry.aborted && getTime() - at < RENEWAL_WAIT_MS) {
      if (question.hasRestarted()) tellAll(judgeDeath);
      if (isRenewed?.()) {
        noteLife(at);
        return;
      }
      await sleep(clock, ASK_STEP_MS, hurry);
    }
  }

  // What the incarnation itself tells, whichever connection it tells it on.
  function noteLife(at: Milliseconds): void {
    noteSign(at, -Infinity);
  }

  // A later incarnation may answer on a connection that was opened since, for the same entry.
  function noteSign(at: Milliseconds, openedAt: Milliseconds): void {
    waiting.forEach((entry) => {
      const isOwn = !question.hasStart || openedAt <= entry.ranAt;
      if (isOwn && at >= entry.provenFrom) tell(entry, 'lives');
    });
  }

  function tellAll(judge: (entry: Waiting) => LifeVerdict): void {
    waiting.forEach((entry) => tell(entry, judge(entry)));
  }

  function tell(entry: Waiting, verdict: LifeVerdict): void {
    waiting.delete(entry);
    entry.resolve(verdict);
  }

  // Streams that end in order at one moment have one cause, which is more likely the exit than the ends of all of them.
  function judgeDeath({ endedAt }: Waiting): LifeVerdict {
    const since = endedAt - SAME_MOMENT_MS;
    const broken = ends.filter(({ kind, at }) => kind === 'broken' && at >= since);
    const stated = ends.filter(
      ({ kind, at }) => kind === 'stated' && Math.abs(at - endedAt) <= SAME_MOMENT_MS,
    );
    const isAmidStreams = broken.length > 0 && broken.length >= stated.length;
    return isAmidStreams ? 'died amid streams' : 'exited';
  }

  return {
    noteEvent: (openedAt) => noteSign(getTime(), openedAt),
    noteAnswer: noteSign,
    noteEnd(kind) {
      const at = getTime();
      ends = [...ends.filter((end) => at - end.at < RETENTION_MS), { kind, at }];
    },
    learn,
  };
}

function createWaiting(
  endedAt: Milliseconds,
  { patience, ranAt = -Infinity }: HeldEnd,
  resolve: (verdict: LifeVerdict) => void,
): Waiting {
  const latest = Math.max(0, patience - ASK_TIME_MS);
  return {
    endedAt,
    ranAt,
    provenFrom: endedAt + Math.min(EXIT_TIME_MS, latest),
    askAt: endedAt + Math.min(EXIT_TIME_MS + SIGN_WAIT_MS, latest),
    resolve,
  };
}
