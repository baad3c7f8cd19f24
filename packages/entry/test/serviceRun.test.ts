import { Err, Ok } from 'ts-results';
import { createManualClock, createSilentLog } from '@pomeloroad/core';
import type { Outcome } from '@pomeloroad/core';
import type { Endpoint } from '@pomeloroad/configuration';
import { createAnswer } from '@pomeloroad/requests';
import type { UsageRecord } from '@pomeloroad/budgets';
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
const ENDPOINTS = 2;
const DECLINED: ServiceError = { kind: 'busy', ran: 'no', message: 'busy' };
const CUT: ServiceError = { kind: 'failed', ran: 'unknown', message: 'cut' };

/** Runs a call on a host with two endpoints; `places` tells which placements the keeper notes. */
async function run(
  places: boolean[],
  outcomes: Outcome<void, ServiceError>[] = [],
  signal = new AbortController().signal,
  request = REQUEST,
) {
  const clock = createManualClock();
  const released: SlotResult[] = [];
  const settled: (UsageRecord | undefined)[] = [];
  const createSlot = (name: string) => ({
    endpoint: { name, address: `${name}:1` } as Endpoint,
    ...{ isLeaving: () => false, recordActivity: () => undefined },
    release: (result: SlotResult) => released.push(result),
  });
  const reservation = {
    ...{ id: 'reservation', budget: 'dispatch/routes', keeper: 'a', tokens: 5 },
    placement: undefined,
    place: async () => places.shift() ?? true,
    settle: (record: UsageRecord | undefined) => settled.push(record),
  };
  const host = {
    clock,
    log: createSilentLog(),
    settings: { budgetPatience: 0 },
    budgets: { reserve: async () => Ok(reservation) },
    admission: {
      acquire: async ({ excluded }: RouteRequest) =>
        excluded.size < ENDPOINTS ? Ok(createSlot(`b${excluded.size}`)) : Err({ kind: 'none' }),
    },
    guard: { waitUntilFresh: async () => undefined },
    services: { run: async () => outcomes.shift() ?? Ok.EMPTY },
  } as unknown as RunHost;
  const end = await runService(host, request, CALL, createAnswer(), signal);
  return { end, released, settled };
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
  const { released } = await run([], [Err(CUT)], AbortSignal.abort());
  expect(released).toEqual(['ok']);
});

test('a service that cuts its answer has failed', async () => {
  const { end, released } = await run([], [Err(CUT)]);
  expect(end).toMatchObject({ kind: 'refused', refusal: { code: 'endpoint_failed' } });
  expect(released).toEqual(['failed']);
});

test('a call that a first service may have run is not said not to have run', async () => {
  const idempotent = { ...REQUEST, isIdempotent: true };
  const { end, settled } = await run([], [Err(CUT), Err(DECLINED)], undefined, idempotent);
  expect(end).toMatchObject({ kind: 'refused', refusal: { ran: 'unknown' } });
  expect(settled).toMatchObject([{ tokens: 5 }]);
});

test('a call that a first service may have run is not admitted anew for a silent keeper', async () => {
  const idempotent = { ...REQUEST, isIdempotent: true };
  const { end, settled } = await run([true, false], [Err(CUT)], undefined, idempotent);
  expect(end).toMatchObject({ kind: 'refused', refusal: { ran: 'unknown' } });
  expect(settled).toMatchObject([{ tokens: 5 }]);
});
