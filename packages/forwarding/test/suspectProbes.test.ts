import { createManualClock } from '@pomeloroad/core';
import type { Milliseconds } from '@pomeloroad/core';
import type { ForwardHost } from '../src/forwardTypes';
import { createRun, isWithheld } from '../src/run';
import type { Caller, ForwardRequest } from '../src/types';
import { createStand } from './suspectsStand';

const PROPAGATION_MS = 1000;
/** Time after which a probe without a verdict has been given back, and the next one is due. */
const NEXT_PROBE_MS = 12_000;
const CRASHES = ['a/1', 'b/1', 'c/1'];

// A sound part that is blocked beside a bad one.
async function createBlocked(count = 3) {
  const stand = createStand(count);
  await stand.clock.advance(PROPAGATION_MS);
  CRASHES.forEach((incarnation) => stand.crash(0, incarnation, ['first', 'bad']));
  await stand.clock.advance(2 * PROPAGATION_MS);
  return stand;
}

// The same after both its quick probes at the second instance, which has ended.
async function probeTwice(count = 3) {
  const stand = await createBlocked(count);
  const { clock, instances } = stand;
  expect(await instances[1]?.admit(['first'])).toMatchObject({ kind: 'probe' });
  await clock.advance(3 * PROPAGATION_MS);
  expect(await instances[1]?.admit(['first'])).toMatchObject({ kind: 'probe' });
  instances[1]?.stop.abort();
  await clock.advance(3 * PROPAGATION_MS);
  expect(await instances[2]?.admit(['first'])).toMatchObject({ kind: 'blocked' });
  return stand;
}

test('a probe that was lost with its instance is given back if no endpoint has died', async () => {
  const { clock, instances } = await probeTwice();
  await clock.advance(NEXT_PROBE_MS);
  expect(await instances[2]?.admit(['first'])).toMatchObject({ kind: 'probe' });
});

test('a probe that many instances know of is given back once', async () => {
  const { clock, instances } = await probeTwice(8);
  await clock.advance(NEXT_PROBE_MS);
  const [, , ...others] = instances;
  const admitting = Promise.all(others.map(({ admit }) => admit(['first'])));
  await clock.advance(PROPAGATION_MS);
  const kinds = (await admitting).map(({ kind }) => kind);
  expect(kinds.filter((kind) => kind === 'probe')).toHaveLength(1);
  await clock.advance(3 * PROPAGATION_MS);
  expect(await instances[2]?.admit(['first'])).toMatchObject({ kind: 'blocked' });
});

test('a probe after which an endpoint has gone is not given back', async () => {
  const { clock, losses, instances } = await probeTwice();
  losses.note('d/1');
  await clock.advance(NEXT_PROBE_MS);
  expect(await instances[2]?.admit(['first'])).toMatchObject({ kind: 'blocked' });
});

test('an endpoint that had crashed before the probe does not count against it', async () => {
  const { clock, losses, instances } = await probeTwice();
  losses.note('c/1');
  await clock.advance(NEXT_PROBE_MS);
  expect(await instances[2]?.admit(['first'])).toMatchObject({ kind: 'probe' });
});

test('a probe during which the store was silent is not given back', async () => {
  const { clock, losses, instances } = await probeTwice();
  losses.noteUnknown();
  await clock.advance(NEXT_PROBE_MS);
  expect(await instances[2]?.admit(['first'])).toMatchObject({ kind: 'blocked' });
});

test('a probe that others have given back is not given back again', async () => {
  const { clock, instances } = await createBlocked();
  expect(await instances[1]?.admit(['first'])).toMatchObject({ kind: 'probe' });
  await clock.advance(3 * PROPAGATION_MS);
  expect(await instances[1]?.admit(['first'])).toMatchObject({ kind: 'probe' });
  await clock.advance(8 * PROPAGATION_MS);
  instances[1]?.giveBack(['first']);
  await clock.advance(2 * PROPAGATION_MS);
  const probes: boolean[] = [];
  for (let index = 0; index < 3; index += 1) {
    probes.push((await instances[2]?.admit(['first']))?.kind === 'probe');
    await clock.advance(3 * PROPAGATION_MS);
  }
  expect(probes).toEqual([true, false, false]);
});

test('an instance that has not seen a probe does not give it back', async () => {
  const { clock, instances, start } = await probeTwice();
  instances.forEach(({ stop }) => stop.abort());
  const started = start(9);
  await clock.advance(NEXT_PROBE_MS);
  expect(await started.admit(['first'])).toMatchObject({ kind: 'blocked' });
});

