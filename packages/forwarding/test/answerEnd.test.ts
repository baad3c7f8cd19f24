import { createManualClock, sleep } from '@pomeloroad/core';
import type { ResponseFraming } from '@pomeloroad/core';
import type { Slot } from '@pomeloroad/routing';
import { findEndFault } from '../src/ends/answerEnd';
import type { SentAttempt } from '../src/attempts/sentAttempt';
import type { Run } from '../src/run';
import type { ConnectionFate, EndpointRecord, Identity, Reachability } from '../src';
import type { IncarnationFate } from '../src/store/directoryEntry';

const DEADLINE_MS = 1000;

interface Endpoint {
  reachability?: Reachability;
  /** What answers at its address, if its entry tells its start. */
  identity?: Identity;
  isLeaving?: boolean;
  fate?: IncarnationFate;
  /** How long before the request another process was found at its address; negative if after it. */
  otherBefore?: number;
  /** The fate once the entries are read again, and how long that takes. */
  reading?: { fate: IncarnationFate; takes: number };
  /** Whether the connection closes just after the end. */
  hasClosed?: boolean;
  /** Whether endpoints of the service are known to keep connections. */
  isCloseUnusual?: boolean;
}

// Judges an end that arrived `timeLeft` ms before the deadline; returns the fault and the steps.
async function judge(framing: ResponseFraming, timeLeft: number, endpoint: Endpoint = {}) {
  const { reachability = 'accepting', isLeaving = false, fate = 'listed' } = endpoint;
  const { hasClosed = false, isCloseUnusual = false } = endpoint;
  const { reading = { fate, takes: 1 } } = endpoint;
  const clock = createManualClock();
  let isRead = false;
  const at = DEADLINE_MS - timeLeft;
  await clock.advance(at);
  const steps: string[] = [];
  const sentAt = at - 100;
  const slot = {
    endpoint: { name: 'e/1' },
    isLeaving: () => isLeaving,
    release: (result: string) => steps.push(result),
  } as unknown as Slot;
  const run = {
    request: { deadline: DEADLINE_MS, route: { kind: 'streaming', isResumable: true } },
    stop: new AbortController(),
    host: {
      clock,
      closeHistory: { isCloseUnusual: () => isCloseUnusual },
      directory: {
        getFate: () => (isRead ? reading.fate : fate),
        noteOther: () => steps.push('other'),
        getOtherTime: () =>
          endpoint.otherBefore === undefined
            ? undefined
            : clock.elapsed() - sentAt + endpoint.otherBefore,
      },
      async refreshEndpoints() {
        steps.push('refresh');
        await sleep(clock, reading.takes);
        isRead = true;
      },
      protocol: {
        async probe() {
          steps.push('probe');
          return reachability;
        },
        async identify() {
          steps.push('identify');
          return endpoint.identity;
        },
      },
    },
  } as unknown as Run<unknown>;
  let fault: string | undefined = 'not judged';
  const born = endpoint.identity ? 1 : 0;
  const record = { id: 'e', born } as EndpointRecord;
  const attempt = { slot, endpoint: record, told: { at: sentAt } } as SentAttempt;
  const end = {
    framing,
    at,
    connection: Promise.resolve<ConnectionFate>(hasClosed ? 'closed' : 'kept'),
  };
  const judged = findEndFault(run, attempt, end).then((found) => {
    fault = found;
  });
  await clock.advance(DEADLINE_MS);
  await judged;
  return { fault, steps };
}

test.each<[ResponseFraming, number, boolean]>([
  ['chunked', 3, false],
  ['chunked', 2, true],
  ['chunked', 0, true],
  ['close', 3, false],
  ['close', 2, true],
  ['length', 0, false],
  ['no body', 0, false],
])('an answer ended by %s with %i ms left is broken: %s', async (framing, timeLeft, isBroken) => {
  const { fault } = await judge(framing, timeLeft);
  expect(fault !== undefined).toBe(isBroken);
});

