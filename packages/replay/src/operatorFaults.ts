import { callHttp } from '@pomeloroad/core';
import type { FaultContext } from './faultContext';
import { pickRunningInstance } from './instanceFaults';
import { applyWeightThrough, drainEndpoint, topUp } from './operatorActions';
import { pause } from './pause';

const CONFLICT_COUNT = 4;
const CONFLICT_INTERVAL_MS = 2500;
const TOP_UP_TOKENS = 5000;
const HTTP_TIMEOUT_MS = 5000;

/** Tops all budgets up in the middle of a partition. */
export async function topUpDuringPartition({ testbed, start, partition: duration }: FaultContext) {
  await pause(start + duration / 2);
  const budgets = testbed.deployment.accounts.flatMap((client) =>
    client.budgets.map((budget) => `${client.name}/${budget.name}`),
  );
  for (const budget of budgets) await topUp(testbed, budget, TOP_UP_TOKENS, 'partition');
}

/** Applies two configurations at the same moment, again and again. */
export async function applyInConflict({ testbed, actionLog, start, random }: FaultContext) {
  await pause(start);
  for (let round = 0; round < CONFLICT_COUNT; round += 1) {
    const first = pickRunningInstance(testbed, random);
    const second = pickRunningInstance(testbed, random);
    await Promise.all([
      applyWeightThrough(testbed, actionLog, first, 10 + round),
      applyWeightThrough(testbed, actionLog, second, 20 + round),
    ]);
    await pause(CONFLICT_INTERVAL_MS);
  }
}

/**
 * One engine reports itself as leaving, one is leaving in the membership list, and operators drain
 * one.
 */
export async function withdrawEndpoints({
  testbed,
  actionLog,
  start,
  membershipLeaveAt,
  random,
}: FaultContext) {
  const engines = testbed.endpoints.filter((endpoint) => endpoint.kind === 'engine');
  const first = random.integer(0, engines.length - 1);
  const [selfAnnounced, listed, drained] = [0, 2, 4].map(
    (offset) => engines[(first + offset) % engines.length],
  );
  await pause(start);
  if (selfAnnounced) {
    await sendPut(`${selfAnnounced.url}/standin/state`, 'leaving');
    actionLog.leaving.push({ endpoint: selfAnnounced.name, at: new Date() });
  }
  if (drained) await drainEndpoint(testbed, actionLog, drained.name);
  await pause(membershipLeaveAt - start);
  if (listed) {
    const { name, site, address } = listed;
    const member = { name, role: 'endpoint', dataCentre: site, address, incarnation: '1' };
    const body = JSON.stringify({ ...member, state: 'leaving' });
    const path = `${testbed.platform.membership}/v1/members/${name}`;
    await sendPut(path, body);
    actionLog.leaving.push({ endpoint: name, at: new Date() });
    keepAnnouncing(path, body);
  }
}

// Refreshes the entry every second, because the membership list drops members that are not renewed.
function keepAnnouncing(path: string, body: string): void {
  const timer = setInterval(() => sendPut(path, body), 1000);
  timer.unref();
}

async function sendPut(url: string, body: string): Promise<void> {
  await callHttp({ method: 'PUT', url, body, timeout: HTTP_TIMEOUT_MS });
}
