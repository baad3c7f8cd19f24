import { Ok } from 'ts-results';
import type { Connection, Milliseconds } from '@pomeloroad/core';
import type { AttemptReply } from '../attempts/sentAttempt';
import type { Attempt, EndpointProtocol, EventStream } from '../types';
import type { EndpointLife } from './endpointLife';
import type { LifeSigns } from './incarnationLife';

/**
 * Time by which an event must have come later than something else to have been sent later: longer than this process may
 * be held up unnoticed, so that both were not read at once.
 */
const ORDER_MARGIN_MS: Milliseconds = 250;

/** What an attempt tells of the process that answers it. */
interface Course {
  /** Notes that its connection is open. */
  open(connection: Connection | undefined): void;
  /** Notes that an event has arrived that was not kept back here. */
  noteEvent(): void;
  /** Whether another instance carries the connection, which may keep back what arrives there. */
  isCarried(): boolean;
  /** Returns the time by which its connection was open; `Infinity` before. */
  getOpeningTime(): Milliseconds;
  /** Returns the latest time at which the process ran for certain, as far as its answer tells. */
  getRunningTime(): Milliseconds;
}

/** Returns the protocol with the same results, which notes what they tell of the lives of endpoints. */
export function watchLives<Payload>(
  protocol: EndpointProtocol<Payload>,
  life: EndpointLife,
): EndpointProtocol<Payload> {
  return {
    ...protocol,
    async send(attempt) {
      const signs = life.getSigns(attempt.endpoint);
      const sentAt = life.getTime();
      const course = createCourse(life, sentAt);
      const sent = await protocol.send(watchEvents(attempt, signs, course));
      if (isOwnAnswer(sent)) signs.noteAnswer(sentAt, course.getOpeningTime());
      if (sent.err || sent.val.kind !== 'stream') return sent;
      const { head, stream } = sent.val;
      const told = tellCourse(stream, course);
      if (head.framing !== 'chunked') return Ok({ ...sent.val, stream: told });
      return Ok({ ...sent.val, stream: watchEnd(told, signs, attempt.signal) });
    },
  };
}

function createCourse(life: EndpointLife, sentAt: Milliseconds): Course {
  let openedAt = Infinity;
  let ranAt = sentAt;
  let isCarried = false;
  return {
    open(connection) {
      isCarried = connection?.isCarried === true;
      openedAt = connection ? life.getOpeningTime(connection) : life.getTime();
    },
    noteEvent() {
      ranAt = Math.max(ranAt, life.getTime() - ORDER_MARGIN_MS);
    },
    isCarried: () => isCarried,
    getOpeningTime: () => openedAt,
    getRunningTime: () => ranAt,
  };
}

// What is read again after a pause may have been sent long before.
function watchEvents<Payload>(
  attempt: Attempt<Payload>,
  signs: LifeSigns,
  course: Course,
): Attempt<Payload> {
  const { request, endpoint } = attempt;
  const isStream = request.route.kind === 'streaming';
  const mayBeBack = endpoint.born > 0;
  let isTimely = true;
  return {
    ...attempt,
    onConnected(connection) {
      course.open(connection);
      attempt.onConnected(connection);
    },
    onProgress() {
      attempt.onProgress();
      if (!isStream || !isTimely || (mayBeBack && course.isCarried())) return;
      course.noteEvent();
      signs.noteEvent(course.getOpeningTime());
    },
    onReadAgain() {
      isTimely = false;
      attempt.onReadAgain();
    },
  };
}

function isOwnAnswer(sent: AttemptReply): boolean {
  return sent.ok || sent.val.kind === 'declined';
}

function tellCourse(stream: EventStream, course: Course): EventStream {
  return {
    ...stream,
    async next() {
      const step = await stream.next();
      const isEnd = step.kind === 'complete' || step.kind === 'closed';
      return isEnd ? { ...step, ranAt: course.getRunningTime() } : step;
    },
  };
}

// Only a stream in chunks can be ended in order before its end, so only such a one tells by its break what others are.
function watchEnd(stream: EventStream, signs: LifeSigns, signal: AbortSignal): EventStream {
  return {
    ...stream,
    async next() {
      const step = await stream.next();
      if (step.kind === 'complete') signs.noteEnd('stated');
      if (step.kind === 'broken' && !signal.aborted) signs.noteEnd('broken');
      return step;
    },
  };
}
