import type { Identity, Milliseconds, RunStatus, Tokens } from '@pomeloroad/core';
import type { Placement } from '@pomeloroad/budgets';

/** Stable code of a refusal; part of the callers' interface. */
export type RefusalCode =
  | 'invalid_request'
  | 'unauthorized'
  | 'forbidden'
  | 'not_found'
  | 'method_not_allowed'
  | 'body_too_large'
  | 'request_timeout'
  | 'key_required'
  | 'key_reused'
  | 'key_expired'
  | 'budget_exhausted'
  | 'budget_unreachable'
  | 'platform_unavailable'
  | 'overloaded'
  | 'no_endpoint'
  | 'endpoint_failed'
  | 'answer_too_large'
  | 'outcome_unknown'
  | 'not_ready';

/** Why a request gets no answer, and whether it ran. */
export interface Refusal {
  code: RefusalCode;
  message: string;
  ran: RunStatus;
  /** When a repeat may succeed. */
  retryAfter?: Milliseconds;
}

/** A piece of an answer, in order. */
export type AnswerEvent =
  /** Text of a model's answer. */
  | { kind: 'delta'; text: string }
  /** The end of a model's answer. */
  | { kind: 'usage'; promptTokens: Tokens; completionTokens: Tokens; finish: string }
  /** The head of a plain service's answer. */
  | { kind: 'head'; status: number; headers: Record<string, string> }
  /** A part of the body of a plain service's answer. */
  | { kind: 'bytes'; data: Buffer };

/** How an answer ended. */
export type AnswerEnd = { kind: 'complete' } | { kind: 'refused'; refusal: Refusal };

/** Events from a position on; without `end`, more will follow. */
export interface AnswerPart {
  from: number;
  events: AnswerEvent[];
  end?: AnswerEnd;
}

/** Names a request of a caller across retries. */
export interface RequestName {
  account: string;
  /** The idempotency key. */
  key: string;
}

/** Where a named request runs and what it holds, so that another instance can take it over. */
export interface RunState {
  placement: Placement;
  budget: string;
  reservation: string;
  keeper: string;
  tokens: Tokens;
}

/** A request for the right to run a named request. */
export interface BeginRequest {
  name: RequestName;
  /** Hash of the request's content: a key stands for one content only. */
  digest: string;
  isIdempotent: boolean;
  runner: Identity;
  request: string;
}

/** Whether to run a named request or to read its answer elsewhere. */
export type BeginReply =
  /** `isProvisional`: another side of a partition may run it as well. */
  | { kind: 'run'; isProvisional?: boolean }
  /** It was run by an instance that is lost: take it over where it runs. */
  | { kind: 'resume'; request: string; state: RunState }
  /** It runs, or ran, on another instance. */
  | { kind: 'attach'; runner: Identity; request: string }
  /** The key stands for another content. */
  | { kind: 'mismatch' }
  /** The instance that ran a non-idempotent request is lost. */
  | { kind: 'lost' };
