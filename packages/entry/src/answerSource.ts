import { Err, Ok } from 'ts-results';
import { sleep, withTimeout } from '@pomeloroad/core';
import type { Clock, Milliseconds, Outcome } from '@pomeloroad/core';
import { createTopic } from '@pomeloroad/peers';
import type { PeerNetwork } from '@pomeloroad/peers';
import type { Answer, AnswerPart, AnswerStore, RetainedAnswer } from '@pomeloroad/requests';

/** Longest wait of a remote read for new events; it returns none if there are none by then. */
const READ_WAIT_MAX_MS = 2000;
const CALL_TIMEOUT_MS = 3000;
/** How long a remote reader counts as attached after its last read. */
const READER_LINGER_MS = 3000;
const EVENTS_PER_READ_MAX = 512;

/** Asks the runner of a request for the events of its answer from a position on. */
const readTopic = createTopic<{ request: string; from: number }, AnswerPart | undefined>(
  'answer.read',
);

/** Transfers a finished answer to another instance. */
const adoptTopic = createTopic<RetainedAnswer>('answer.adopt');

/** Why an answer can't be read further. */
export type AnswerSourceError = 'unknown-request' | 'runner-lost';

/** A reader of an answer that is produced by this or by another instance. */
export interface AnswerSource {
  /** Id of the run that produces the answer. */
  readonly run: string;
  /** Returns the events from a position on. May return none although more will follow. */
  read(from: number): Promise<Outcome<AnswerPart, AnswerSourceError>>;
  close(): void;
}

/** Creates a reader of an answer of this instance and attaches it. */
export function createLocalSource(run: string, answer: Answer): AnswerSource {
  answer.attach();
  return {
    run,
    read: async (from) => Ok(await answer.read(from)),
    close: () => answer.detach(),
  };
}

/** Creates a reader of an answer of another instance; each read is a call to that instance. */
export function createRemoteSource(
  network: PeerNetwork,
  runner: string,
  request: string,
): AnswerSource {
  return {
    run: request,
    async read(from) {
      const part = await network.call(runner, readTopic, { request, from }, CALL_TIMEOUT_MS);
      if (part.err) return Err('runner-lost' as const);
      return part.val ? Ok(part.val) : Err('unknown-request' as const);
    },
    close: () => undefined,
  };
}

/** Handles reads by other instances, and adopts the finished answers of leaving ones. */
export function serveAnswers(clock: Clock, network: PeerNetwork, answers: AnswerStore): void {
  network.handle(adoptTopic, async (_from, retained) => answers.adopt(retained));
  network.handle(readTopic, async (_from, { request, from }) => {
    const answer = answers.get(request);
    if (!answer) return undefined;
    answer.attach();
    const part = await readWithTimeout(clock, READ_WAIT_MAX_MS, answer, from);
    detachAfterLinger(clock, answer);
    return part;
  });
}

/**
 * Transfers the finished answers of this instance to a successor. Returns the requests whose
 * answers the successor has confirmed.
 */
export async function transferAnswers(
  network: PeerNetwork,
  answers: AnswerStore,
  successor: string,
): Promise<Set<string>> {
  const retained = answers.listRetained();
  const transferred = new Set<string>();
  for (const answer of retained) {
    const reply = await network.call(successor, adoptTopic, answer, CALL_TIMEOUT_MS);
    if (reply.ok) transferred.add(answer.request);
  }
  return transferred;
}

async function readWithTimeout(
  clock: Clock,
  wait: Milliseconds,
  answer: Answer,
  from: number,
): Promise<AnswerPart> {
  const noEvents: AnswerPart = { from, events: [] };
  const part = await withTimeout(clock, wait, answer.read(from), noEvents);
  if (part.events.length <= EVENTS_PER_READ_MAX) return part;
  return { from, events: part.events.slice(0, EVENTS_PER_READ_MAX), stream: part.stream };
}

async function detachAfterLinger(clock: Clock, answer: Answer): Promise<void> {
  await sleep(clock, READER_LINGER_MS);
  answer.detach();
}
