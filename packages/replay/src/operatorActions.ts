import { checkDefined } from '@pomeloroad/core';
import type { ActionLog } from './evidence';
import type { Testbed, TestbedInstance } from './testbed';

/** Returns a ready instance, or the first one if none is ready. */
export function pickReadyInstance(testbed: Testbed): TestbedInstance {
  const ready = testbed.instances.find((instance) => instance.isReady);
  return checkDefined(ready ?? testbed.instances[0], 'the deployment has no instances');
}

/** Applies a configuration with the given weight of the first account through a ready instance. */
export async function applyWeight(
  testbed: Testbed,
  actionLog: ActionLog,
  weight: number,
): Promise<void> {
  await applyWeightThrough(testbed, actionLog, pickReadyInstance(testbed), weight);
}

/**
 * Applies a configuration with the given weight of the first account through an instance, and logs
 * its version if the apply succeeds.
 */
export async function applyWeightThrough(
  testbed: Testbed,
  actionLog: ActionLog,
  instance: TestbedInstance,
  weight: number,
): Promise<void> {
  const file = testbed.renderConfiguration(weight);
  const answer = await testbed.callOperator(instance, 'PUT', '/v1/configuration', file);
  if (answer?.status !== 200) return;
  const { version } = answer.body as { version: number };
  actionLog.applied.push({ version, at: new Date() });
}

/** Tops up a budget; the same `id` again has no further effect. Ignores failures. */
export async function topUp(
  testbed: Testbed,
  budget: string,
  tokens: number,
  id: string,
): Promise<void> {
  const body = JSON.stringify({ budget, tokens, id });
  await testbed.callOperator(pickReadyInstance(testbed), 'POST', '/v1/topups', body);
}

/** Drains an endpoint, and logs it as leaving if the call succeeds. */
export async function drainEndpoint(
  testbed: Testbed,
  actionLog: ActionLog,
  endpoint: string,
): Promise<void> {
  const body = JSON.stringify({ endpoint, isDraining: true });
  const answer = await testbed.callOperator(pickReadyInstance(testbed), 'POST', '/v1/drains', body);
  if (answer?.status === 200) actionLog.leaving.push({ endpoint, at: new Date() });
}
