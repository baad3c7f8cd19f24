import { createManualClock } from '@pomeloroad/core';
import type { Milliseconds } from '@pomeloroad/core';
import { createEndpointLife } from '../src/ends/endpointLife';
import type { IncarnationFate } from '../src/store/directoryEntry';
import type { EndpointRecord, Identity, Reachability } from '../src/types';

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
    directory: { getFate: () => 'listed', find: () => undefined, noteOther: () => undefined },
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

/** What tells which start of an endpoint answers. */
interface Restart {
  born?: number;
  identity?: Identity;
  fate?: IncarnationFate;
}

// An endpoint of whose start its entry and its report tell as the options say.
function createRestartStand({ born = 1, identity = 'untold', fate = 'listed' }: Restart = {}) {
  const clock = createManualClock();
  const endpoint = { ...ENDPOINT, born };
  const idle = new Set<object>();
  const store = { sequence: 1, isAway: false };
  const life = createEndpointLife({
    clock,
    directory: {
      getFate: () => fate,
      find: () => ({ ...endpoint, sequence: store.sequence }),
      noteOther: () => undefined,
    },
    getHeldUpTime: () => 0,
    protocol: {
      probe: async () => 'accepting',
      identify: async () => identity,
      listIdle: () => [...idle],
    },
    refreshEndpoints: async () => !store.isAway,
  });
  const { signal } = new AbortController();
  async function advance(time: Milliseconds): Promise<void> {
    for (let passed = 0; passed < time; passed += STEP_MS) await clock.advance(STEP_MS);
  }
  return {
    ...{ clock, idle, store, life, signs: life.getSigns(endpoint), advance },
    end: () => life.learn(endpoint, { patience: PATIENCE_MS, ranAt: life.getTime() }, signal),
  };
}

test.each([
  [1, 'unknown'],
  [0, 'lives'],
] as const)(
  'an answer on a connection opened after an end shows that one with the start %i %s',
  async (born, expected) => {
    const { clock, signs, end, advance } = createRestartStand({ born });
    const verdict = end();
    await advance(450);
    signs.noteEvent(clock.elapsed() - 100);
    signs.noteAnswer(clock.elapsed(), clock.elapsed() - 100);
    await advance(PATIENCE_MS);
    expect(await verdict).toBe(expected);
  },
);

test('an answer on a connection opened before an end shows that its endpoint lives', async () => {
  const { clock, signs, end, advance } = createRestartStand();
  await advance(100);
  const verdict = end();
  await advance(450);
  signs.noteAnswer(clock.elapsed(), 50);
  expect(await verdict).toBe('lives');
});

test.each([
  ['same', 'lives'],
  ['other', 'exited'],
  ['untold', 'unknown'],
] as const)('what accepts connections and is %s shows %s', async (identity, expected) => {
  const { end, advance } = createRestartStand({ identity });
  const verdict = end();
  await advance(2 * PATIENCE_MS);
  expect(await verdict).toBe(expected);
});

test('an endpoint that the directory knows to have started again has exited', async () => {
  const { end, advance } = createRestartStand({ fate: 'started again' });
  const verdict = end();
  await advance(PATIENCE_MS);
  expect(await verdict).toBe('exited');
});

test.each([
  ['before', 'lives'],
  ['after', 'unknown'],
] as const)('an idle connection opened %s an end shows %s', async (order, expected) => {
  const { idle, life, end, advance } = createRestartStand();
  const connection = {};
  idle.add(connection);
  if (order === 'before') life.getOpeningTime(connection);
  await advance(100);
  const verdict = end();
  await advance(100);
  life.getOpeningTime(connection);
  await advance(2 * PATIENCE_MS);
  expect(await verdict).toBe(expected);
});

test('an entry that is renewed after it was read shows that its endpoint lives', async () => {
  const { store, end, advance } = createRestartStand();
  const verdict = end();
  await advance(700);
  store.sequence += 1;
  await advance(100);
  expect(await Promise.race([verdict, 'held'])).toBe('lives');
});

test.each([
  ['before it was read', 300, false],
  ['while the store is away', 700, true],
])('an entry that is renewed %s shows nothing', async (_when, at, isAway) => {
  const { store, end, advance } = createRestartStand();
  store.isAway = isAway;
  const verdict = end();
  await advance(at);
  store.sequence += 1;
  await advance(2 * PATIENCE_MS);
  expect(await verdict).toBe('unknown');
});
