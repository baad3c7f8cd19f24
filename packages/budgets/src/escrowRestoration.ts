import type { Milliseconds, Tokens } from '@pomeloroad/core';
import { FIRST_ERA } from '@pomeloroad/storage';
import type { StoreEra, VersionedRow } from '@pomeloroad/storage';
import { findTotal, listGrants } from './escrowRows';
import type { BudgetTotal, Restoration } from './escrowRows';

/**
 * What a process knows of the tokens granted to the earlier processes of its machine. `pending`:
 * not read yet. `unknown`: rows of theirs may have been lost before they were read.
 */
export type Ancestry =
  | { kind: 'pending' }
  | { kind: 'unknown' }
  | {
      kind: 'known';
      held: Record<string, Tokens>;
      /** The most that the latest of them can have spent, if it was granted any. */
      ended: Record<string, Tokens>;
      writtenOff: Tokens;
    };

/** Time within which the operator's rows are written again after a rewind of the store. */
export const LIMIT_REWRITE_MAX_MS: Milliseconds = 5000;

/** The ancestry of the first process on a machine. */
export const NO_ANCESTRY: Ancestry = { kind: 'known', held: {}, ended: {}, writtenOff: 0 };

/** Rows of one account, all read in one era. */
export interface AccountRows {
  era: StoreEra;
  totals: VersionedRow[];
  grants: VersionedRow[];
}

/** What a process puts back into a budget after the store came back from an older copy. */
export interface Contribution {
  instance: string;
  incarnation: string;
  /** Tokens that its own grant holds. */
  held: Tokens;
  ancestry: Ancestry;
  /** Tokens held by incarnations of instances that are gone and not awaited. */
  heldByGone: Record<string, Tokens>;
  limit: Tokens;
  /** The number of instances that have to put back their grants before more is granted. */
  instances: number;
  /** Instances that may hold tokens granted in an earlier era, as far as this one knows. */
  holders: string[];
}

/** Returns what the rows tell about the earlier processes of an instance, all of which have ended. */
export function getAncestry({ era, totals, grants }: AccountRows, instance: string): Ancestry {
  const restoration = findTotal(totals, era)?.restoration;
  if (era > FIRST_ERA && !restoration?.instances.includes(instance)) return { kind: 'unknown' };
  return {
    kind: 'known',
    held: { ...restoration?.carried, ...listGrants(grants, era) },
    ended: {},
    writtenOff: restoration?.writtenOff ?? 0,
  };
}

/** Whether an instance has put its grant back into the budget; in the first era none has to. */
export function hasRestored({ restoration }: BudgetTotal, instance: string): boolean {
  return !restoration || restoration.instances.includes(instance);
}

/** Whether more may be granted: what was granted in an earlier era is all put back, or counts as granted. */
export function canGrant({ restoration }: BudgetTotal, instances: number): boolean {
  if (!restoration || restoration.isOpen) return true;
  return restoration.missing.length === 0 && restoration.instances.length >= instances;
}

/**
 * Whether the budget is to open without the missing instances: all that renew their leases have put back
 * their grants. `counted` are the instances that renew their leases.
 */
export function isOverdue({ restoration }: BudgetTotal, counted: string[]): boolean {
  if (!restoration || restoration.isOpen || restoration.missing.length === 0) return false;
  const { instances, missing } = restoration;
  return instances.length >= counted.length && !missing.some((name) => counted.includes(name));
}

/**
 * Returns the budget's row with all tokens that nobody is known to hold written off until the missing
 * instances have put back their grants, so that only what is returned or topped up is granted again.
 */
export function openWithoutMissing(total: BudgetTotal, limit: Tokens): BudgetTotal {
  const { restoration, allocated } = total;
  if (!restoration) return total;
  const missingTokens = Math.max(0, Math.max(restoration.limit, limit) - allocated);
  return {
    ...total,
    allocated: allocated + missingTokens,
    restoration: { ...restoration, isOpen: true, missingTokens },
  };
}

