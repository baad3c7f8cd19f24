import { createManualClock, createSilentLog } from '@pomeloroad/core';
import { applyStatements } from '../src/attempts/statements';
import type { EndpointRecord } from '../src';

const ENDPOINT = { id: 'e', born: 1 } as EndpointRecord;

test.each([5000, 60_000, 3_600_000])(
  'a pause of %d ms holds for as long as it asks',
  (duration) => {
    const clock = createManualClock();
    const paused: { name: string; until: number }[] = [];
    const host = {
      clock,
      log: createSilentLog(),
      endpoints: { pause: (name: string, until: number) => paused.push({ name, until }) },
      rateLimits: { note: () => undefined },
      slotShares: { note: () => undefined },
    } as unknown as Parameters<typeof applyStatements>[0];
    applyStatements(host, 'e/1', ENDPOINT, [{ kind: 'pause', duration }], 0);
    expect(paused).toEqual([{ name: 'e/1', until: duration }]);
  },
);
