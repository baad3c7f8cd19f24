import { createRandom } from '@pomeloroad/core';
import type { Milliseconds, Random } from '@pomeloroad/core';
import { BUDGET_TABLE } from '../src';
import { findTotal } from '../src/escrowRows';
import { ACCOUNT, createFleet } from './escrowHarness';
import type { InstanceRun } from './escrowHarness';

const INSTANCES = 4;
const SEEDS = 20;
const LIMIT = 100_000;
const REQUEST_TOKENS = 100;
const MAX_WAIT_MS = 700;
/** Part of an instance's steps in which it gets a request. */
const REQUEST_RATIO = 0.25;
const STEP_MS: Milliseconds = 100;
const FEED_STEPS = 3;
const REBALANCE_STEPS = 4;
const DOWN_MS: Milliseconds = 500;
/** Time after which all that can be put back is. */
const SETTLED_MS: Milliseconds = 14_000;
/** The aim of issue 47. */
const STRANDED_MAX_RATIO = 0.1;

/** When a process is killed, and when the next one starts on its machine, against a rewind. */
type Loss = 'none' | 'restarted before' | 'killed before, restarted after' | 'restarted after';

async function setUp(random: Random) {
  const { clock, members, store, start, deliverChanges } = createFleet(INSTANCES);
  const usedByDead: number[] = [];
  const used = new Map<InstanceRun, number>();
  let steps = 0;

  const limit = (run: InstanceRun) => run.escrow.setLimits(new Map([[ACCOUNT, LIMIT]]));

  async function ask(run: InstanceRun): Promise<void> {
    if (random.fraction() >= REQUEST_RATIO) return;
    const reserved = await run.escrow.reserve(ACCOUNT, REQUEST_TOKENS, MAX_WAIT_MS);
    if (reserved.ok && run.isAlive) used.set(run, (used.get(run) ?? 0) + REQUEST_TOKENS);
  }

  async function pass(time: Milliseconds): Promise<void> {
    for (let passed = 0; passed < time; passed += STEP_MS) {
      const living = members.filter((run) => run.isAlive);
      living.forEach(ask);
      if (steps % FEED_STEPS === 0) await deliverChanges();
      if (steps % REBALANCE_STEPS === 0) living.forEach(({ escrow }) => escrow.rebalance(0));
      await clock.advance(STEP_MS);
      steps += 1;
    }
  }

  function kill(): void {
    const run = members[0]!;
    run.kill();
    usedByDead.push(used.get(run) ?? 0);
  }

  function restart(): void {
    members[0] = start(members[0]!.instance);
    limit(members[0]);
  }

  /** Tokens that count as granted, but are neither spent nor held by a living instance. */
  async function countStranded(): Promise<number> {
    const { rows, era } = (await store.memory.list(BUDGET_TABLE, ACCOUNT)).unwrap();
    const held = members.map(({ escrow }) => escrow.describe()[0]!.held);
    const accounted = [...held, ...usedByDead].reduce((sum, next) => sum + next, 0);
    return findTotal(rows, era)!.allocated - accounted;
  }

  members.forEach(limit);
  await clock.advance(0);
  return { members, store, pass, kill, restart, countStranded };
}

async function play(seed: number, loss: Loss): Promise<number> {
  const random = createRandom(seed);
  const { members, store, pass, kill, restart, countStranded } = await setUp(random);
  await pass(random.integer(4000, 6000));
  const rewind = store.memory.copy();
  if (loss === 'restarted before') {
    await pass(DOWN_MS);
    kill();
    await pass(DOWN_MS);
    restart();
  }
  await pass(random.integer(1000, 5000));
  if (loss === 'killed before, restarted after') {
    kill();
    await pass(DOWN_MS);
  }
  rewind();
  await pass(DOWN_MS);
  if (loss === 'restarted after') {
    kill();
    await pass(DOWN_MS);
  }
  if (!members[0]!.isAlive) restart();
  await pass(SETTLED_MS);
  const stranded = await countStranded();
  members.forEach((run) => run.kill());
  return stranded;
}

// Guards against tokens that nobody can spend any more after the store came back from an older copy.
test.each<Loss>(['none', 'restarted before', 'killed before, restarted after', 'restarted after'])(
  'a rewind strands a tenth of a budget at most: %s',
  async (loss) => {
    const stranded: number[] = [];
    for (let seed = 1; seed <= SEEDS; seed += 1) stranded.push(await play(seed, loss));
    // What was spent is counted, so that nothing may be missing either.
    expect(Math.min(...stranded)).toBeGreaterThanOrEqual(0);
    expect(Math.max(...stranded)).toBeLessThanOrEqual(LIMIT * STRANDED_MAX_RATIO);
  },
);
