import { Ok } from 'ts-results';
import { isServerError } from './attempt';
import type { AttemptReply, SentAttempt } from './sentAttempt';
import { reviewEnd } from '../ends/endReport';
import type { Run } from '../run';
import type { EventStream, StreamStep } from '../types';

/** Whether a replacement can go on with the answer. */
export type Beginning = 'begun' | 'lost';

/** A replacement whose stream is read up to its first event before it takes the place of another attempt. */
export interface Replacement {
  /** The attempt; its stream begins with what was read. */
  attempt: SentAttempt;
  /** Resolves once the head of its stream has arrived; else stays pending. */
  head: Promise<void>;
  /** Whether that head has arrived. */
  hasHead(): boolean;
  /** Resolves with its whole answer, the first event of its stream, or its failure. */
  beginning: Promise<Beginning>;
}

/** Reads the first step of the attempt's stream, which stays the first one for the reader after. */
export function readAhead<Payload>(run: Run<Payload>, sent: SentAttempt): Replacement {
  let first: Promise<StreamStep> | undefined;
  let hasRepeated = () => false;
  let onHead: () => void;
  const head = new Promise<void>((resolve) => {
    onHead = resolve;
  });

  const reply = sent.reply.then((result): AttemptReply => {
    if (result.err || result.val.kind !== 'stream') return result;
    const { stream } = result.val;
    first = stream.next();
    hasRepeated = stream.hasRepeated;
    onHead();
    return Ok({ ...result.val, stream: prepend(first, stream) });
  });

  async function begin(): Promise<Beginning> {
    if (!isUsable(run, await reply)) return 'lost';
    const step = await first;
    // A whole answer has no steps. An end without an event does not show that the other attempt is at its end,
    // unless the endpoint has shown that it could go on, and nothing speaks against its end.
    if (step === undefined) return 'begun';
    // Comments alone come just before an end.
    if (step.kind === 'events') return step.count > 0 ? 'begun' : 'lost';
    if (step.kind === 'broken' || !hasRepeated()) return 'lost';
    return reviewEnd(run, sent, step, true).reason === undefined ? 'begun' : 'lost';
  }

  const attempt = { ...sent, reply, end: () => sent.end().then(() => reply) };
  return { attempt, head, hasHead: () => first !== undefined, beginning: begin() };
}

function prepend(first: Promise<StreamStep>, stream: EventStream): EventStream {
  let isRead = false;
  return {
    ...stream,
    next() {
      if (isRead) return stream.next();
      isRead = true;
      return first;
    },
  };
}

// Once a part of a stream was sent, only a stream can go on with it.
function isUsable<Payload>(run: Run<Payload>, reply: AttemptReply): boolean {
  if (reply.err || isServerError(reply.val)) return false;
  return run.firstByteAt === undefined || reply.val.kind === 'stream';
}
