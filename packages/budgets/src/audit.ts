import { Err, Ok } from 'ts-results';
import type { Outcome, Tokens } from '@pomeloroad/core';
import type { ObjectStore, Row, Table } from '@pomeloroad/storage';
import {
  getCreditKey,
  getUnallocated,
  LedgerPrefix,
  parseBudget,
  parseCredit,
  parseGrant,
  parseTopUp,
} from './rows';
import { parseUsageSegment, USAGE_SEGMENT_PREFIX } from './settlement';
import type { BudgetRow, CreditRow, GrantRow, SettledRecord } from './types';

/** An inconsistency of the stored rows and records. */
export interface AuditFault {
  /** Key of the row. */
  key: string;
  message: string;
  /** With `records`, the usage records that were found are not the bill that the rows state. */
  subject: 'records' | 'rows';
}

/** The balance of one budget. */
export interface BudgetBalance {
  budget: string;
  toppedUp: Tokens;
  /** Tokens of settled usage records, without credited ones. */
  billed: Tokens;
  /** Sum of the credits. */
  credited: Tokens;
  /** Tokens charged without a usage record, because a grant's holder was lost. */
  writtenOff: Tokens;
  /** Unspent tokens in open grants. */
  held: Tokens;
  unallocated: Tokens;
}

/** Result of an audit of the ledger. */
export interface Audit {
  accounts: BudgetBalance[];
  /** Usage records that count towards the bill, each once. */
  records: SettledRecord[];
  /** Usage records whose charge was credited back. */
  credited: SettledRecord[];
  faults: AuditFault[];
}

interface LedgerRows {
  budgets: Map<string, BudgetRow>;
  topUps: Row[];
  /** Credits by the key of their row. */
  credits: Map<string, CreditRow>;
  grants: Map<string, GrantRow>;
}

/**
 * Reads the whole ledger and the usage records and checks that they account for each token.
 * Fails if the table or the object store does not answer, or a listed object is not found.
 */
export async function auditLedger(
  table: Table,
  objects: ObjectStore,
): Promise<Outcome<Audit, { message: string }>> {
  const rows = await readRows(table);
  if (rows.err) return rows;
  const stored = await readRecords(objects);
  if (stored.err) return stored;
  const { records: all, faults: recordFaults } = selectRecords(rows.val, stored.val);
  const isCredited = (record: SettledRecord) =>
    rows.val.credits.has(getCreditKey(record.budget, record.request));
  const records = all.filter((record) => !isCredited(record));
  const credited = all.filter(isCredited);
  const faults = [...recordFaults, ...checkBudgets(rows.val), ...checkDoubleBilling(records)];
  return Ok({ accounts: summarizeBudgets(rows.val), records, credited, faults });
}

async function readRows(table: Table): Promise<Outcome<LedgerRows, { message: string }>> {
  const open = await table.scan(LedgerPrefix.grant);
  // A grant may be closed meanwhile. Read after the open ones, the closed ones hold it then.
  const [budgets, topUps, closed, credit] = await Promise.all([
    table.scan(LedgerPrefix.budget),
    table.scan(LedgerPrefix.topUp),
    table.scan(LedgerPrefix.closed),
    table.scan(LedgerPrefix.credit),
  ]);
  if (!budgets.ok || !topUps.ok || !open.ok || !closed.ok || !credit.ok) {
    return Err({ message: 'the table service does not answer' });
  }
  const grants = [
    ...open.val.map((row) => [row.key.slice(LedgerPrefix.grant.length), parseGrant(row)] as const),
    ...closed.val.map((r) => [r.key.slice(LedgerPrefix.closed.length), parseGrant(r)] as const),
  ];
  const named = budgets.val.map(
    (row) => [row.key.slice(LedgerPrefix.budget.length), parseBudget(row)] as const,
  );
  const credits = new Map(credit.val.map((row) => [row.key, parseCredit(row)]));
  return Ok({ budgets: new Map(named), topUps: topUps.val, credits, grants: new Map(grants) });
}

async function readRecords(
  objects: ObjectStore,
): Promise<Outcome<SettledRecord[], { message: string }>> {
  const names = await objects.list(USAGE_SEGMENT_PREFIX);
  if (names.err) return names;
  const records: SettledRecord[] = [];
  for (const name of names.val) {
    const segment = await objects.get(name);
    if (segment.err) return segment;
    // A listed segment may not be found for a while; without its records the bill is too low.
    if (segment.val === undefined) return Err({ message: `the usage segment ${name} is missing` });
    records.push(...parseUsageSegment(segment.val));
  }
  return Ok(records);
}

