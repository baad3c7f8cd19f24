import { Err, Ok } from 'ts-results';
import { sleep, withTimeout } from '@pomeloroad/core';
import type { Clock, Milliseconds, Outcome } from '@pomeloroad/core';
import { createTopic } from '@pomeloroad/peers';
import type { PeerNetwork } from '@pomeloroad/peers';
import type { Answer, AnswerPart, AnswerStore, RetainedAnswer } from '@pomeloroad/requests';

/** How long a read waits at the runner before it returns without events. */
const READ_WAIT_MS = 2000;
const READ_TIMEOUT_MS = 3000;
/** How long a remote reader counts as present after a read. */
const READER_LINGER_MS = 3000;
const EVENTS_PER_READ = 512;

/** Asks the runner of a request for its answer from a position on. */
const readTopic = createTopic<{ request: string; from: number }, AnswerPart | undefined>(
  'answer.read',
);

/** Passes a finished answer on. */
const adoptTopic = createTopic<RetainedAnswer>('answer.adopt');

/** Why an answer can't be read further. */
export type SourceError = 'unknown-request' | 'runner-lost';

/** Where an answer comes from: this instance or the one that runs the request. */
export interface AnswerSource {
  read(from: number): Promise<Outcome<AnswerPart, SourceError>>;
  close(): void;
}

/** Reads an answer of this instance. */
export function createLocalSource(answer: Answer): AnswerSource {
  answer.attach();
  return {
    read: async (from) => Ok(await answer.read(from)),
    close: () => answer.detach(),
  };
}

/** Reads an answer of another instance. */
export function createRemoteSource(
  network: PeerNetwork,
  runner: string,
  request: string,
): AnswerSource {
  return {
    async read(from) {
      const part = await network.call(runner, readTopic, { request, from }, READ_TIMEOUT_MS);
      if (part.err) return Err('runner-lost' as const);
      return part.val ? Ok(part.val) : Err('unknown-request' as const);
    },
    close: () => undefined,
  };
}

/** Lets other instances read the answers of this one, and takes over those of leaving ones. */
export function serveAnswers(clock: Clock, network: PeerNetwork, answers: AnswerStore): void {
  network.handle(adoptTopic, async (_from, retained) => answers.adopt(retained));
  network.handle(readTopic, async (_from, { request, from }) => {
    const answer = answers.get(request);
    if (!answer) return undefined;
    answer.attach();
    const part = await readWithin(clock, READ_WAIT_MS, answer, from);
    lingerReader(clock, answer);
    return part;
  });
}

/** Passes the finished answers of an instance that leaves to another one. */
export async function passAnswers(
  network: PeerNetwork,
  answers: AnswerStore,
  successor: string,
): Promise<Set<string>> {
  const retained = answers.listRetained();
  const passed = new Set<string>();
  for (const answer of retained) {
    const reply = await network.call(successor, adoptTopic, answer, READ_TIMEOUT_MS);
    if (reply.ok) passed.add(answer.request);
  }
  return passed;
}

async function readWithin(
  clock: Clock,
  wait: Milliseconds,
  answer: Answer,
  from: number,
): Promise<AnswerPart> {
  const nothing: AnswerPart = { from, events: [] };
  const part = await withTimeout(clock, wait, answer.read(from), nothing);
  if (part.events.length <= EVENTS_PER_READ) return part;
  return { from, events: part.events.slice(0, EVENTS_PER_READ) };
}

async function lingerReader(clock: Clock, answer: Answer): Promise<void> {
  await sleep(clock, READER_LINGER_MS);
  answer.detach();
}
