import type { Identity, Milliseconds, Tokens } from '@pomeloroad/core';

/** The row of a budget; it holds all that is needed to check that no tokens are overspent. */
export interface BudgetRow {
  /** Sum of the top-ups. */
  toppedUp: Tokens;
  /** Sum of charges credited back because the same request was also charged elsewhere. */
  credited: Tokens;
  /** Sum of what closed grants spent, including written-off tokens. */
  closedSpent: Tokens;
  /** Size of each open grant by its identifier. */
  open: Record<string, Tokens>;
}

/** The row of a top-up; its identifier makes a repeat harmless. */
export interface TopUpRow {
  tokens: Tokens;
  at: string;
}

/** The row of a credit, which returns a charge to the budget. */
export interface CreditRow {
  request: string;
  tokens: Tokens;
  at: string;
}

/** The row of a grant: a part of a budget that one holder may spend. */
export interface GrantRow {
  budget: string;
  holder: Identity;
  /** The peer that logs each reservation. Without one, a loss charges the whole grant. */
  witness?: Identity;
  size: Tokens;
  /** Tokens of the settled usage records. */
  spent: Tokens;
  /** Number of settled usage records. */
  sequence: number;
  state: 'open' | 'closed';
  /** Tokens charged on closing without a usage record, because the holder was lost. */
  writtenOff: Tokens;
}

/** A grant with its row's version; version 0 means that it is not written yet. */
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
  /** Whether the request may also have run on another side of a network partition. */
  isProvisional?: boolean;
  model: string;
}

/** Tokens that a request used. The bill is the sum of the settled records. */
export interface UsageRecord extends UsageDraft {
  promptTokens: Tokens;
  completionTokens: Tokens;
  tokens: Tokens;
  at: string;
}

/** A usage record as stored in a segment of the object store. */
export interface SettledRecord extends UsageRecord {
  grant: string;
  /** Position in the grant, from 1. Records beyond the grant's sequence do not count. */
  ordinal: number;
}

/** Why a ledger operation failed. `sealed`: another instance closed the grant. */
export type LedgerError =
  | { kind: 'unavailable'; message: string }
  | { kind: 'sealed' }
  | { kind: 'mismatch'; message: string };

/** Asks a keeper to reserve tokens for a request before it is dispatched. */
export interface ReservationRequest {
  /** Unique for the request; a repeat returns the same reservation. */
  id: string;
  budget: string;
  tokens: Tokens;
  /** How long the keeper may wait for tokens to become free. */
  patience: Milliseconds;
  /** The instance that runs the request. */
  owner: Identity;
  /** The part of the request's usage record that is known already. */
  draft: UsageDraft;
  /** Where the request is about to run, if that is known already. */
  placement?: Placement;
}

/** Why a reservation was refused. */
export type ReservationError =
  { kind: 'exhausted'; remaining: Tokens } | { kind: 'unreachable'; message: string };

/** Where a reserved request runs, so that it can be billed if its instance is lost. */
export interface Placement {
  endpoint: string;
  address: string;
  /** Identifier of the engine's stream; empty for a plain service, which keeps no call records. */
  stream: string;
}
