import type { Identity, Milliseconds, Tokens } from '@pomeloroad/core';

/** The row of a budget: everything that its invariant needs. */
export interface BudgetRow {
  /** Sum of the top-ups. */
  toppedUp: Tokens;
  /** Sum of charges that were given back, since the same request was charged elsewhere too. */
  credited: Tokens;
  /** Sum of what closed grants spent. */
  closedSpent: Tokens;
  /** Size of each open grant by its identifier. */
  open: Record<string, Tokens>;
}

/** The row of a top-up; its identifier makes a repeat harmless. */
export interface TopUpRow {
  tokens: Tokens;
  at: string;
}

/** The row of a credit: a charge that was given back. */
export interface CreditRow {
  request: string;
  tokens: Tokens;
  at: string;
}

/** The row of a grant: a part of a budget that one holder may spend. */
export interface GrantRow {
  budget: string;
  holder: Identity;
  /** The peer that knows each reservation; without one, the whole grant is charged at a loss. */
  witness?: Identity;
  size: Tokens;
  /** Tokens of the settled usage records. */
  spent: Tokens;
  /** How many usage records are settled. */
  sequence: number;
  state: 'open' | 'closed';
  /** Tokens charged at the closing without a usage record, since the holder was lost. */
  writtenOff: Tokens;
}

/** A grant with its row's version; 0 means that it was not written yet. */
export interface Grant {
  id: string;
  version: number;
  row: GrantRow;
}

/** The part of a usage record that is known before dispatch. */
export interface UsageDraft {
  account: string;
  budget: string;
  request: string;
  /** The caller's idempotency key, if it sent one. */
  key?: string;
  /** Hash of the content that the key stands for. */
  digest?: string;
  /** Whether another side of a partition may have run the request as well. */
  isProvisional?: boolean;
  model: string;
}

/** What a request cost. The bill is the sum of the settled records. */
export interface UsageRecord extends UsageDraft {
  promptTokens: Tokens;
  completionTokens: Tokens;
  tokens: Tokens;
  at: string;
}

/** A usage record as it stands in a segment of the object store. */
export interface SettledRecord extends UsageRecord {
  grant: string;
  /** Position in the grant, from 1; counts only up to the grant's sequence. */
  ordinal: number;
}

/** Why a ledger operation failed. `sealed`: another instance closed the grant. */
export type LedgerError =
  | { kind: 'unavailable'; message: string }
  | { kind: 'sealed' }
  | { kind: 'mismatch'; message: string };

/** A request's hold on tokens, taken before dispatch. */
export interface ReservationRequest {
  /** Unique for the request; a repeat returns the same reservation. */
  id: string;
  budget: string;
  tokens: Tokens;
  /** How long the keeper may wait for tokens to come free. */
  patience: Milliseconds;
  /** The instance that runs the request. */
  owner: Identity;
  /** What a usage record of this request would carry. */
  draft: UsageDraft;
  /** Where the request is about to run, if that is known already. */
  placement?: Placement;
}

/** Why a reservation was refused. */
export type ReservationError =
  { kind: 'exhausted'; remaining: Tokens } | { kind: 'unreachable'; message: string };

/** Where a reserved request runs, so that it can be billed without the instance that ran it. */
export interface Placement {
  endpoint: string;
  address: string;
  /** The engine's stream; empty for a plain service, which keeps no record of its calls. */
  stream: string;
}