test('the only part that may be to blame gets no probe back', async () => {
  const { clock, instances, crash } = createStand(2);
  await clock.advance(PROPAGATION_MS);
  CRASHES.forEach((incarnation) => crash(0, incarnation, ['bad']));
  await clock.advance(61_000);
  expect(await instances[1]?.admit(['bad'])).toMatchObject({ kind: 'probe' });
  await clock.advance(100_000);
  expect(await instances[1]?.admit(['bad'])).toMatchObject({ kind: 'blocked' });
});

test('a part that crashes an endpoint by each probe is probed twice, though their instances end', async () => {
  const { clock, losses, instances } = await probeTwice(8);
  losses.note('e/1');
  let probes = 0;
  for (let index = 2; index < 8; index += 1) {
    await clock.advance(NEXT_PROBE_MS);
    if ((await instances[index]?.admit(['first']))?.kind === 'probe') probes += 1;
    losses.note(`f-${index}/1`);
    instances[index]?.stop.abort();
  }
  expect(probes).toBe(0);
});

test('no quick probe holds the part to blame behind a sound one, and none of those that lack it waits', async () => {
  const { clock, instances, crash } = await createBlocked();
  // An endpoint that died of another cause under a request without the bad part.
  crash(0, 'd/1', ['first']);
  await clock.advance(2 * PROPAGATION_MS);
  expect(instances[1]?.judge(['bad'])).toBe('suspected');
  await clock.advance(10_000);
  expect(await instances[1]?.admit(['first', 'bad'])).toMatchObject({ kind: 'blocked' });
  expect(await instances[1]?.admit(['first', 'other'])).toMatchObject({ kind: 'probe' });
});

test('a request with a hidden part in as many crashes as the one that it lacks is no quick probe', async () => {
  const { clock, instances, crash } = createStand(2);
  await clock.advance(PROPAGATION_MS);
  ['a/1', 'b/1'].forEach((name) => crash(0, name, ['first', 'second', 'bad']));
  crash(0, 'c/1', ['first', 'second']);
  crash(0, 'd/1', ['first', 'bad']);
  await clock.advance(10_000);
  expect(await instances[1]?.admit(['first', 'bad'])).toMatchObject({ kind: 'blocked' });
  expect(await instances[1]?.admit(['first', 'second'])).toMatchObject({ kind: 'blocked' });
  expect(await instances[1]?.admit(['first', 'third'])).toMatchObject({ kind: 'probe' });
});

test.each([
  [['c/1'], 'probe'],
  [['c/1', 'd/1'], 'probe'],
  [['c/1', 'd/1', 'e/1'], 'blocked'],
])(
  'a sound part beside a bad one under two crashes, and under further deaths %j, is: %s',
  async (others, kind) => {
    const { clock, instances, crash } = createStand(2);
    await clock.advance(PROPAGATION_MS);
    ['a/1', 'b/1'].forEach((name) => crash(0, name, ['first', 'bad']));
    others.forEach((name) => crash(0, name, ['first']));
    await clock.advance(5000);
    expect(await instances[1]?.admit(['first', 'bad'])).toMatchObject({ kind: 'blocked' });
    expect(await instances[1]?.admit(['first', 'other'])).toMatchObject({ kind });
  },
);

test('a request that crashed two endpoints by being sent again makes no quick probe of the part in it', async () => {
  const { clock, instances, crash } = createStand(2);
  await clock.advance(PROPAGATION_MS);
  ['a/1', 'b/1'].forEach((name) => crash(0, name, ['bad', 'request:1']));
  crash(0, 'c/1', ['bad', 'request:2']);
  await clock.advance(10_000);
  expect(await instances[1]?.admit(['bad', 'request:3'])).toMatchObject({ kind: 'blocked' });
});

test('a probe of a block that has ended is not given back to a later block of the same part', async () => {
  const { clock, instances, crash } = await createBlocked();
  expect(await instances[1]?.admit(['first'])).toMatchObject({ kind: 'probe' });
  instances[0]?.noteAnswer(['first'], 'z/1');
  await clock.advance(1.5 * PROPAGATION_MS);
  expect(instances[2]?.judge(['first'])).toBe('none');
  instances[0]?.stop.abort();
  ['d/1', 'e/1', 'f/1'].forEach((incarnation) => crash(2, incarnation, ['first', 'worse']));
  await clock.advance(1.5 * PROPAGATION_MS);
  expect(await instances[2]?.admit(['first'])).toMatchObject({ kind: 'probe' });
  instances[1]?.giveBack(['first']);
  await clock.advance(1.5 * PROPAGATION_MS);
  // The second quick probe of the later block is due 2 s after the first one.
  expect(await instances[2]?.admit(['first'])).toMatchObject({ kind: 'blocked' });
});

