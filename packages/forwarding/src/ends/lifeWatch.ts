import { Ok } from 'ts-results';
import type { AttemptReply } from '../attempts/sentAttempt';
import type { Attempt, EndpointProtocol, EventStream } from '../types';
import type { EndpointLife } from './endpointLife';
import type { LifeSigns } from './incarnationLife';

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
      const sent = await protocol.send(watchEvents(attempt, signs));
      if (isOwnAnswer(sent)) signs.noteAnswer(sentAt);
      if (sent.err || sent.val.kind !== 'stream') return sent;
      const { head, stream } = sent.val;
      if (head.framing !== 'chunked') return sent;
      return Ok({ ...sent.val, stream: watchEnd(stream, signs, attempt.signal) });
    },
  };
}

// What is read again after a pause may have been sent long before.
function watchEvents<Payload>(attempt: Attempt<Payload>, signs: LifeSigns): Attempt<Payload> {
  const isStream = attempt.request.route.kind === 'streaming';
  let isTimely = true;
  return {
    ...attempt,
    onProgress() {
      attempt.onProgress();
      if (isStream && isTimely) signs.noteEvent();
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
