import { Err, Ok } from 'ts-results';
import { callHttp } from '@pomeloroad/core';
import type { Outcome } from '@pomeloroad/core';

const TIMEOUT_MS = 30_000;

/** Where the operators' interface is, and how to be let in. */
export interface Target {
  url: string;
  key: string;
  /** PEM certificate of the authority that signed the interface's certificate. */
  authority: string | undefined;
}

/** An answer of the operators' interface. */
export interface OperatorAnswer {
  status: number;
  body: unknown;
}

/** Calls the operators' interface of an instance. */
export async function callOperator(
  target: Target,
  method: string,
  path: string,
  body?: string,
  headers: Record<string, string> = {},
): Promise<Outcome<OperatorAnswer, string>> {
  const answer = await callHttp({
    method,
    url: `${target.url}${path}`,
    headers: { authorization: `Bearer ${target.key}`, ...headers },
    body,
    timeout: TIMEOUT_MS,
    authority: target.authority,
  });
  if (answer.err) return Err(`${target.url} does not answer: ${answer.val.message}`);
  const text = answer.val.body.toString('utf8');
  return Ok({ status: answer.val.status, body: parseBody(text) });
}

function parseBody(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}
