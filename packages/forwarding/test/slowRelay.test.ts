import { Duplex } from 'node:stream';
import { Err, Ok } from 'ts-results';
import { createManualClock, createRandom, createSilentLog, sleep } from '@pomeloroad/core';
import type { Milliseconds } from '@pomeloroad/core';
import { createMetrics } from '@pomeloroad/telemetry';
import { createForwardMetrics } from '../src';
import type { EndpointRecord } from '../src';
import { createDialer } from '../src/relays/dialer';

/** Time that the relay takes for each tunnel, one after another, also for those that nobody wants any more. */
const TURN_MS: Milliseconds = 40;
/** Each dial needs a tunnel of its own; the relay keeps up with this rate. */
const DIAL_INTERVAL_MS: Milliseconds = 50;
const BURST_DIALS = 60;
const ENDPOINTS = ['a', 'b', 'c'].map((id): EndpointRecord => {
  const place = { service: 'board', dataCentre: 'kent', address: `${id}:80` };
  return { id, born: 1, sequence: 1, isLeaving: false, concurrency: 4, ...place };
});
const RELAY = { instance: 'near', dataCentre: 'kent', address: 'near', secret: 's' };

// An instance without a path of its own, and one relay that opens tunnels slowly, in simulated time.
function createStand() {
  const clock = createManualClock();
  const shares = { sent: 0, opened: 0, asked: 0 };
  let busyUntil: Milliseconds = 0;

  const dialer = createDialer({
    clock,
    random: createRandom(1),
    signal: new AbortController().signal,
    log: createSilentLog(),
    metrics: createForwardMetrics(createMetrics()),
    dataCentre: 'kent',
    connect: async () => Err({ kind: 'refused', message: 'ECONNREFUSED' }),
    async openTunnel(_relay, _endpoint, timeout) {
      shares.asked += 1;
      busyUntil = Math.max(busyUntil, clock.elapsed()) + TURN_MS;
      const delay = busyUntil - clock.elapsed();
      await sleep(clock, Math.min(delay, timeout));
      return delay > timeout ? Err('unreachable') : Ok(new Duplex({ read: () => undefined }));
    },
    listEndpoints: () => ENDPOINTS,
    listRelays: () => [{ ...RELAY, isCutOff: false }],
    onReachChange: () => undefined,
  });

  async function dial(number: number): Promise<void> {
    shares.sent += 1;
    const dialed = await dialer.dial(ENDPOINTS[number % ENDPOINTS.length]!.address);
    if (dialed.ok) shares.opened += 1;
  }

  async function dialFor(duration: Milliseconds): Promise<void> {
    for (let at = 0; at < duration; at += DIAL_INTERVAL_MS) {
      dial(at / DIAL_INTERVAL_MS);
      await clock.advance(DIAL_INTERVAL_MS);
    }
  }

  function takeShare(): number {
    const share = shares.opened / shares.sent;
    Object.assign(shares, { sent: 0, opened: 0 });
    return share;
  }

  return { clock, shares, dial, dialFor, takeShare };
}

test('a relay that was asked for too much at once opens tunnels in time soon after', async () => {
  const { dial, dialFor, takeShare } = createStand();
  Array.from({ length: BURST_DIALS }, (_, number) => dial(number));
  await dialFor(3000);
  takeShare();
  await dialFor(4000);
  expect(takeShare()).toBeGreaterThanOrEqual(2 / 3);
});

test('a tunnel that opens too late serves the next request', async () => {
  const { clock, shares, dial } = createStand();
  Array.from({ length: 30 }, () => dial(0));
  await clock.advance(2000);
  const { asked, opened } = shares;
  expect(opened).toBeLessThan(30);
  dial(0);
  await clock.advance(1);
  expect(shares).toMatchObject({ asked, opened: opened + 1 });
});
