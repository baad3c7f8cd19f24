import { Err, Ok } from 'ts-results';
import { z } from 'zod';
import { hashText } from '@pomeloroad/core';
import type { Clock, Outcome } from '@pomeloroad/core';
import type { ObjectStore, Row, Table } from '@pomeloroad/storage';
import type { DrainList, VersionFile } from './topics';
import type { HeadRow, VersionRow } from './types';

const HEAD_KEY = 'configuration/head';
const DRAINS_KEY = 'configuration/drains';
const VERSION_PREFIX = 'configuration/version/';
const OBJECT_PREFIX = 'configuration/';
/** Width of version numbers in row keys, zero-padded so that the keys sort by version. */
const VERSION_DIGITS = 9;
const COMMIT_ATTEMPTS = 8;

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

/**
 * Why an operation on the stored configuration failed. `superseded`: another version was proposed,
 * accepted or withdrawn in the meantime.
 */
export type ConfigurationStoreError =
  { kind: 'unavailable'; message: string } | { kind: 'superseded'; head: HeadRow };

/** The stored head and drains, from one read. */
export interface StoredState {
  head: HeadRow;
  drainList: DrainList;
}

/** Versions of the configuration in the platform's table and object store. */
export interface ConfigurationStore {
  /** Reads the head and the drained endpoints. */
  readState(): Promise<Outcome<StoredState, ConfigurationStoreError>>;
  /** Reads the file of a version. */
  readFile(version: VersionRow): Promise<Outcome<VersionFile, ConfigurationStoreError>>;
  /** Proposes a version, if the base version is still in force and no other version is proposed. */
  propose(
    base: number,
    text: string,
    author: string,
  ): Promise<Outcome<VersionFile, ConfigurationStoreError>>;
  /** Puts a version into force, if it is the proposed one. */
  accept(version: VersionRow): Promise<Outcome<void, ConfigurationStoreError>>;
  /** Removes a version, if it is the proposed one. */
  withdraw(version: VersionRow): Promise<Outcome<void, ConfigurationStoreError>>;
  /** Lists all versions that were ever accepted, the oldest first. */
  history(): Promise<Outcome<VersionRow[], ConfigurationStoreError>>;
  /** Starts or ends the drain of an endpoint. */
  setDrain(endpoint: string, isDraining: boolean): Promise<Outcome<void, ConfigurationStoreError>>;
}

/** Creates a configuration store on the given table and object store. */
export function createConfigurationStore(
  clock: Clock,
  table: Table,
  objects: ObjectStore,
): ConfigurationStore {
  // Reads the row, computes the writes and commits them; tries again after a write conflict.
  async function updateRow(
    key: string,
    isApplied: (row: Row | undefined) => boolean,
    createWrites: (row: Row | undefined) => Outcome<Row[], ConfigurationStoreError>,
  ): Promise<Outcome<void, ConfigurationStoreError>> {
    for (let attempt = 0; attempt < COMMIT_ATTEMPTS; attempt += 1) {
      const read = await table.read([key]);
      if (read.err) return read;
      const [row] = read.val;
      // The commit of the last attempt may have succeeded; it must not be applied twice.
      if (attempt > 0 && isApplied(row)) return Ok.EMPTY;
      const writes = createWrites(row);
      if (writes.err) return writes;
      const checks = [{ key, version: row?.version ?? 0 }];
      const outcome = await table.commit({ checks, writes: writes.val });
      if (outcome.ok) return Ok.EMPTY;
      if (outcome.val.kind === 'unavailable') return Err(outcome.val);
    }
    return Err({ kind: 'unavailable', message: 'too many conflicts' });
  }

  function createProposal(
    head: HeadRow,
    base: number,
    next: VersionRow,
  ): Outcome<Row[], ConfigurationStoreError> {
    const accepted = head.accepted?.version ?? 0;
    if (accepted !== base || head.proposed) return Err({ kind: 'superseded', head });
    const version = { ...next, version: head.lastVersion + 1 };
    return Ok([createHeadRow({ ...head, lastVersion: version.version, proposed: version })]);
  }

  return {
    async readState() {
      const read = await table.read([HEAD_KEY, DRAINS_KEY]);
      return read.map((rows) => ({
        head: parseHead(rows.find((row) => row.key === HEAD_KEY)),
        drainList: parseDrainList(rows.find((row) => row.key === DRAINS_KEY)),
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
      const outcome = await updateRow(
        HEAD_KEY,
        (row) => isSameVersion(parseHead(row).proposed, proposed),
        (row) => {
          const head = parseHead(row);
          proposed = { ...next, version: head.lastVersion + 1 };
          return createProposal(head, base, next);
        },
      );
      return outcome.map(() => ({ version: proposed, text }));
    },
    accept: (version) =>
      updateRow(
        HEAD_KEY,
        (row) => isSameVersion(parseHead(row).accepted, version),
        (row) => {
          const head = parseHead(row);
          if (!isSameVersion(head.proposed, version)) return Err({ kind: 'superseded', head });
          const next: HeadRow = { lastVersion: head.lastVersion, accepted: version };
          return Ok([createHeadRow(next), createHistoryRow(version)]);
        },
      ),
    withdraw: (version) =>
      updateRow(
        HEAD_KEY,
        (row) => !isSameVersion(parseHead(row).proposed, version),
        (row) => {
          const head = parseHead(row);
          if (!isSameVersion(head.proposed, version)) return Err({ kind: 'superseded', head });
          return Ok([createHeadRow({ lastVersion: head.lastVersion, accepted: head.accepted })]);
        },
      ),
    async history() {
      const rows = await table.scan(VERSION_PREFIX);
      return rows.map((found) => found.map((row) => VersionSchema.parse(row.value)));
    },
    setDrain: (endpoint, isDraining) =>
      updateRow(
        DRAINS_KEY,
        (row) => endpoint in parseDrainList(row).drains === isDraining,
        (row) => {
          const drains = { ...parseDrainList(row).drains };
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

function parseDrainList(row: Row | undefined): DrainList {
  if (!row) return { version: 0, drains: {} };
  return { version: row.version, drains: DrainsSchema.parse(row.value) };
}

function createHeadRow(head: HeadRow): Row {
  return { key: HEAD_KEY, version: 0, value: head };
}

function createHistoryRow(version: VersionRow): Row {
  const number = String(version.version).padStart(VERSION_DIGITS, '0');
  return { key: `${VERSION_PREFIX}${number}`, version: 0, value: version };
}

function isSameVersion(left: VersionRow | undefined, right: VersionRow): boolean {
  return left?.version === right.version && left.digest === right.digest;
}
