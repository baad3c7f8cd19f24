import { ACCOUNT, createFleet } from './escrowHarness';
import type { InstanceRun } from './escrowHarness';

export const LIMIT = 1000;
export const MAX_WAIT_MS = 500;
/** Rounds after which a budget opens without the missing instances: the limits are written again. */
const OPENING_ROUNDS = 14;

/** Creates a fleet of instances with one budget, whose store may be rewound. */
export async function setUp(count: number) {
  const fleet = createFleet(count);
  fleet.members.forEach(({ escrow }) => escrow.setLimits(new Map([[ACCOUNT, LIMIT]])));
  await fleet.clock.advance(0);

  async function reserve({ escrow }: InstanceRun, tokens: number): Promise<string> {
    const reserved = escrow.reserve(ACCOUNT, tokens, MAX_WAIT_MS);
    for (let round = 0; round < 10; round += 1) {
      await fleet.deliverChanges();
      await fleet.clock.advance(60);
    }
    const outcome = await reserved;
    return outcome.ok ? 'ok' : outcome.val.kind;
  }

  /** Starts a process of an instance, as the member of that index. */
  async function join(name: string, index = fleet.members.length): Promise<InstanceRun> {
    const run = fleet.start(name);
    fleet.members[index] = run;
    run.escrow.setLimits(new Map([[ACCOUNT, LIMIT]]));
    await fleet.clock.advance(10);
    return run;
  }

  async function restart(index: number): Promise<InstanceRun> {
    const { kill, instance } = fleet.members[index]!;
    kill();
    return join(instance, index);
  }

  /** Lets time pass in which the feeds deliver changes and the instances rebalance. */
  async function settle(rounds: number): Promise<void> {
    for (let round = 0; round < rounds; round += 1) {
      await fleet.deliverChanges();
      fleet.members.filter((run) => run.isAlive).forEach(({ escrow }) => escrow.rebalance(0));
      await fleet.clock.advance(400);
    }
  }

  /** Lets the first instance count as one that renews its lease no more. */
  function forgetFirst(): void {
    fleet.state.counted.delete(fleet.members[0]!.instance);
  }

  /** The first instance reaches the store again and renews its lease. */
  async function reconnectFirst(): Promise<void> {
    fleet.members[0]!.isCut = false;
    fleet.state.counted.add(fleet.members[0]!.instance);
    await settle(4);
  }

  /** Rewinds the store and lets the budget open without the first instance. */
  async function rewindWithoutFirst(rewind: () => void): Promise<void> {
    rewind();
    await settle(2);
    forgetFirst();
    await settle(OPENING_ROUNDS);
  }

  return {
    ...fleet,
    reserve,
    join,
    restart,
    settle,
    forgetFirst,
    reconnectFirst,
    rewindWithoutFirst,
  };
}

/** Returns what an instance holds and knows of the budget. */
export const describeAccount = ({ escrow }: InstanceRun) => escrow.describe()[0]!;
