import { Err, Ok } from 'ts-results';
import { callHttp } from '@pomeloroad/core';
import type { Outcome } from '@pomeloroad/core';

const CALL_TIMEOUT_MS = 30_000;

/** Address of an instance's operators' interface and the credentials for it. */
export interface OperatorTarget {
  url: string;
  /** Operator's key, sent as a bearer token. */
  key: string;
  /** PEM certificate of the authority that signed the interface's certificate. */
  authority: string | undefined;
}

/** An answer of the operators' interface; the body is text if it is not JSON. */
export interface OperatorAnswer {
  status: number;
  body: unknown;
}

/**
 * Calls the operators' interface of an instance. An answer of any status is a success; the error is
 * a message for the operator and means that no answer arrived.
 */
export async function callOperatorsInterface(
  target: OperatorTarget,
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
    timeout: CALL_TIMEOUT_MS,
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
