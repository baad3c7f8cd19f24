import type { Milliseconds, Tokens } from '@pomeloroad/core';
import type { RequestName } from '@pomeloroad/requests';
import type { ChatRequest } from './chatRequest';

/** A call of a plain service. */
export interface ServiceCall {
  service: string;
  method: string;
  /** The part of the URL after the service's name: path and query. */
  path: string;
  headers: Record<string, string>;
  body: Buffer;
  /** Tokens that the call costs. */
  tokens: Tokens;
}

/** The work that a request asks for. */
export type Work = { kind: 'chat'; chat: ChatRequest } | { kind: 'call'; call: ServiceCall };

/** A validated request of a caller. Instances pass it to each other. */
export interface RunRequest {
  id: string;
  account: string;
  /** Account and budget, such as `dispatch/routes`. */
  budget: string;
  /** Account and idempotency key, if the caller sent a key. */
  name?: RequestName;
  /** Hash of the request's content. A name can't be reused for another content. */
  digest: string;
  isIdempotent: boolean;
  /** Whether an instance on another side of a partition may run the request as well. */
  isProvisional: boolean;
  /** Whether the caller has a part of the answer, so that only the run that brought it may go on. */
  isContinuation: boolean;
  /** Whether the name must be claimed in the table service before the request is sent. */
  needsClaim: boolean;
  priority: number;
  /** Longest wait before the request is sent to an endpoint. */
  patience: Milliseconds;
  work: Work;
}
