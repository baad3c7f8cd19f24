import { match, P } from 'ts-pattern';
import { Diagnostics, sleep } from '@pomeloroad/core';
import type { Clock, Log, Milliseconds } from '@pomeloroad/core';
import type {
  RowChange,
  RowCheck,
  RowStore,
  RowTransaction,
  RowView,
  StoreEra,
  StoreVersion,
  TransactError,
} from '@pomeloroad/storage';
import type { SharedFeed } from '../store/sharedFeed';
import { createToldVersion } from '../store/toldVersion';
import { decodeSuspect, encodeSuspect, getSuspectKey } from './suspectRows';
import type { Suspect } from './suspectRows';

/** Number of rows that one transaction changes. */
const BATCH_SIZE = 50;
/** Tries of a change whose rows others change at the same time. */
const TRIES_MAX = 5;
const TRY_DELAY_MS: Milliseconds = 20;
/**
 * Time after a probe until which it is known at all instances if an endpoint has died of it: the time to send
 * it, three renewals that its entry misses, 1.2 s each in the largest deployments, and the feed's delay.
 */
export const VERDICT_TIME_MS: Milliseconds = 6000;
const NO_CRASHES: Suspect = { crashes: [], requests: 0, probes: 0 };

/** Dependencies of the table. */
export interface SuspectTableHost {
  clock: Clock;
  log: Log;
  rows: RowStore;
  feed: SharedFeed;
  signal: AbortSignal;
  /** Called when rows of these suspects have changed or are gone. */
  onChange(names: string[]): void;
  /** Called with rows that the store has lost by coming back from an older copy. */
  onLost(lost: Map<string, Suspect>): void;
}

/** A suspect's row. */
export interface StoredSuspect extends Suspect {
  version: number;
  /** Time of `clock.elapsed()` when the version became known. */
  changedAt: Milliseconds;
  /** Whether this instance has seen the version add a probe to the one before. */
  isProbe: boolean;
}

type Conflict = Extract<TransactError, { kind: 'conflict' }>;

/** Returns what a suspect's row is to become; `undefined` leaves it as it is. */
export type SuspectUpdate = (
  name: string,
  stored: StoredSuspect | undefined,
) => Suspect | 'removed' | undefined;

/** How an update of rows ended. */
export type UpdateResult =
  /** `version` is that of the rows written last; others may have changed them since. */
  | { kind: 'written'; version: number }
  | { kind: 'unchanged' }
  /** The store did not answer, or others were always faster. */
  | { kind: 'failed' };

/** The rows of suspects, as the store's feed tells them. */
export interface SuspectTable {
  isLoaded(): boolean;
  get(name: string): StoredSuspect | undefined;
  list(): string[];
  /** Changes rows; the update is asked again about rows that others have changed meanwhile. */
  update(names: string[], next: SuspectUpdate): Promise<UpdateResult>;
  /** Reads all rows again; false if the store failed. */
  refresh(): Promise<boolean>;
}

