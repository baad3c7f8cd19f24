import { createManualClock, createRandom, sleep } from '@pomeloroad/core';
import type { Milliseconds } from '@pomeloroad/core';
import { createMemoryRowStore } from '@pomeloroad/storage';
import { createEndpointLosses } from '../src/store/endpointLosses';
import type { Suspicion } from '../src/suspects/suspectEvidence';
import { startInstance } from './suspectsInstance';
import type { Instance } from './suspectsInstance';

/** The platform's bound in the largest deployments. */
const CONTACT_MS: Milliseconds = 4000;
/** Crashes after which requests are limited: of a part of prompts, and of one whole request. */
const CRASHES_FREE = { part: 5, request: 3 };
const ATTEMPTS = 2;
const LATE_REQUESTS_MAX = 3;
const STORE_CALL_MS: Milliseconds = 10;
const CRASH_DELAY_MS: Milliseconds = 60;
const STEP_MS: Milliseconds = 50;
const PLAY_MS: Milliseconds = 60_000;
const HARM_INTERVAL_MS: Milliseconds = 700;
/** Time after an endpoint's death at which its entry goes. */
const LAPSE_MS: Milliseconds = 1400;
const CUT_MS: Milliseconds = 3000;

const HELD = new Set<Suspicion>(['suspected', 'blocked']);

// Plays bad requests at random instances, which are restarted or cut off from the store by turns.
async function play(
  kind: 'part' | 'request',
  count: number,
  requestsPerSecond: number,
  seed: number,
) {
  const name = kind === 'part' ? 'bad' : 'request:bad';
  const clock = createManualClock();
  const random = createRandom(seed);
  const memory = createMemoryRowStore();
  const losses = createEndpointLosses(clock);
  const instances = Array.from({ length: count }, start);
  const crashes: Milliseconds[] = [];
  const sent: { at: Milliseconds; isInTouch: boolean }[] = [];

  function start(): Instance {
    const shared = { clock, random, memory, losses, storeCall: STORE_CALL_MS };
    return startInstance(shared, CONTACT_MS);
  }

  // The endpoint dies under the request; its instance learns so unless it was stopped meanwhile.
  async function send({ suspects, calmFrom }: Instance): Promise<void> {
    const admittance = await suspects.admit(['first', name]);
    if (admittance.kind === 'blocked' || admittance.kind === 'unknown') return;
    const attempts = admittance.kind === 'probe' ? 1 : ATTEMPTS;
    for (let attempt = 1; attempt <= attempts; attempt += 1) {
      if (attempt > 1 && HELD.has(suspects.judge([name]))) return;
      sent.push({ at: clock.elapsed(), isInTouch: clock.elapsed() >= calmFrom });
      const incarnation = `e-${sent.length}/1`;
      await sleep(clock, CRASH_DELAY_MS);
      crashes.push(clock.elapsed());
      clock.after(LAPSE_MS, () => losses.note(incarnation));
      suspects.noteCrash({ incarnation, names: new Map([[name, 1]]) });
    }
  }

  async function harm(): Promise<void> {
    const index = random.integer(0, count - 1);
    const harmed = instances[index]!;
    if (random.fraction() < 0.5) {
      harmed.stop.abort();
      instances[index] = { ...start(), calmFrom: clock.elapsed() + CONTACT_MS };
      return;
    }
    harmed.isCut = true;
    harmed.calmFrom = Infinity;
    await sleep(clock, CUT_MS);
    harmed.isCut = false;
    harmed.calmFrom = clock.elapsed() + CONTACT_MS;
  }

  for (let at = 0; at < PLAY_MS; at += STEP_MS) {
    if (random.fraction() < (requestsPerSecond * STEP_MS) / 1000) {
      send(instances[random.integer(0, count - 1)]!);
    }
    if (at % HARM_INTERVAL_MS === 0) harm();
    await clock.advance(STEP_MS);
  }
  instances.forEach(({ stop }) => stop.abort());
  const from = (crashes[CRASHES_FREE[kind] - 1] ?? Infinity) + CONTACT_MS;
  return sent.filter(({ at, isInTouch }) => isInTouch && at > from).length;
}

test.each([
  ['part', 8, 2, 1],
  ['part', 8, 8, 2],
  ['part', 30, 8, 3],
  ['part', 89, 4, 4],
  ['part', 89, 16, 5],
  ['request', 8, 2, 6],
  ['request', 8, 8, 7],
  ['request', 30, 8, 8],
  ['request', 89, 16, 9],
] as const)(
  'a crashing %s: %i instances, restarted and cut off, hold %i a second (seed %i)',
  async (kind, instances, requestsPerSecond, seed) => {
    const late = await play(kind, instances, requestsPerSecond, seed);
    expect(late).toBeLessThanOrEqual(LATE_REQUESTS_MAX);
  },
  60_000,
);
