import { Ok } from 'ts-results';
import { createManualClock } from '@pomeloroad/core';
import type { Connection, Milliseconds } from '@pomeloroad/core';
import type { EndpointLife } from '../src/ends/endpointLife';
import { watchLives } from '../src/ends/lifeWatch';
import type { Attempt, EndpointProtocol, EventStream, StreamStep } from '../src/types';

const HEAD = { status: 200, framing: 'close' as const, headers: [] };

// Sends a stream on a connection opened at 0, with an event at 1000 and its end at 1100.
async function playStream(connection: Partial<Connection>, born: number, isReadAgain = false) {
  const clock = createManualClock();
  const events: Milliseconds[] = [];
  const life = {
    getTime: clock.elapsed,
    getOpeningTime: () => 0,
    getSigns: () => ({
      noteEvent: (openedAt: Milliseconds) => events.push(openedAt),
      noteAnswer: () => undefined,
      noteEnd: () => undefined,
    }),
  } as unknown as EndpointLife;
  let sent: Attempt<void> | undefined;
  const end: StreamStep = {
    ...{ kind: 'closed', framing: 'close', at: 1100 },
    connection: Promise.resolve('not kept'),
  };
  const stream: EventStream = {
    next: async () => end,
    hasRepeated: () => false,
    close: async () => undefined,
  };
  const protocol = {
    async send(attempt: Attempt<void>) {
      sent = attempt;
      attempt.onConnected(connection as Connection);
      return Ok({ kind: 'stream', head: HEAD, stream });
    },
  } as unknown as EndpointProtocol<void>;
  const attempt = {
    request: { route: { kind: 'streaming' } },
    endpoint: { born },
    ...{ onConnected: () => undefined, onProgress: () => undefined, onReadAgain: () => undefined },
  } as unknown as Attempt<void>;
  const reply = await watchLives(protocol, life).send(attempt);
  await clock.advance(1000);
  if (isReadAgain) sent?.onReadAgain();
  sent?.onProgress();
  await clock.advance(100);
  const val = reply.unwrap();
  const step = val.kind === 'stream' ? await val.stream.next() : undefined;
  return { events, ranAt: step && 'ranAt' in step ? step.ranAt : undefined };
}

test('the process of a stream ran a while before its last event', async () => {
  expect(await playStream({}, 1)).toEqual({ events: [0], ranAt: 750 });
});

test.each([
  ['was kept back here', {}, true],
  ['another instance carried', { isCarried: true }, false],
])('an event that %s tells nothing of its process', async (_name, connection, isReadAgain) => {
  expect(await playStream(connection, 1, isReadAgain)).toEqual({ events: [], ranAt: 0 });
});

test('one that another instance carried tells of an endpoint without a start in its entry', async () => {
  expect(await playStream({ isCarried: true }, 0)).toEqual({ events: [0], ranAt: 750 });
});
