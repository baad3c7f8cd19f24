import type { Identity, Milliseconds, RunStatus, Tokens } from '@pomeloroad/core';
import type { Placement } from '@pomeloroad/budgets';

/** Stable error code of a refusal, part of the public API. */
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

/** Reason why a request gets no answer, and whether the request ran. */
export interface Refusal {
  code: RefusalCode;
  message: string;
  ran: RunStatus;
  /** Delay after which a retry may succeed. */
  retryAfter?: Milliseconds;
}

/** One element of an answer's event log. */
export type AnswerEvent =
  /** A piece of the text of a model's answer. */
  | { kind: 'delta'; text: string }
  /** The end of a model's answer, with its token counts. */
  | { kind: 'usage'; promptTokens: Tokens; completionTokens: Tokens; finish: string }
  /**
   * Status and headers of a plain service's response. `endsWithConnection`: the service stated
   * neither a length nor chunks, so that nobody knows whether the response is whole.
   */
  | {
      kind: 'head';
      status: number;
      headers: Record<string, string>;
      endsWithConnection: boolean;
    }
  /** A part of the body of a plain service's response. */
  | { kind: 'bytes'; data: Buffer };

/** How an answer ended. */
export type AnswerEnd = { kind: 'complete' } | { kind: 'refused'; refusal: Refusal };

/**
 * Events of an answer from position `from` on. Without `end`, more events will follow. With it, `from`
 * is lower than the position that was asked for if the answer does not reach that far.
 */
export interface AnswerPart {
  from: number;
  events: AnswerEvent[];
  end?: AnswerEnd;
  /** Name of the stream of an engine that brought the events. */
  stream?: string;
}

/** Identifies a caller's request across retries. */
export interface RequestName {
  account: string;
  /** The idempotency key. */
  key: string;
}

/** Placement and reservation of a running request, from which another instance can resume it. */
export interface RunState {
  placement: Placement;
  budget: string;
  reservation: string;
  keeper: string;
  tokens: Tokens;
}

/** Asks the keeper of a name for the right to run the request. */
export interface BeginRequest {
  name: RequestName;
  /** Hash of the request's content. A key may not be reused for another content. */
  digest: string;
  isIdempotent: boolean;
  runner: Identity;
  /** Id of this run. */
  request: string;
}

/** Tells whether to run a named request or where to read its answer. */
export type BeginReply =
  /** Run it. `isProvisional`: another side of a partition may run it as well. */
  | { kind: 'run'; isProvisional?: boolean }
  /** The instance that ran it is lost: resume its stream on the endpoint where it runs. */
  | { kind: 'resume'; request: string; state: RunState }
  /** It runs or has run elsewhere: read the answer of that run from `runner`. */
  | { kind: 'attach'; runner: Identity; request: string }
  /** The key was used for another content. */
  | { kind: 'mismatch' }
  /** The instance that ran it is lost, and it must not be repeated because it is not idempotent. */
  | { kind: 'lost' };
