import { createStand } from './suspectsStand';

const PROPAGATION_MS = 1000;
const FIRST_PROBE_MS = 61_000;
const SECOND_PROBE_MS = 601_000;
const RETENTION_MS = 3_700_000;

test('crashes that several instances see one each block a part at all of them', async () => {
  const { clock, instances, crash, judgeAll } = createStand(4);
  await clock.advance(PROPAGATION_MS);
  crash(0, 'a/1', ['bad', 'x']);
  crash(1, 'b/1', ['bad', 'y']);
  await clock.advance(PROPAGATION_MS);
  expect(judgeAll('bad')).toEqual(Array(4).fill('suspected'));
  crash(2, 'c/1', ['bad', 'z']);
  await clock.advance(PROPAGATION_MS);
  expect(judgeAll('bad')).toEqual(Array(4).fill('blocked'));
  expect(judgeAll('x')).toEqual(Array(4).fill('weak'));
  expect(await instances[3]?.admit(['x', 'bad'])).toEqual({ kind: 'blocked', name: 'bad' });
  expect(instances[3]?.lines).toMatchObject([
    { code: 3004 },
    { code: 5013, name: 'bad', crashes: 'a/1, b/1, c/1' },
  ]);
});

test('one crash that several instances see counts once', async () => {
  const { clock, crash, judgeAll } = createStand(4);
  await clock.advance(PROPAGATION_MS);
  [0, 1, 2, 3].forEach((index) => crash(index, 'a/1', ['bad']));
  await clock.advance(PROPAGATION_MS);
  expect(judgeAll('bad')).toEqual(Array(4).fill('weak'));
});

test('a part that endpoints answer is not blocked by crashes beside it', async () => {
  const { clock, instances, crash, judgeAll } = createStand(3);
  instances.forEach(({ noteAnswer }) => noteAnswer(['first'], 'e/1'));
  await clock.advance(1100);
  ['a/1', 'b/1', 'c/1', 'd/1'].forEach((incarnation, index) =>
    crash(index % 3, incarnation, ['first', 'bad']),
  );
  await clock.advance(PROPAGATION_MS);
  expect(judgeAll('first')).toEqual(Array(3).fill('none'));
  expect(judgeAll('bad')).toEqual(Array(3).fill('blocked'));
});

test('an answer at one instance clears a part that the others had blocked', async () => {
  const { clock, instances, crash, judgeAll } = createStand(3);
  await clock.advance(PROPAGATION_MS);
  ['a/1', 'b/1', 'c/1'].forEach((incarnation) => crash(0, incarnation, ['sound']));
  await clock.advance(PROPAGATION_MS);
  expect(judgeAll('sound')).toEqual(Array(3).fill('blocked'));
  instances[2]?.noteAnswer(['sound'], 'e/1');
  await clock.advance(2 * PROPAGATION_MS);
  expect(judgeAll('sound')).toEqual(Array(3).fill('none'));
});

test('an answer whose endpoint dies just after it clears nothing', async () => {
  const { clock, instances, crash, judgeAll } = createStand(1);
  await clock.advance(PROPAGATION_MS);
  ['a/1', 'b/1', 'c/1'].forEach((incarnation) => {
    instances[0]?.noteAnswer(['bad'], incarnation);
    crash(0, incarnation, ['bad']);
  });
  await clock.advance(5000);
  expect(judgeAll('bad')).toEqual(['blocked']);
});

test('a blocked part is tried by one request of the fleet at a time, twice at most', async () => {
  const { clock, instances, crash } = createStand(8);
  await clock.advance(PROPAGATION_MS);
  ['a/1', 'b/1', 'c/1'].forEach((incarnation) => crash(0, incarnation, ['bad']));
  const countProbes = async () => {
    const admitting = Promise.all(instances.map(({ admit }) => admit(['bad'])));
    await clock.advance(PROPAGATION_MS);
    const admitted = await admitting;
    return admitted.filter(({ kind }) => kind === 'probe').length;
  };
  await clock.advance(PROPAGATION_MS);
  expect(await countProbes()).toBe(0);
  await clock.advance(FIRST_PROBE_MS);
  expect(await countProbes()).toBe(1);
  crash(3, 'd/1', ['bad']);
  await clock.advance(FIRST_PROBE_MS);
  expect(await countProbes()).toBe(0);
  await clock.advance(SECOND_PROBE_MS);
  expect(await countProbes()).toBe(1);
  crash(3, 'e/1', ['bad']);
  await clock.advance(SECOND_PROBE_MS);
  expect(await countProbes()).toBe(0);
});