/** Starts following the table. */
export function followSuspects(host: SuspectTableHost): SuspectTable {
  const { clock, log, rows, signal } = host;
  const told = createToldVersion();
  let stored = new Map<string, StoredSuspect>();
  let era: StoreEra | undefined;

  // A row that can't be read tells nothing, and is written anew.
  function decode({ table, key, version, value = '' }: RowChange): StoredSuspect {
    const suspect = decodeSuspect(value);
    if (!suspect) log(Diagnostics.rowUnreadable, { table, key });
    return { ...(suspect ?? NO_CRASHES), version, changedAt: clock.elapsed(), isProbe: false };
  }

  function decodeNext(change: RowChange): StoredSuspect {
    const next = decode(change);
    const known = stored.get(change.key);
    return { ...next, isProbe: known !== undefined && isNewProbe(known, next) };
  }

  function replaceAll(view: RowView): void {
    told.noteView(view);
    const before = stored;
    stored = new Map();
    view.rows.forEach((row) => {
      const known = before.get(row.key);
      const isSame = era === view.era && known?.version === row.version;
      stored.set(row.key, isSame ? known : decode(row));
    });
    const lost = [...before].filter(([name]) => !stored.has(name));
    if (era !== undefined && era !== view.era) host.onLost(new Map(lost));
    era = view.era;
    host.onChange([...new Set([...before.keys(), ...stored.keys()])]);
  }

  function applyChange(change: RowChange): void {
    const known = stored.get(change.key);
    // An update of this instance may have become known before.
    if (known && known.version >= change.version) return;
    if (change.value === undefined) stored.delete(change.key);
    else stored.set(change.key, decodeNext(change));
  }

  function applyChanges(changes: RowChange[]): void {
    told.noteChanges(changes);
    changes.forEach(applyChange);
    host.onChange(changes.map(({ key }) => key));
  }

  host.feed.listen('suspects', { onView: replaceAll, onChanges: applyChanges });

  function createTransaction(names: string[], next: SuspectUpdate): RowTransaction {
    const transaction: RowTransaction = { checks: [], puts: [], removals: [] };
    names.forEach((name) => {
      const known = stored.get(name);
      const value = next(name, known);
      if (value === undefined || (value === 'removed' && !known)) return;
      const key = getSuspectKey(name);
      transaction.checks.push({ ...key, version: known?.version ?? 0 });
      if (value === 'removed') transaction.removals.push(key);
      else transaction.puts.push({ ...key, value: encodeSuspect(value) });
    });
    return transaction;
  }

  async function updateBatch(names: string[], next: SuspectUpdate): Promise<UpdateResult> {
    for (let tries = 0; tries < TRIES_MAX && !signal.aborted; tries += 1) {
      const transaction = createTransaction(names, next);
      if (transaction.checks.length === 0) return { kind: 'unchanged' };
      const written = await rows.transact(transaction);
      if (written.ok) {
        adopt(transaction, written.val);
        return { kind: 'written', version: written.val.revision };
      }
      if (written.val.kind !== 'conflict') return { kind: 'failed' };
      adoptConflict(transaction, written.val);
      await sleep(clock, TRY_DELAY_MS);
    }
    return { kind: 'failed' };
  }

  // The feed may have told later rows while the answer was under way.
  function adoptConflict(
    { checks }: RowTransaction,
    { era: answerEra, rows: current }: Conflict,
  ): void {
    if (era !== undefined && era > answerEra) return;
    // A conflict of one row leaves the others of the transaction as they are.
    const isKnown = ({ key, version }: RowCheck) =>
      era === answerEra && stored.get(key)?.version === version;
    const kept = new Set(current.filter(isKnown).map(({ key }) => key));
    checks
      .filter((check) => isAsChecked(check) && !kept.has(check.key))
      .forEach(({ key }) => stored.delete(key));
    current
      .filter(({ key }) => !kept.has(key))
      .filter(({ version }) => !told.includes({ era: answerEra, revision: version }))
      .forEach((row) => stored.set(row.key, decode(row)));
    host.onChange(checks.map(({ key }) => key));
  }

  function isAsChecked({ key, version }: RowCheck): boolean {
    return stored.get(key)?.version === version;
  }

  // What was written replaces what was known, also if the versions of an earlier era were higher.
  function adopt({ checks, puts, removals }: RowTransaction, at: StoreVersion): void {
    if (told.includes(at)) return;
    puts.forEach((put) => stored.set(put.key, decodeNext({ ...put, version: at.revision })));
    removals.forEach(({ key }) => stored.delete(key));
    host.onChange(checks.map(({ key }) => key));
  }

  return {
    isLoaded: () => era !== undefined,
    get: (name) => stored.get(name),
    list: () => [...stored.keys()],
    async update(names, next) {
      let result: UpdateResult = { kind: 'unchanged' };
      for (let from = 0; from < names.length; from += BATCH_SIZE) {
        const outcome = await updateBatch(names.slice(from, from + BATCH_SIZE), next);
        result = combine(result, outcome);
      }
      return result;
    },
    refresh: host.feed.refresh,
  };
}

// One that has waited is written again without a change, before its verdict is due.
function isNewProbe(known: StoredSuspect, next: StoredSuspect): boolean {
  if (next.probes > known.probes) return true;
  const isRecent = next.changedAt - known.changedAt < VERDICT_TIME_MS;
  return known.isProbe && isRecent && encodeSuspect(next) === encodeSuspect(known);
}

function combine(first: UpdateResult, second: UpdateResult): UpdateResult {
  return match([first, second] as const)
    .with([{ kind: 'failed' }, { kind: 'written' }], () => first)
    .with([P.any, { kind: 'unchanged' }], () => first)
    .otherwise(() => second);
}
