import { checkDefined } from '@pomeloroad/core';
import type { Notes } from './evidence';
import type { Stage, StageInstance } from './stage';

/** Any instance that is ready, for operators. */
export function pickInstance(stage: Stage): StageInstance {
  const ready = stage.instances.find((instance) => instance.isReady);
  return checkDefined(ready ?? stage.instances[0], 'there is no instance');
}

/** Applies a file that differs from the present one in a weight. */
export async function applyWeight(stage: Stage, notes: Notes, weight: number): Promise<void> {
  await applyThrough(stage, notes, pickInstance(stage), weight);
}

/** Applies such a file through a certain instance. */
export async function applyThrough(
  stage: Stage,
  notes: Notes,
  instance: StageInstance,
  weight: number,
): Promise<void> {
  const file = stage.createFile(weight);
  const answer = await stage.callOperator(instance, 'PUT', '/v1/configuration', file);
  if (answer?.status !== 200) return;
  const { version } = answer.body as { version: number };
  notes.applied.push({ version, at: new Date() });
}

/** Tops a budget up. */
export async function topUp(
  stage: Stage,
  budget: string,
  tokens: number,
  id: string,
): Promise<void> {
  const body = JSON.stringify({ budget, tokens, id });
  await stage.callOperator(pickInstance(stage), 'POST', '/v1/topups', body);
}

/** Tells an endpoint to leave. */
export async function drainEndpoint(stage: Stage, notes: Notes, endpoint: string): Promise<void> {
  const body = JSON.stringify({ endpoint, isDraining: true });
  const answer = await stage.callOperator(pickInstance(stage), 'POST', '/v1/drains', body);
  if (answer?.status === 200) notes.leaving.push({ endpoint, at: new Date() });
}
