import { checkDefined } from '@pomeloroad/core';
import type { Random } from '@pomeloroad/core';
import type { FaultContext } from './faultContext';
import { pause } from './pause';
import type { Testbed, TestbedInstance } from './testbed';

const RESTART_DELAY_MS = 2000;
const CRASH_COUNT = 2;
const CRASH_INTERVAL_MS = 6000;
const PAUSE_MS = 12_000;
/** Interval of readiness checks in a rolling restart, and pause between two instances. */
const RESTART_POLL_MS = 300;
const READY_TIMEOUT_MS = 15_000;

// Claims the instance during the action, so that only one fault at a time stops or restarts it.
async function runExclusively(
  instance: TestbedInstance,
  action: (instance: TestbedInstance) => Promise<void>,
): Promise<void> {
  const claimed = instance;
  claimed.isClaimed = true;
  await action(instance);
  claimed.isClaimed = false;
}

/** Kills instances one after the other and restarts each. */
export async function killInstances({ testbed, random, start }: FaultContext) {
  await pause(start);
  for (let crash = 0; crash < CRASH_COUNT; crash += 1) {
    await runExclusively(pickRunningInstance(testbed, random), async (instance) => {
      instance.program.child.kill('SIGKILL');
      await instance.program.exited;
      await pause(RESTART_DELAY_MS);
      await testbed.restart(instance);
    });
    await pause(CRASH_INTERVAL_MS);
  }
}

/** Returns a random instance that runs and that no other fault has claimed. */
export function pickRunningInstance(testbed: Testbed, random: Random): TestbedInstance {
  const running = testbed.instances.filter(
    (instance) => instance.program.isRunning() && !instance.isClaimed,
  );
  return checkDefined(running[random.integer(0, running.length - 1)], 'no instance is running');
}

/** Pauses an instance, so that its leases lapse unnoticed. */
export async function pauseInstance({ testbed, random, start }: FaultContext) {
  await pause(start);
  await runExclusively(pickRunningInstance(testbed, random), async (instance) => {
    const { child } = instance.program;
    child.kill('SIGSTOP');
    await pause(PAUSE_MS);
    child.kill('SIGCONT');
  });
}

/** Drains and restarts all instances in turn. */
export async function restartInstances({ testbed, actionLog, start }: FaultContext) {
  await pause(start);
  for (const instance of testbed.instances) {
    while (instance.isClaimed) await pause(RESTART_POLL_MS);
    await runExclusively(instance, async () => {
      const from = new Date();
      instance.program.child.kill('SIGTERM');
      const code = await instance.program.exited;
      actionLog.shutdowns.push({ instance: instance.name, from, to: new Date(), code });
      await testbed.restart(instance);
      await waitUntilReady(instance);
    });
    await pause(RESTART_POLL_MS);
  }
}

// Like the platform, a rolling restart waits until an instance is ready before the next one.
async function waitUntilReady(instance: TestbedInstance): Promise<void> {
  for (let waited = 0; waited < READY_TIMEOUT_MS; waited += RESTART_POLL_MS) {
    await pause(RESTART_POLL_MS);
    if (instance.isReady) return;
  }
}
