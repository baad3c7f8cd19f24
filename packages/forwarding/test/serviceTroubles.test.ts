import { createManualClock } from '@pomeloroad/core';
import { createServiceTroubles } from '../src/copies/serviceTroubles';
import type { EndpointRecord } from '../src/types';

const LEAVING = [{ service: 's', isLeaving: true }] as EndpointRecord[];
const SOUND = [{ service: 's', isLeaving: false }] as EndpointRecord[];

test('a service without troubles has none', () => {
  const troubles = createServiceTroubles(createManualClock());
  troubles.update(SOUND);
  expect(troubles.has('s')).toBe(false);
});

test('a failure is a trouble of its service for 10 s', async () => {
  const clock = createManualClock();
  const troubles = createServiceTroubles(clock);
  troubles.note('s');
  await clock.advance(9999);
  expect([troubles.has('s'), troubles.has('other')]).toEqual([true, false]);
  await clock.advance(1);
  expect(troubles.has('s')).toBe(false);
});

test('an endpoint that is leaving is a trouble until 10 s after it has left', async () => {
  const clock = createManualClock();
  const troubles = createServiceTroubles(clock);
  troubles.update(LEAVING);
  await clock.advance(60_000);
  expect(troubles.has('s')).toBe(true);
  troubles.update([]);
  await clock.advance(9999);
  expect(troubles.has('s')).toBe(true);
  await clock.advance(1);
  expect(troubles.has('s')).toBe(false);
});
