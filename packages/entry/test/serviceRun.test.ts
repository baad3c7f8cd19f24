import { Err, Ok } from 'ts-results';
import { createManualClock, createSilentLog } from '@pomeloroad/core';
import type { Outcome } from '@pomeloroad/core';
import type { Endpoint } from '@pomeloroad/configuration';
import { createAnswer } from '@pomeloroad/requests';
import type { RouteRequest, SlotResult } from '@pomeloroad/routing';
import type { RunHost } from '../src/runHost';
import type { RunRequest, ServiceCall } from '../src/runRequest';
import type { ServiceError } from '../src/serviceClient';
import { runService } from '../src/serviceRun';

const CALL: ServiceCall = {
  ...{ service: 'boards', method: 'POST', path: '/', headers: {} },
  ...{ body: Buffer.alloc(0), tokens: 5 },
};
const REQUEST: RunRequest = {
  ...{ id: 'r', account: 'dispatch', budget: 'dispatch/routes', digest: '' },
  ...{ isIdempotent: false, isProvisional: false, isContinuation: false, needsClaim: false },
  ...{ priority: 0, patience: 8000, work: { kind: 'call', call: CALL } },
};
const CUT: ServiceError = { kind: 'failed', ran: 'unknown', message: 'cut' };

/** Runs a call on a host with one endpoint; `places` tells which placements the keeper notes. */
async function run(
  places: boolean[],
  outcome: Outcome<void, ServiceError> = Ok.EMPTY,
  signal = new AbortController().signal,
) {
  const clock = createManualClock();
  const released: SlotResult[] = [];
  const endpoint = { name: 'b', address: 'b:1' } as Endpoint;
  const createSlot = () => ({
    ...{ endpoint, isLeaving: () => false, recordActivity: () => undefined },
    release: (result: SlotResult) => released.push(result),
  });
  const reservation = {
    ...{ id: 'reservation', budget: 'dispatch/routes', keeper: 'a', tokens: 5 },
    placement: undefined,
    place: async () => places.shift() ?? true,
    settle: () => undefined,
  };
  const host = {
    clock,
    log: createSilentLog(),
    settings: { budgetPatience: 0 },
    budgets: { reserve: async () => Ok(reservation) },
    admission: {
      acquire: async ({ excluded }: RouteRequest) =>
        excluded.has('b') ? Err({ kind: 'none' }) : Ok(createSlot()),
    },
    guard: { waitUntilFresh: async () => undefined },
    services: { run: async () => outcome },
  } as unknown as RunHost;
  const end = await runService(host, REQUEST, CALL, createAnswer(), signal);
  return { end, released };
}

test('a call whose budget keeper falls silent is admitted again', async () => {
  const { end, released } = await run([false, true]);
  expect(end).toEqual({ kind: 'complete' });
  expect(released).toEqual(['ok', 'ok']);
});

test('a call whose budget keeper stays silent is refused for that reason', async () => {
  const { end, released } = await run([false, false, false, false, false]);
  expect(end).toMatchObject({
    kind: 'refused',
    refusal: { code: 'budget_unreachable', ran: 'no', retryAfter: expect.any(Number) },
  });
  expect(released).not.toContain('failed');
});

test('a caller that leaves is no failure of the service', async () => {
  const { released } = await run([], Err(CUT), AbortSignal.abort());
  expect(released).toEqual(['ok']);
});

test('a service that cuts its answer has failed', async () => {
  const { end, released } = await run([], Err(CUT));
  expect(end).toMatchObject({ kind: 'refused', refusal: { code: 'endpoint_failed' } });
  expect(released).toEqual(['failed']);
});