test('a request that tries a blocked part and is answered ends the block everywhere', async () => {
  const { clock, instances, crash, judgeAll } = createStand(3);
  await clock.advance(PROPAGATION_MS);
  ['a/1', 'b/1', 'c/1'].forEach((incarnation) => crash(0, incarnation, ['cured']));
  await clock.advance(FIRST_PROBE_MS);
  expect(await instances[1]?.admit(['cured'])).toEqual({ kind: 'probe', names: ['cured'] });
  instances[1]?.noteAnswer(['cured'], 'e/1');
  await clock.advance(2 * PROPAGATION_MS);
  expect(judgeAll('cured')).toEqual(Array(3).fill('none'));
});

test('a sound part that was blocked beside the bad one is tried soon, without the bad one', async () => {
  const { clock, instances, judgeAll } = createStand(3);
  await clock.advance(PROPAGATION_MS);
  const names = new Map([
    ['first', 9],
    ['second', 4],
    ['bad', 1],
  ]);
  ['a/1', 'b/1', 'c/1'].forEach((incarnation) => instances[0]?.noteCrash({ incarnation, names }));
  await clock.advance(PROPAGATION_MS);
  expect(judgeAll('first')).toEqual(Array(3).fill('blocked'));
  await clock.advance(PROPAGATION_MS);
  const [, second, third] = instances;
  expect(await third?.admit(['first', 'second', 'bad'])).toMatchObject({ kind: 'blocked' });
  expect(await third?.admit(['bad'])).toMatchObject({ kind: 'blocked' });
  expect(await second?.admit(['first', 'second'])).toMatchObject({ kind: 'probe' });
  expect(await third?.admit(['first'])).toMatchObject({ kind: 'blocked' });
  second?.noteAnswer(['first', 'second'], 'e/1');
  await clock.advance(2 * PROPAGATION_MS);
  expect(judgeAll('first')).toEqual(Array(3).fill('none'));
  expect(judgeAll('second')).toEqual(Array(3).fill('none'));
  expect(await third?.admit(['bad'])).toMatchObject({ kind: 'blocked' });
});

test('sound parts that stand in each crash beside the bad one are tried soon, together', async () => {
  const { clock, instances, crash, judgeAll } = createStand(3);
  await clock.advance(PROPAGATION_MS);
  ['a/1', 'b/1', 'c/1'].forEach((incarnation) => crash(0, incarnation, ['first', 'second', 'bad']));
  await clock.advance(2 * PROPAGATION_MS);
  const [, second, third] = instances;
  expect(await third?.admit(['first', 'second', 'bad'])).toMatchObject({ kind: 'blocked' });
  expect(await second?.admit(['first', 'second'])).toMatchObject({ kind: 'probe' });
  second?.noteAnswer(['first', 'second'], 'e/1');
  await clock.advance(2 * PROPAGATION_MS);
  expect(judgeAll('first')).toEqual(Array(3).fill('none'));
  expect(judgeAll('second')).toEqual(Array(3).fill('none'));
  expect(judgeAll('bad')).toEqual(Array(3).fill('blocked'));
});

test('an answer just before crashes elsewhere become known clears its part', async () => {
  const { clock, instances, crash, judgeAll } = createStand(3);
  await clock.advance(PROPAGATION_MS);
  instances[2]?.noteAnswer(['sound'], 'e/1');
  ['a/1', 'b/1', 'c/1'].forEach((incarnation) => crash(0, incarnation, ['sound']));
  await clock.advance(PROPAGATION_MS / 2);
  expect(judgeAll('sound')).toEqual(Array(3).fill('blocked'));
  await clock.advance(2 * PROPAGATION_MS);
  expect(judgeAll('sound')).toEqual(Array(3).fill('none'));
});

test('several sound parts that endpoints died under at once are tried after a minute', async () => {
  const { clock, instances, crash } = createStand(2);
  await clock.advance(PROPAGATION_MS);
  ['a/1', 'b/1', 'c/1'].forEach((incarnation) => crash(0, incarnation, ['first', 'second']));
  await clock.advance(FIRST_PROBE_MS);
  expect(await instances[1]?.admit(['first', 'second'])).toMatchObject({ kind: 'probe' });
});

