import { createManualClock } from '@pomeloroad/core';
import type { Milliseconds } from '@pomeloroad/core';
import { createEndpointLife } from '../src/ends/endpointLife';
import type { EndpointRecord, Reachability } from '../src/types';

const ENDPOINT: EndpointRecord = {
  ...{ id: 'e', born: 1, sequence: 1, version: 'v1', service: 'llm' },
  ...{ address: '127.0.0.1:1', dataCentre: 'kent', isLeaving: false, concurrency: 8 },
};
const PATIENCE_MS: Milliseconds = 1500;
const STEP_MS: Milliseconds = 50;

const IDENTITIES = { accepting: 'same', refused: 'refused', unknown: 'unknown' } as const;

// One endpoint that is reached as `state` says at the time; `advance` goes in steps, as timers come late otherwise.
function createStand() {
  const clock = createManualClock();
  const state: { reachability: Reachability; heldUp: Milliseconds } = {
    reachability: 'accepting',
    heldUp: 0,
  };
  const life = createEndpointLife({
    clock,
    directory: { getFate: () => 'listed', find: () => undefined },
    getHeldUpTime: () => state.heldUp,
    protocol: {
      probe: async () => state.reachability,
      identify: async () => IDENTITIES[state.reachability],
      listIdle: () => [],
    },
    refreshEndpoints: async () => false,
  });
  const { signal } = new AbortController();
  function end(patience = PATIENCE_MS) {
    life.getSigns(ENDPOINT).noteEnd('stated');
    return life.learn(ENDPOINT, { patience, ranAt: life.getTime() }, signal);
  }
  async function advance(time: Milliseconds): Promise<void> {
    for (let passed = 0; passed < time; passed += STEP_MS) await clock.advance(STEP_MS);
  }
  return { state, clock, signs: life.getSigns(ENDPOINT), end, advance };
}

test('an endpoint that ends its streams one after the other and exits has exited for each of them', async () => {
  const { state, signs, end, advance } = createStand();
  const first = end();
  await advance(200);
  signs.noteEvent(0);
  const second = end();
  await advance(100);
  state.reachability = 'refused';
  await advance(PATIENCE_MS);
  expect([await first, await second]).toEqual(['exited', 'exited']);
});

test('an endpoint whose other stream goes on later than an exit takes lives', async () => {
  const { state, signs, end, advance } = createStand();
  const verdict = end();
  await advance(450);
  signs.noteEvent(0);
  state.reachability = 'refused';
  await advance(PATIENCE_MS);
  expect(await verdict).toBe('lives');
});

test('an endpoint is asked in time for an end that joins others with less patience', async () => {
  const { state, end, advance } = createStand();
  state.reachability = 'refused';
  const first = end();
  await advance(100);
  const second = end(300);
  await advance(PATIENCE_MS);
  expect([await first, await second]).toEqual(['exited', 'exited']);
});

test('time for which the process is held up is no time in which an endpoint could be asked', async () => {
  const { state, clock, end, advance } = createStand();
  state.reachability = 'refused';
  const verdict = end();
  state.heldUp = 1600;
  await clock.advance(1600);
  await advance(PATIENCE_MS);
  expect(await verdict).toBe('exited');
});

test('an endpoint that nobody reaches is unknown', async () => {
  const { state, end, advance } = createStand();
  state.reachability = 'unknown';
  const verdict = end();
  await advance(2 * PATIENCE_MS);
  expect(await verdict).toBe('unknown');
});
