import { Diagnostics } from '@pomeloroad/core';
import type { Milliseconds } from '@pomeloroad/core';
import type { RowChange, RowView, StoreEra, VersionedRow } from '@pomeloroad/storage';
import type { EndpointDirectory } from './endpointDirectory';
import type { EndpointLosses } from './endpointLosses';
import { followTable } from './follow';
import type { FollowedTable, FollowHost } from './follow';
import type { EndpointRecord } from '../types';

const POLL_DELAY_MS: Milliseconds = 400;

/** Dependencies of following the endpoints. */
export interface EndpointFeedHost extends FollowHost {
  /** Name of the endpoints' table. */
  table: string;
  /** Decodes a row of the table; `undefined` if it holds no endpoint. */
  decode(row: VersionedRow): EndpointRecord | undefined;
  directory: EndpointDirectory;
  losses: EndpointLosses;
}

/** Follows the endpoints' table and keeps the directory as the rows say. */
export function followEndpoints(host: EndpointFeedHost): FollowedTable {
  const { log, table, directory, losses } = host;
  let knownEra: StoreEra | undefined;

  function applyView({ rows, era }: RowView): void {
    const records = rows.map(decodeRow).filter(isDefined);
    const isCopy = knownEra !== undefined && era > knownEra;
    knownEra = era;
    if (isCopy) directory.replaceByCopy(records);
    else directory.replaceAll(records);
  }

  function applyChange(change: RowChange): void {
    const record = isPresent(change) ? decodeRow(change) : undefined;
    if (record) directory.upsert(record);
    else directory.remove(change.key);
  }

  function decodeRow(row: VersionedRow): EndpointRecord | undefined {
    const record = host.decode(row);
    if (!record) log(Diagnostics.rowUnreadable, { table: row.table, key: row.key });
    return record;
  }

  return followTable(host, {
    table,
    partitions: [''],
    pause: POLL_DELAY_MS,
    onView: applyView,
    onChanges: (changes) => changes.forEach(applyChange),
    onUnavailable() {
      directory.markStoreUnavailable();
      losses.noteUnknown();
    },
    onAvailable: directory.markStoreAvailable,
  });
}

function isPresent(change: RowChange): change is VersionedRow {
  return change.value !== undefined;
}

function isDefined(record: EndpointRecord | undefined): record is EndpointRecord {
  return record !== undefined;
}
