import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Configuration } from '@pomeloroad/configuration';
import type { IssuedKey } from '@pomeloroad/requests';
import type { Delivery } from './answerWriter';
import type { CallerOptions } from './callerHeaders';
import type { Credentials } from './credentials';
import type { RunRequest, Work } from './runRequest';
import { isIdempotentCall } from './serviceRequest';

/** A request of an authenticated caller, and the response to it. */
export interface Exchange {
  request: IncomingMessage;
  response: ServerResponse;
  id: string;
  configuration: Configuration;
  credentials: Credentials;
}

/** What a caller has asked for. */
export interface CallerRequest {
  options: CallerOptions;
  work: Work;
  /** Hash of the request's content. */
  digest: string;
  /** How the answer is delivered. */
  form: Delivery['form'];
}

/** Returns the request to be run for what the caller has asked for, charged to the budget. */
export function createRunRequest(
  { id, credentials }: Exchange,
  { options, work, digest, form }: CallerRequest,
  budget: string,
  issued: IssuedKey | undefined,
): RunRequest {
  const account = credentials.account.name;
  return {
    id,
    account,
    budget: `${account}/${budget}`,
    name: options.key ? { account, key: options.key } : undefined,
    digest,
    isIdempotent: options.isIdempotent && isIdempotentWork(work),
    isProvisional: false,
    isContinuation: form === 'events' && options.from > 0,
    needsClaim: !options.isIdempotent && !issued,
    priority: options.priority,
    patience: options.patience,
    work,
  };
}

function isIdempotentWork(work: Work): boolean {
  return work.kind === 'chat' || isIdempotentCall(work.call);
}
