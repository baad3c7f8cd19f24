import { createManualClock } from '@pomeloroad/core';
import type { ForwardHost } from '../src/forwardTypes';
import { createOriginMemory } from '../src/origins/originMemory';
import { isOriginDoubted, noteEvents } from '../src/origins/takeUp';
import { createRun } from '../src/run';
import type { SentAttempt } from '../src/attempts/sentAttempt';
import type { EventStream, ForwardRequest, Caller } from '../src/types';

const STREAM_TIME_MS = 15_001;

test('a stream of which nobody knows the incarnation stays in doubt while its run lasts', async () => {
  const clock = createManualClock();
  const memory = createOriginMemory(clock);
  const origins = { note: memory.set, isDoubted: memory.isDoubted };
  const host = { clock, origins, findService: () => undefined } as unknown as ForwardHost<string>;
  const route = { kind: 'streaming', isResumable: true };
  const request = { id: 'a', service: 'llm', route } as unknown as ForwardRequest<string>;
  const run = createRun(host, request, {} as Caller);
  const endpoint = { kind: 'service', version: 'v1' };
  const attempt = { slot: { endpoint }, endpoint: { id: 'e' } } as unknown as SentAttempt;
  noteEvents(run, attempt, { incarnation: 'unproved' } as EventStream);
  await clock.advance(STREAM_TIME_MS);
  memory.set('later', { service: 'llm', version: 'v1' });
  expect(isOriginDoubted(run)).toBe(true);
});

test.each([
  [undefined, true],
  ['a', false],
])(
  'the first event that a caller gets who takes up %s begins its stream: %s',
  async (resumes, hasBegun) => {
    const clock = createManualClock();
    const memory = createOriginMemory(clock);
    const origins = { note: memory.set, isDoubted: memory.isDoubted };
    const host = { clock, origins, findService: () => undefined } as unknown as ForwardHost<string>;
    const route = { kind: 'streaming', isResumable: true };
    const request = {
      id: 'a',
      resumes,
      service: 'llm',
      route,
    } as unknown as ForwardRequest<string>;
    const run = createRun(host, request, {} as Caller);
    const endpoint = { kind: 'service', version: 'v1' };
    const attempt = {
      slot: { endpoint },
      endpoint: { id: 'e', born: 1 },
    } as unknown as SentAttempt;
    noteEvents(run, attempt, { incarnation: 'proved' } as EventStream);
    expect(memory.hasBegunHere('a')).toBe(hasBegun);
  },
);