test('a sound part with a crash more than the bad one is tried soon', async () => {
  const { clock, instances, crash, judgeAll } = createStand(2);
  await clock.advance(PROPAGATION_MS);
  ['a/1', 'b/1', 'c/1'].forEach((incarnation) => crash(0, incarnation, ['first', 'bad']));
  crash(0, 'killed/1', ['first']);
  await clock.advance(4 * PROPAGATION_MS);
  expect(await instances[1]?.admit(['first'])).toMatchObject({ kind: 'probe' });
  instances[1]?.noteAnswer(['first'], 'e/1');
  await clock.advance(2 * PROPAGATION_MS);
  expect(judgeAll('first')).toEqual(['none', 'none']);
  expect(judgeAll('bad')).toEqual(['blocked', 'blocked']);
});

test('a part that stands in some of the crashes of another one is not blocked', async () => {
  const { clock, crash, judgeAll } = createStand(2);
  await clock.advance(PROPAGATION_MS);
  ['a/1', 'b/1', 'c/1'].forEach((incarnation) => crash(0, incarnation, ['bad', 'often']));
  await clock.advance(PROPAGATION_MS);
  expect(judgeAll('often')).toEqual(['blocked', 'blocked']);
  crash(1, 'd/1', ['bad']);
  await clock.advance(PROPAGATION_MS);
  expect(judgeAll('often')).toEqual(['suspected', 'suspected']);
  expect(judgeAll('bad')).toEqual(['blocked', 'blocked']);
});

test('a probe that reached no endpoint is given back', async () => {
  const { clock, instances, crash } = createStand(2);
  await clock.advance(PROPAGATION_MS);
  ['a/1', 'b/1', 'c/1'].forEach((incarnation) => crash(0, incarnation, ['bad']));
  await clock.advance(FIRST_PROBE_MS);
  expect(await instances[1]?.admit(['bad'])).toMatchObject({ kind: 'probe' });
  instances[1]?.giveBack(['bad']);
  await clock.advance(FIRST_PROBE_MS);
  expect(await instances[0]?.admit(['bad'])).toMatchObject({ kind: 'probe' });
});

test('a first part that is to blame is not tried again and again beside a rarer one', async () => {
  const { clock, instances, judgeAll } = createStand(3);
  await clock.advance(PROPAGATION_MS);
  const crash = (incarnation: string) =>
    instances[0]?.noteCrash({
      incarnation,
      names: new Map([
        ['first', 9],
        ['rare', 1],
      ]),
    });
  ['a/1', 'b/1', 'c/1'].forEach(crash);
  let probes = 0;
  for (let second = 0; second < 50; second += 1) {
    await clock.advance(1000);
    const admitted = await instances[second % 3]?.admit(['first', `${second}`]);
    if (admitted?.kind === 'probe') {
      probes += 1;
      crash(`${second}/1`);
    }
  }
  expect(probes).toBe(2);
  expect(judgeAll('first')).toEqual(Array(3).fill('blocked'));
});

test('a block lasts as long as requests for its part come, and then an hour', async () => {
  const { clock, memory, instances, crash, judgeAll } = createStand(2);
  await clock.advance(PROPAGATION_MS);
  ['a/1', 'b/1', 'c/1'].forEach((incarnation) => crash(0, incarnation, ['bad']));
  await clock.advance(RETENTION_MS / 2);
  await instances[1]?.admit(['bad']);
  await clock.advance(RETENTION_MS / 2);
  expect(judgeAll('bad')).toEqual(['blocked', 'blocked']);
  await clock.advance(RETENTION_MS / 2);
  const view = await memory.list('shared', 'suspects');
  expect(view.ok && view.val.rows).toEqual([]);
  expect(judgeAll('bad')).toEqual(['none', 'none']);
}, 30_000);

test('an instance without the store blocks a part by the crashes that it sees', async () => {
  const { clock, instances, crash, judgeAll } = createStand(2);
  await clock.advance(PROPAGATION_MS);
  instances[0]!.link.isCut = true;
  ['a/1', 'b/1', 'c/1'].forEach((incarnation) => crash(0, incarnation, ['bad']));
  await clock.advance(PROPAGATION_MS);
  expect(judgeAll('bad')).toEqual(['blocked', 'none']);
  instances[0]!.link.isCut = false;
  await clock.advance(PROPAGATION_MS);
  expect(judgeAll('bad')).toEqual(['blocked', 'blocked']);
});