test.each<[Endpoint, boolean]>([
  [{ reachability: 'refused' }, true],
  [{ reachability: 'refused', isLeaving: true }, true],
  [{ reachability: 'refused', fate: 'gone' }, true],
  [{ reachability: 'accepting', fate: 'started again' }, true],
  [{ reachability: 'accepting', isLeaving: true, fate: 'leaving' }, false],
  [{ reachability: 'unknown' }, false],
  [{ reachability: 'accepting' }, false],
])('a close by an endpoint breaks its answer: %j %s', async (endpoint, isBroken) => {
  const { fault } = await judge('close', 500, endpoint);
  expect(fault !== undefined).toBe(isBroken);
});

test.each<[Identity, boolean]>([
  ['other', true],
  ['refused', true],
  ['same', false],
  ['untold', false],
  ['unknown', false],
])(
  'a close breaks the answer if the process at the address is %s: %s',
  async (identity, isBroken) => {
    const { fault, steps } = await judge('close', 500, { identity });
    expect(fault !== undefined).toBe(isBroken);
    expect(steps).toEqual(['ok', 'identify', ...(identity === 'other' ? ['other'] : [])]);
  },
);

test.each<[number, Reachability, boolean]>([
  [1, 'accepting', false],
  [1, 'refused', true],
  [-1, 'accepting', true],
])(
  'a close breaks the answer if another process was found %d ms before the request, and the address is %s: %s',
  async (otherBefore, reachability, isBroken) => {
    const endpoint = { otherBefore, reachability, fate: 'started again' as const };
    const { fault } = await judge('close', 500, { ...endpoint, identity: 'other' });
    expect(fault !== undefined).toBe(isBroken);
  },
);

test.each<[Endpoint, boolean]>([
  [{ hasClosed: true, reachability: 'refused' }, true],
  [{ hasClosed: true, reachability: 'refused', isLeaving: true }, false],
  [{ hasClosed: true, reachability: 'accepting' }, false],
  [{ hasClosed: false, reachability: 'refused' }, false],
  [{ hasClosed: true, reachability: 'accepting', isCloseUnusual: true }, true],
  [{ hasClosed: true, reachability: 'accepting', isCloseUnusual: true, isLeaving: true }, false],
  [{ hasClosed: false, reachability: 'accepting', isCloseUnusual: true }, false],
])('a stated end by an endpoint breaks its answer: %j %s', async (endpoint, isBroken) => {
  const { fault } = await judge('chunked', 500, endpoint);
  expect(fault !== undefined).toBe(isBroken);
});

const EXITED = { hasClosed: true, reachability: 'refused' as const };

test.each<[Endpoint['reading'], boolean]>([
  [{ fate: 'leaving', takes: 1 }, false],
  [{ fate: 'leaving', takes: 250 }, false],
  [{ fate: 'gone', takes: 1 }, false],
  [{ fate: 'listed', takes: 1 }, true],
  [{ fate: 'started again', takes: 1 }, true],
  // An entry that goes later may have lapsed since its endpoint was killed.
  [{ fate: 'gone', takes: 350 }, true],
  [{ fate: 'leaving', takes: Infinity }, true],
])(
  'a stated end of an endpoint that has exited counts by its entry read after that: %j %s',
  async (reading, isBroken) => {
    const { fault, steps } = await judge('chunked', 900, { ...EXITED, reading });
    expect(steps).toEqual(['ok', 'probe', 'refresh']);
    expect(fault !== undefined).toBe(isBroken);
  },
);

test('the entries are not read again where the exit of an endpoint decides nothing', async () => {
  const { steps } = await judge('chunked', 900, { hasClosed: true });
  expect([...steps, ...(await judge('close', 900, EXITED)).steps]).not.toContain('refresh');
  const leaving = await judge('chunked', 900, { ...EXITED, isLeaving: true });
  expect(leaving.steps).not.toContain('refresh');
});

test('an endpoint is asked only after its slot is released', async () => {
  expect((await judge('close', 500)).steps).toEqual(['ok', 'probe']);
});
