import type { Milliseconds, Tokens } from '@pomeloroad/core';
import type { RequestName } from '@pomeloroad/requests';
import type { ChatRequest } from './chatRequest';

/** A call of a plain service. */
export interface ServiceCall {
  service: string;
  method: string;
  /** Path and query behind the service's name. */
  path: string;
  headers: Record<string, string>;
  body: Buffer;
  /** What the call draws on the budget. */
  tokens: Tokens;
}

/** What a request asks for. */
export type Work = { kind: 'chat'; chat: ChatRequest } | { kind: 'call'; call: ServiceCall };

/** A checked request of a caller, ready to run. */
export interface RunRequest {
  id: string;
  account: string;
  /** Account and budget, `dispatch/routes`. */
  budget: string;
  /** The idempotency key's name, if the caller sent one. */
  name?: RequestName;
  /** Hash of the content that the name stands for. */
  digest: string;
  isIdempotent: boolean;
  /** Whether another side of a partition may run it as well. */
  isProvisional: boolean;
  /** Whether the table must admit the name before anything runs. */
  needsClaim: boolean;
  priority: number;
  /** How long the request may wait before it runs. */
  patience: Milliseconds;
  work: Work;
}