test('an instance that starts sends nothing with shared parts until it knows the suspects', async () => {
  const { clock, crash, start } = createStand(1);
  await clock.advance(PROPAGATION_MS);
  ['a/1', 'b/1', 'c/1'].forEach((incarnation) => crash(0, incarnation, ['bad']));
  await clock.advance(PROPAGATION_MS);
  const late = start(9);
  expect(await late.admit(['any'])).toEqual({ kind: 'unknown' });
  expect(await late.admit([])).toEqual({ kind: 'allowed' });
  await clock.advance(PROPAGATION_MS);
  expect(await late.admit(['any'])).toEqual({ kind: 'allowed' });
  expect(await late.admit(['bad'])).toEqual({ kind: 'blocked', name: 'bad' });
});

test('rows that the store lost are written again', async () => {
  const { clock, memory, crash, start } = createStand(3);
  await clock.advance(PROPAGATION_MS);
  const comeBack = memory.copy();
  ['a/1', 'b/1', 'c/1'].forEach((incarnation) => crash(0, incarnation, ['bad']));
  await clock.advance(PROPAGATION_MS);
  comeBack();
  await clock.advance(2 * PROPAGATION_MS);
  const late = start(9);
  await clock.advance(PROPAGATION_MS);
  expect(await late.admit(['bad'])).toEqual({ kind: 'blocked', name: 'bad' });
});

test('a row that can not be read is written anew', async () => {
  const { clock, memory, crash, judgeAll } = createStand(2);
  const key = { table: 'shared', partition: 'suspects', key: 'bad' };
  await memory.transact({ checks: [], puts: [{ ...key, value: '{' }], removals: [] });
  await clock.advance(PROPAGATION_MS);
  ['a/1', 'b/1', 'c/1'].forEach((incarnation) => crash(0, incarnation, ['bad']));
  await clock.advance(PROPAGATION_MS);
  expect(judgeAll('bad')).toEqual(['blocked', 'blocked']);
});

test('crashes of a whole data centre at once cost few transactions', async () => {
  const { clock, calls, instances, crash } = createStand(30);
  await clock.advance(PROPAGATION_MS);
  instances.forEach((_, index) =>
    Array.from({ length: 10 }, (__, endpoint) =>
      crash(index, `e-${endpoint}/1`, ['first', `session-${index}-${endpoint}`]),
    ),
  );
  await clock.advance(5000);
  expect(calls.transactions).toBeLessThan(30 * 6);
});

test('a request that always comes again and is answered is not blocked when all endpoints die', async () => {
  const { clock, instances, crash, judgeAll } = createStand(3);
  await clock.advance(PROPAGATION_MS);
  instances[0]?.noteAnswer(['request:ping'], 'a/1');
  await clock.advance(2 * PROPAGATION_MS);
  ['a/1', 'b/1', 'c/1'].forEach((incarnation) => crash(1, incarnation, ['request:ping']));
  await clock.advance(2 * PROPAGATION_MS);
  expect(judgeAll('request:ping')).toEqual(Array(3).fill('none'));
});

test('many different requests that are answered do not displace a sound part of prompts', async () => {
  const { clock, instances, crash, judgeAll } = createStand(1);
  await clock.advance(PROPAGATION_MS);
  instances[0]?.noteAnswer(['first'], 'a/1');
  const names = Array.from({ length: 5000 }, (_, index) => `request:${index}`);
  instances[0]?.noteAnswer(names, 'a/1');
  await clock.advance(2 * PROPAGATION_MS);
  ['b/1', 'c/1', 'd/1'].forEach((incarnation) => crash(0, incarnation, ['first']));
  await clock.advance(PROPAGATION_MS);
  expect(judgeAll('first')).toEqual(['none']);
});

test('requests that one crash broke off are forgotten after ten minutes, a blocked one is kept', async () => {
  const { clock, memory, crash } = createStand(1);
  await clock.advance(PROPAGATION_MS);
  crash(0, 'a/1', ['request:once', 'request:bad']);
  crash(0, 'b/1', ['request:bad']);
  crash(0, 'c/1', ['request:bad']);
  await clock.advance(700_000);
  const listed = await memory.list('shared', 'suspects');
  expect(listed.ok && listed.val.rows.map(({ key }) => key)).toEqual(['request:bad']);
});
