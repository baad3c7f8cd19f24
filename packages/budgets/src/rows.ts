import { z } from 'zod';
import { assert } from '@pomeloroad/core';
import type { Identity } from '@pomeloroad/core';
import type { Row } from '@pomeloroad/storage';
import type { BudgetRow, CreditRow, GrantRow, TopUpRow } from './types';

const CountSchema = z.number().int().nonnegative();

const BudgetSchema: z.ZodType<BudgetRow> = z.object({
  toppedUp: CountSchema,
  credited: CountSchema,
  closedSpent: CountSchema,
  open: z.record(z.string(), CountSchema),
});

const CreditSchema: z.ZodType<CreditRow> = z.object({
  request: z.string(),
  tokens: CountSchema,
  at: z.string(),
});

const TopUpSchema: z.ZodType<TopUpRow> = z.object({ tokens: CountSchema, at: z.string() });

const IdentitySchema: z.ZodType<Identity> = z.object({
  instance: z.string(),
  incarnation: z.string(),
  dataCentre: z.string(),
});

const GrantSchema: z.ZodType<GrantRow> = z.object({
  budget: z.string(),
  holder: IdentitySchema,
  witness: IdentitySchema.optional(),
  size: CountSchema,
  spent: CountSchema,
  sequence: CountSchema,
  state: z.enum(['open', 'closed']),
  writtenOff: CountSchema,
});

/** Key prefixes of the ledger's rows. */
export const LedgerPrefix = {
  budget: 'budget/',
  topUp: 'topup/',
  grant: 'grant/',
  closed: 'closed/',
  credit: 'credit/',
} as const;

/** The key of a budget's row. */
export function getBudgetKey(budget: string): string {
  return `${LedgerPrefix.budget}${budget}`;
}

/** The key of a top-up's row. */
export function getTopUpKey(budget: string, id: string): string {
  return `${LedgerPrefix.topUp}${budget}/${id}`;
}

/** The key of a credit's row. */
export function getCreditKey(budget: string, request: string): string {
  return `${LedgerPrefix.credit}${budget}/${request}`;
}

/** The key of an open grant's row. */
export function getGrantKey(id: string): string {
  return `${LedgerPrefix.grant}${id}`;
}

/** The key of a closed grant's row. */
export function getClosedGrantKey(id: string): string {
  return `${LedgerPrefix.closed}${id}`;
}

/** The prefix of the keys of a data centre's open grants. */
export function getGrantPrefix(dataCentre: string): string {
  return `${LedgerPrefix.grant}${dataCentre}/`;
}

/** Parses a budget's row; a missing row is an empty budget. Throws if the row is malformed. */
export function parseBudget(row: Row | undefined): BudgetRow {
  return row
    ? BudgetSchema.parse(row.value)
    : { toppedUp: 0, credited: 0, closedSpent: 0, open: {} };
}

/** Parses a grant's row. Throws if it is malformed. */
export function parseGrant(row: Row): GrantRow {
  return GrantSchema.parse(row.value);
}

/** Parses a credit's row. Throws if it is malformed. */
export function parseCredit(row: Row): CreditRow {
  return CreditSchema.parse(row.value);
}

/** Parses a top-up's row. Throws if it is malformed. */
export function parseTopUp(row: Row): TopUpRow {
  return TopUpSchema.parse(row.value);
}

/** Returns the tokens of a budget that are neither charged nor part of an open grant. */
export function getUnallocated(budget: BudgetRow): number {
  const open = Object.values(budget.open).reduce((sum, size) => sum + size, 0);
  const unallocated = budget.toppedUp + budget.credited - budget.closedSpent - open;
  assert(unallocated >= 0, 'a budget is allocated beyond its top-ups');
  return unallocated;
}