// The second instance has taken a probe, waited, and asked again for it.
async function renewProbe(wait: Milliseconds) {
  const stand = await createBlocked();
  const { clock, instances } = stand;
  expect(await instances[1]?.admit(['first'])).toMatchObject({ kind: 'probe' });
  await clock.advance(wait);
  expect(await instances[1]?.renewProbe(['first'])).toBe(true);
  await clock.advance(PROPAGATION_MS);
  return stand;
}

test('a probe that has waited holds off the next one from the time that it was asked for again', async () => {
  const { clock, instances } = await renewProbe(1800);
  await clock.advance(500);
  expect(await instances[2]?.admit(['first'])).toMatchObject({ kind: 'blocked' });
  await clock.advance(PROPAGATION_MS);
  expect(await instances[2]?.admit(['first'])).toMatchObject({ kind: 'probe' });
});

test('a probe that has waited is given back once if its instance ends and no endpoint has died', async () => {
  const { clock, instances } = await renewProbe(4000);
  instances[1]?.stop.abort();
  await clock.advance(NEXT_PROBE_MS);
  const probes: boolean[] = [];
  for (let index = 0; index < 3; index += 1) {
    probes.push((await instances[2]?.admit(['first']))?.kind === 'probe');
    await clock.advance(3 * PROPAGATION_MS);
  }
  expect(probes).toEqual([true, true, false]);
});

test('a probe that has waited counts if an endpoint has gone within the time after it was sent', async () => {
  const { clock, losses, instances } = await renewProbe(4000);
  instances[1]?.stop.abort();
  await clock.advance(4000);
  losses.note('d/1');
  await clock.advance(NEXT_PROBE_MS);
  expect(await instances[2]?.admit(['first'])).toMatchObject({ kind: 'probe' });
  await clock.advance(3 * PROPAGATION_MS);
  expect(await instances[2]?.admit(['first'])).toMatchObject({ kind: 'blocked' });
});

test('a probe that others have given back, or under which an endpoint has crashed, is not sent any more', async () => {
  const { clock, instances, crash } = await createBlocked();
  expect(await instances[1]?.admit(['first'])).toMatchObject({ kind: 'probe' });
  await clock.advance(8 * PROPAGATION_MS);
  expect(await instances[1]?.renewProbe(['first'])).toBe(false);
  expect(await instances[1]?.admit(['first'])).toMatchObject({ kind: 'probe' });
  crash(2, 'd/1', ['first', 'bad']);
  await clock.advance(PROPAGATION_MS);
  expect(await instances[1]?.renewProbe(['first'])).toBe(false);
});

// The store's answer to the second instance comes after the feed has told what the others did meanwhile.
async function takeLate(whileWaiting: (stand: ReturnType<typeof createStand>) => void) {
  const stand = await createBlocked();
  const { clock, instances } = stand;
  instances[1]!.link.answerDelay = 2 * PROPAGATION_MS;
  const admitted = instances[1]!.admit(['first']);
  await clock.advance(100);
  whileWaiting(stand);
  await clock.advance(2 * PROPAGATION_MS);
  expect(await admitted).toMatchObject({ kind: 'probe' });
  instances[1]!.link.answerDelay = 0;
  return stand;
}

test('a probe under which an endpoint has crashed before the store answered is not sent any more', async () => {
  const { instances } = await takeLate(({ crash }) => crash(2, 'd/1', ['first', 'bad']));
  expect(instances[1]?.judge(['first'])).toBe('blocked');
  expect(await instances[1]?.renewProbe(['first'])).toBe(false);
});

test('a row that was removed before the store answered that it is written is not known any more', async () => {
  const { instances } = await takeLate(({ instances: [first] }) =>
    first?.noteAnswer(['first'], 'z/1'),
  );
  expect(instances.map(({ judge }) => judge(['first']))).toEqual(['none', 'none', 'none']);
});

test('a request that was to be a probe and has waited too long for a slot is not sent', async () => {
  const clock = createManualClock();
  const suspects = { judge: () => 'none' };
  const host = { clock, suspects, findService: () => undefined } as unknown as ForwardHost<unknown>;
  const request = { service: 'llm', prefix: [] } as unknown as ForwardRequest<unknown>;
  const run = createRun(host, request, {} as Caller);
  run.probedSuspects = ['first'];
  run.probesUntil = 1000;
  expect(isWithheld(run)).toBe(false);
  await clock.advance(1001);
  expect(isWithheld(run)).toBe(true);
});
