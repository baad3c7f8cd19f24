import { callHttp } from '@pomeloroad/core';
import type { Link } from './faultProxy';

/** Longest wait for the answer to a control call. */
export const CONTROL_TIMEOUT_MS = 15_000;

/** Sends a PUT request to a control path and resolves to the parsed answer; rejects on failure. */
export type ControlClient = (path: string, body: unknown) => Promise<unknown>;

/** Creates a client of the control interface at the URL. */
export function createControlClient(url: string): ControlClient {
  return async (path, body) => {
    const text = JSON.stringify(body);
    const call = { method: 'PUT', url: `${url}${path}`, body: text, timeout: CONTROL_TIMEOUT_MS };
    const answer = await callHttp(call);
    return JSON.parse(answer.unwrap().body.toString()) as unknown;
  };
}

/** Opens a link of the proxy to a target and returns it. */
export async function openLink(
  control: ControlClient,
  group: string,
  target: string,
): Promise<Link> {
  const link = (await control('/links', { group })) as Link;
  await control('/target', { link: link.id, target });
  return link;
}