// Selects the records that their grants' rows cover. A segment may be stored twice, so each record
// counts once.
function selectRecords({ grants }: LedgerRows, stored: SettledRecord[]) {
  const byGrant = new Map<string, Map<number, SettledRecord>>();
  stored.forEach((record) => {
    const sequence = grants.get(record.grant)?.sequence ?? 0;
    if (record.ordinal > sequence) return;
    const records = byGrant.get(record.grant) ?? new Map<number, SettledRecord>();
    records.set(record.ordinal, record);
    byGrant.set(record.grant, records);
  });
  const faults: AuditFault[] = [];
  grants.forEach((grant, id) => {
    const records = [...(byGrant.get(id)?.values() ?? [])];
    const tokens = records.reduce((sum, record) => sum + record.tokens, 0);
    const place = { key: `${LedgerPrefix.grant}${id}`, subject: 'records' as const };
    if (records.length !== grant.sequence) {
      faults.push({ ...place, message: `${records.length} records stored of ${grant.sequence}` });
    } else if (tokens !== grant.spent) {
      faults.push({
        ...place,
        message: `records add up to ${tokens}, the row says ${grant.spent}`,
      });
    }
  });
  const records = [...byGrant.values()].flatMap((entries) => [...entries.values()]);
  return { records, faults };
}

function checkBudgets({ budgets, topUps, credits, grants }: LedgerRows): AuditFault[] {
  const faults: AuditFault[] = [];
  budgets.forEach((row, budget) => {
    const key = LedgerPrefix.budget + budget;
    const report = (message: string) => faults.push({ key, message, subject: 'rows' });
    const own = [...grants].filter(([, grant]) => grant.budget === budget);
    const toppedUp = topUps
      .filter((topUp) => isTopUpOf(topUp, budget))
      .reduce((sum, topUp) => sum + parseTopUp(topUp).tokens, 0);
    if (toppedUp !== row.toppedUp) report(`top-ups add up to ${toppedUp}, not ${row.toppedUp}`);
    const credited = sumCredits(credits, budget);
    if (credited !== row.credited) report(`credits add up to ${credited}, not ${row.credited}`);
    const closed = own
      .filter(([, grant]) => grant.state === 'closed')
      .reduce((sum, [, grant]) => sum + grant.spent + grant.writtenOff, 0);
    if (closed !== row.closedSpent) report(`closed grants spent ${closed}, not ${row.closedSpent}`);
    own.forEach(([id, grant]) => {
      const size = grant.state === 'open' ? grant.size : undefined;
      if (row.open[id] !== size) report(`grant ${id} is listed with ${row.open[id]}, not ${size}`);
      if (grant.spent > grant.size) report(`grant ${id} is spent beyond its size`);
    });
    if (Object.keys(row.open).some((id) => !grants.has(id))) report('a listed grant has no row');
  });
  return faults;
}

function sumCredits(credits: Map<string, CreditRow>, budget: string): Tokens {
  const prefix = `${LedgerPrefix.credit}${budget}/`;
  const own = [...credits].filter(([key]) => key.startsWith(prefix));
  return own.reduce((sum, [, credit]) => sum + credit.tokens, 0);
}

function isTopUpOf(row: Row, budget: string): boolean {
  const name = row.key.slice(LedgerPrefix.topUp.length);
  return name.slice(0, name.lastIndexOf('/')) === budget;
}

function checkDoubleBilling(records: SettledRecord[]): AuditFault[] {
  const seen = new Map<string, SettledRecord>();
  return records.flatMap((record) => {
    const other = seen.get(record.request);
    seen.set(record.request, record);
    if (!other) return [];
    const key = `${LedgerPrefix.grant}${record.grant}`;
    return [{ key, message: `request ${record.request} is billed twice`, subject: 'records' }];
  });
}

function summarizeBudgets({ budgets, credits, grants }: LedgerRows): BudgetBalance[] {
  return [...budgets].map(([budget, row]) => {
    const own = [...grants.values()].filter((grant) => grant.budget === budget);
    const open = own.filter((grant) => grant.state === 'open');
    const sum = (parts: GrantRow[], read: (grant: GrantRow) => Tokens) =>
      parts.reduce((total, grant) => total + read(grant), 0);
    return {
      budget,
      toppedUp: row.toppedUp,
      billed: sum(own, (grant) => grant.spent) - sumCredits(credits, budget),
      credited: sumCredits(credits, budget),
      writtenOff: sum(own, (grant) => grant.writtenOff),
      held: sum(open, (grant) => grant.size - grant.spent),
      unallocated: getUnallocated(row),
    };
  });
}
