import type { ServerResponse } from 'node:http';
import { createRefusal } from '@pomeloroad/requests';
import type { AnswerEnd, AnswerEvent, AnswerPart, Refusal } from '@pomeloroad/requests';
import type { AnswerSource } from './answerSource';
import { createAnswerWriter } from './answerWriter';
import type { AnswerWriter, Delivery } from './answerWriter';

/**
 * Finds another source of an answer that can't be read further from a position on. Returns a refusal
 * if there is none. With `isContinuation`, only the run that brought the events before it may go on.
 */
export type Reopen = (position: number, isContinuation: boolean) => Promise<AnswerSource | Refusal>;

/** Sends an answer as it is produced. Resolves once all is sent or the caller has disconnected. */
export async function deliverAnswer(
  response: ServerResponse,
  delivery: Delivery,
  source: AnswerSource,
  reopen: Reopen,
): Promise<void> {
  const start = delivery.form === 'events' ? delivery.from : 0;
  let writer = createAnswerWriter(response, delivery);
  let currentSource = source;
  let position = start;
  /** The stream whose events were written. */
  let stream: string | undefined;

  while (!response.destroyed) {
    const part = await raceWithClose(response, currentSource.read(position));
    if (!part) break;
    if (part.err) {
      const next = await replaceSource();
      if ('code' in next) {
        writer.end({ kind: 'refused', refusal: next });
        return;
      }
      currentSource = next;
    } else {
      const end = await writePart(part.val);
      if (end) {
        writer.end(end);
        break;
      }
    }
  }
  currentSource.close();

  // Closes the source, and returns one that goes on with the answer, or why there is none.
  async function replaceSource(): Promise<AnswerSource | Refusal> {
    currentSource.close();
    const isContinuation = position > 0 && delivery.form !== 'json';
    const found = await reopen(position, isContinuation);
    return acceptSource(delivery, position, currentSource.run, found);
  }

  // Returns the end of the answer if it ends with this part.
  async function writePart(part: AnswerPart): Promise<AnswerEnd | undefined> {
    if (position > start && isOfOtherStream(part, stream)) return startOver();
    const { events } = part;
    const end = getEnd(part, position);
    if (events.length > 0) stream = part.stream;
    await writeEvents(writer, events, position);
    position += events.length;
    return end;
  }

  // Nothing was sent of an answer in one piece, so it is that of the other stream from its start.
  function startOver(): AnswerEnd | undefined {
    if (delivery.form !== 'json') return { kind: 'refused', refusal: createLostRefusal() };
    writer = createAnswerWriter(response, delivery);
    position = start;
    return undefined;
  }
}

async function writeEvents(
  writer: AnswerWriter,
  events: AnswerEvent[],
  from: number,
): Promise<void> {
  for (const [index, event] of events.entries()) await writer.event(event, from + index);
}

// An answer that ends before the event that the caller named is not the one that brought that event.
function getEnd({ from, end }: AnswerPart, position: number): AnswerEnd | undefined {
  const isOfOther = end?.kind === 'complete' && from < position;
  return isOfOther ? { kind: 'refused', refusal: createLostRefusal() } : end;
}

// Two streams write different texts, also for the same request; their engines may be of two versions.
function isOfOtherStream({ events, end, stream }: AnswerPart, sent: string | undefined): boolean {
  const hasContent = events.length > 0 || end?.kind === 'complete';
  return hasContent && stream !== sent;
}

// Only the run whose first events were sent can go on with a service's answer: another run's answer
// may differ, or arrive in other parts.
function acceptSource(
  { form }: Delivery,
  position: number,
  run: string,
  next: AnswerSource | Refusal,
): AnswerSource | Refusal {
  if ('code' in next || form !== 'service' || position === 0 || next.run === run) return next;
  next.close();
  return createLostRefusal();
}

// Resolves to `undefined` if the caller disconnects first, so that no further event is awaited.
async function raceWithClose<T>(
  response: ServerResponse,
  work: Promise<T>,
): Promise<T | undefined> {
  let onClose: () => void = () => undefined;
  const closed = new Promise<undefined>((resolve) => {
    onClose = () => resolve(undefined);
    response.once('close', onClose);
  });
  const result = await Promise.race([work, closed]);
  response.off('close', onClose);
  return result;
}

/** Creates the refusal for an answer whose runner is lost and that no instance can take over. */
export function createLostRefusal(): Refusal {
  const message = 'The instance that ran this request is lost; how it ended is not known.';
  return createRefusal('outcome_unknown', 'unknown', message);
}
