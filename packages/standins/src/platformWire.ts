import { callHttp } from '@pomeloroad/core';
import type { Milliseconds } from '@pomeloroad/core';

/** Table of the store in which each endpoint announces itself. */
export const ENDPOINT_TABLE = 'servers';
/** Table of the store that holds the operator's configuration. */
export const CONFIGURATION_TABLE = 'op';

/** Headers of the platform's protocol that the stand-ins read or send. */
export const WireHeader = {
  requestId: 'x-attempt-id',
  timeLeft: 'x-deadline-ms',
  tokenBounds: 'x-token-usage',
  promptParts: 'x-prefix-hash',
  resumeAfter: 'last-event-id',
  resumes: 'resumes',
  signature: 'x-server-stamp',
  account: 'x-tenant',
  endpoint: 'x-expect-instance',
  notRun: 'x-not-executed',
  backup: 'x-kv-backup',
  goOnFrom: 'kv-from',
  rateLimit: 'server-limit',
  key: 'authorization',
} as const;

const STORE_TIMEOUT_MS: Milliseconds = 2000;

/** Writes a row of the store; resolves to whether the store acknowledged it. */
export async function putRow(
  store: string,
  table: string,
  key: string,
  text: string,
): Promise<boolean> {
  const row = { table, part: '', key, value: Buffer.from(text).toString('base64') };
  return callTransaction(store, { expected_rev: [], put: [row], delete: [] });
}

/** Removes a row of the store; resolves to whether the store acknowledged it. */
export async function removeRow(store: string, table: string, key: string): Promise<boolean> {
  const row = { table, part: '', key };
  return callTransaction(store, { expected_rev: [], put: [], delete: [row] });
}

async function callTransaction(store: string, transaction: object): Promise<boolean> {
  const answer = await callHttp({
    method: 'POST',
    url: `http://${store}/v1/rows-tx`,
    body: JSON.stringify(transaction),
    timeout: STORE_TIMEOUT_MS,
  });
  return answer.ok && answer.val.status === 200;
}
