import { callHttp } from '@pomeloroad/core';
import type { Milliseconds } from '@pomeloroad/core';

const TIMEOUT_MS: Milliseconds = 2000;

/** Sends a control call to the stand-in at the address; rejects if that fails or has no answer in 2 s. */
export async function callStandIn(address: unknown, path: string, body: object): Promise<void> {
  const url = `http://${String(address)}${path}`;
  const text = JSON.stringify(body);
  const answer = await callHttp({ method: 'PUT', url, body: text, timeout: TIMEOUT_MS });
  answer.unwrap();
}
