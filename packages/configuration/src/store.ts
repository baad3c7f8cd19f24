import { Err, Ok } from 'ts-results';
import { z } from 'zod';
import { hashText } from '@pomeloroad/core';
import type { Clock, Outcome } from '@pomeloroad/core';
import type { ObjectStore, Row, Table } from '@pomeloroad/storage';
import type { VersionFile } from './topics';
import type { HeadRow, VersionRow } from './types';

const HEAD_KEY = 'configuration/head';
const DRAINS_KEY = 'configuration/drains';
const VERSION_PREFIX = 'configuration/version/';
const OBJECT_PREFIX = 'configuration/';
const VERSION_DIGITS = 9;
const ATTEMPTS = 8;

const VersionSchema: z.ZodType<VersionRow> = z.object({
  version: z.number().int(),
  digest: z.string(),
  at: z.string(),
  author: z.string(),
});
const HeadSchema: z.ZodType<HeadRow> = z.object({
  lastVersion: z.number().int(),
  accepted: VersionSchema.optional(),
  proposed: VersionSchema.optional(),
});
const DrainsSchema = z.record(z.string(), z.string());

/** Why a step on the stored configuration failed. */
export type ConfigurationStoreError =
  { kind: 'unavailable'; message: string } | { kind: 'superseded'; head: HeadRow };

/** What the platform holds of the configuration at one moment. */
export interface StoredState {
  head: HeadRow;
  /** Endpoints that operators drain, with the time of the order. */
  drains: Record<string, string>;
}

/** The configuration as the platform keeps it. */
export interface ConfigurationStore {
  readState(): Promise<Outcome<StoredState, ConfigurationStoreError>>;
  readFile(version: VersionRow): Promise<Outcome<VersionFile, ConfigurationStoreError>>;
  /** Proposes a version on top of the base version, if nothing else was proposed or accepted. */
  propose(
    base: number,
    text: string,
    author: string,
  ): Promise<Outcome<VersionFile, ConfigurationStoreError>>;
  accept(version: VersionRow): Promise<Outcome<void, ConfigurationStoreError>>;
  withdraw(version: VersionRow): Promise<Outcome<void, ConfigurationStoreError>>;
  history(): Promise<Outcome<VersionRow[], ConfigurationStoreError>>;
  setDrain(endpoint: string, isDraining: boolean): Promise<Outcome<void, ConfigurationStoreError>>;
}

/** Creates a store over the platform's table and object store. */
export function createConfigurationStore(
  clock: Clock,
  table: Table,
  objects: ObjectStore,
): ConfigurationStore {
  async function update(
    key: string,
    isDone: (row: Row | undefined) => boolean,
    change: (row: Row | undefined) => Outcome<Row[], ConfigurationStoreError>,
  ): Promise<Outcome<void, ConfigurationStoreError>> {
    for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
      const read = await table.read([key]);
      if (read.err) return read;
      const [row] = read.val;
      // A write whose answer was lost shows here and must not be made again.
      if (attempt > 0 && isDone(row)) return Ok.EMPTY;
      const writes = change(row);
      if (writes.err) return writes;
      const checks = [{ key, version: row?.version ?? 0 }];
      const outcome = await table.commit({ checks, writes: writes.val });
      if (outcome.ok) return Ok.EMPTY;
      if (outcome.val.kind === 'unavailable') return Err(outcome.val);
    }
    return Err({ kind: 'unavailable', message: 'too many conflicts' });
  }

  function planProposal(
    head: HeadRow,
    base: number,
    next: VersionRow,
  ): Outcome<Row[], ConfigurationStoreError> {
    const accepted = head.accepted?.version ?? 0;
    if (accepted !== base || head.proposed) return Err({ kind: 'superseded', head });
    const version = { ...next, version: head.lastVersion + 1 };
    return Ok([headRow({ ...head, lastVersion: version.version, proposed: version })]);
  }

  return {
    async readState() {
      const read = await table.read([HEAD_KEY, DRAINS_KEY]);
      return read.map((rows) => ({
        head: parseHead(rows.find((row) => row.key === HEAD_KEY)),
        drains: parseDrains(rows.find((row) => row.key === DRAINS_KEY)),
      }));
    },
    async readFile(version) {
      const object = await objects.get(`${OBJECT_PREFIX}${version.digest}`);
      if (object.err) return Err({ kind: 'unavailable', message: object.val.message });
      if (object.val === undefined) return Err({ kind: 'unavailable', message: 'no such object' });
      return Ok({ version, text: object.val });
    },
    async propose(base, text, author) {
      const digest = hashText(text);
      const stored = await objects.put(`${OBJECT_PREFIX}${digest}`, text);
      if (stored.err) return Err({ kind: 'unavailable', message: stored.val.message });
      const next = { version: 0, digest, at: clock.now().toISOString(), author };
      let proposed = next;
      const outcome = await update(
        HEAD_KEY,
        (row) => isSame(parseHead(row).proposed, proposed),
        (row) => {
          const head = parseHead(row);
          proposed = { ...next, version: head.lastVersion + 1 };
          return planProposal(head, base, next);
        },
      );
      return outcome.map(() => ({ version: proposed, text }));
    },
    accept: (version) =>
      update(
        HEAD_KEY,
        (row) => isSame(parseHead(row).accepted, version),
        (row) => {
          const head = parseHead(row);
          if (!isSame(head.proposed, version)) return Err({ kind: 'superseded', head });
          const next: HeadRow = { lastVersion: head.lastVersion, accepted: version };
          return Ok([headRow(next), historyRow(version)]);
        },
      ),
    withdraw: (version) =>
      update(
        HEAD_KEY,
        (row) => !isSame(parseHead(row).proposed, version),
        (row) => {
          const head = parseHead(row);
          if (!isSame(head.proposed, version)) return Err({ kind: 'superseded', head });
          return Ok([headRow({ lastVersion: head.lastVersion, accepted: head.accepted })]);
        },
      ),
    async history() {
      const rows = await table.scan(VERSION_PREFIX);
      return rows.map((found) => found.map((row) => VersionSchema.parse(row.value)));
    },
    setDrain: (endpoint, isDraining) =>
      update(
        DRAINS_KEY,
        (row) => endpoint in parseDrains(row) === isDraining,
        (row) => {
          const drains = { ...parseDrains(row) };
          if (isDraining) drains[endpoint] = clock.now().toISOString();
          else delete drains[endpoint];
          return Ok([{ key: DRAINS_KEY, version: 0, value: drains }]);
        },
      ),
  };
}

function parseHead(row: Row | undefined): HeadRow {
  return row ? HeadSchema.parse(row.value) : { lastVersion: 0 };
}

function parseDrains(row: Row | undefined): Record<string, string> {
  return row ? DrainsSchema.parse(row.value) : {};
}

function headRow(head: HeadRow): Row {
  return { key: HEAD_KEY, version: 0, value: head };
}

function historyRow(version: VersionRow): Row {
  const number = String(version.version).padStart(VERSION_DIGITS, '0');
  return { key: `${VERSION_PREFIX}${number}`, version: 0, value: version };
}

function isSame(left: VersionRow | undefined, right: VersionRow): boolean {
  return left?.version === right.version && left.digest === right.digest;
}