/** Returns the budget's row of this era with a process's contribution. */
export function addContribution(rows: AccountRows, added: Contribution): BudgetTotal {
  const present = findTotal(rows.totals, rows.era);
  const before = present?.restoration ?? carryOver(rows);
  const granted = listGrants(rows.grants, rows.era);
  const carried = mergeCarried(before, added, granted);
  const settled = mergeSettled(before, added).filter((name) => carried[name] !== undefined);
  const instances = [...before.instances, added.instance];
  const missing = mergeMissing(before, added);
  const limit = Math.max(before.limit, added.limit);
  const isUncertain = before.isUncertain || added.ancestry.kind !== 'known';
  const knownBefore = sum(before.carried) + sum(granted);
  const known = sum(carried) + sum(granted) + added.held;
  let writtenOff = Math.max(before.writtenOff, getWrittenOff(added.ancestry));
  // What an unknown process was granted is at most all that nobody else holds.
  if (isUncertain) writtenOff = Math.max(writtenOff, limit - known);
  // A budget that is open without the missing ones counts as granted all that was not known then.
  const isOpen = missing.length > 0 ? before.isOpen : instances.length >= added.instances;
  const isWrittenOff = isOpen && missing.length > 0;
  const unheld = Math.max(0, limit - known - writtenOff);
  // Once the budget is open, what becomes known was a part of what the missing ones may hold.
  const unknown = before.isOpen ? before.missingTokens + knownBefore - known : unheld;
  const missingTokens = isWrittenOff ? Math.min(unheld, Math.max(0, unknown)) : 0;
  return {
    allocated: known + writtenOff + missingTokens,
    calls: present?.calls ?? 0,
    restoration: {
      instances,
      carried,
      settled,
      writtenOff,
      limit,
      isUncertain,
      isOpen,
      missing,
      missingTokens,
    },
  };
}

// Once the budget is open, an instance that nobody missed has nothing to tell of the others.
function mergeMissing(before: Restoration, { instance, holders }: Contribution): string[] {
  const isHeard = !before.isOpen || before.missing.includes(instance);
  const names = new Set([...before.missing, ...(isHeard ? holders : [])]);
  return [...names].filter((name) => name !== instance && !before.instances.includes(name));
}

// The rows that the copy holds of the latest earlier era. They are complete for processes that had
// ended when the copy was made; all others put back their own grants or leave a successor.
function carryOver({ era, totals, grants }: AccountRows): Restoration {
  let base = era - 1;
  while (base > FIRST_ERA && !findTotal(totals, base)) base -= 1;
  const restoration = findTotal(totals, base)?.restoration;
  return {
    instances: [],
    carried: { ...restoration?.carried, ...listGrants(grants, base) },
    settled: restoration?.settled ?? [],
    writtenOff: restoration?.writtenOff ?? 0,
    limit: restoration?.limit ?? 0,
    isUncertain: false,
    isOpen: false,
    missing: restoration?.missing ?? [],
    missingTokens: 0,
  };
}

// A grant that has a row of this era counts by that row. What a successor tells goes before what the
// copy, or an instance that read the rows earlier, says.
function mergeCarried(
  { carried, settled }: Restoration,
  { incarnation, ancestry, heldByGone }: Contribution,
  granted: Record<string, Tokens>,
): Record<string, Tokens> {
  const known = mergeHeld(ancestry.kind === 'known' ? ancestry.held : {}, heldByGone);
  const told = settled.filter((name) => carried[name] !== undefined);
  const merged = {
    ...mergeHeld(carried, known),
    ...pick(carried, told),
    ...getEnded(ancestry),
  };
  const counted = Object.entries(merged).filter(
    ([name]) => name !== incarnation && granted[name] === undefined,
  );
  return Object.fromEntries(counted);
}

function mergeSettled({ settled }: Restoration, { ancestry }: Contribution): string[] {
  return [...new Set([...settled, ...Object.keys(getEnded(ancestry))])];
}

function pick(tokens: Record<string, Tokens>, names: string[]): Record<string, Tokens> {
  return Object.fromEntries(names.map((name) => [name, tokens[name] ?? 0]));
}

function getEnded(ancestry: Ancestry): Record<string, Tokens> {
  return ancestry.kind === 'known' ? ancestry.ended : {};
}

/** Returns the larger number of tokens that either side knows of each incarnation. */
export function mergeHeld(
  one: Record<string, Tokens>,
  other: Record<string, Tokens>,
): Record<string, Tokens> {
  const merged = { ...one };
  Object.entries(other).forEach(([name, tokens]) => {
    merged[name] = Math.max(merged[name] ?? 0, tokens);
  });
  return merged;
}

function getWrittenOff(ancestry: Ancestry): Tokens {
  return ancestry.kind === 'known' ? ancestry.writtenOff : 0;
}

function sum(tokens: Record<string, Tokens>): Tokens {
  return Object.values(tokens).reduce((total, next) => total + next, 0);
}
