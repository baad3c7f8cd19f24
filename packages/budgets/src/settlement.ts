import type { Clock, Identity } from '@pomeloroad/core';
import type { ObjectStore } from '@pomeloroad/storage';
import type { Keeper } from './keeperTypes';
import type { SettledRecord } from './types';

/** Prefix of the names of usage segments in the object store. */
export const USAGE_SEGMENT_PREFIX = 'usage/';

const MAX_RECORDS_PER_SEGMENT = 5000;

/** Services and settings that settlement depends on. */
export interface SettlementHost {
  clock: Clock;
  self: Identity;
  objects: ObjectStore;
  /** Returns a unique last part of a segment's name. */
  createSegmentId(): string;
}

/** Records of one grant that go into a segment. */
interface GrantBatch {
  keeper: Keeper;
  records: SettledRecord[];
}

/**
 * Stores unsettled usage records of all keepers as one segment, then updates the grants' rows to
 * cover them. Only records that a row covers count, so a row that was not written bills nothing.
 */
export async function settleKeepers(host: SettlementHost, keepers: Keeper[]): Promise<void> {
  const batches = collectBatches(keepers);
  if (batches.length === 0) return;
  const records = batches.flatMap((batch) => batch.records);
  const day = host.clock.now().toISOString().slice(0, 10);
  const { dataCentre, instance } = host.self;
  const name = `${USAGE_SEGMENT_PREFIX}${day}/${dataCentre}/${instance}/${host.createSegmentId()}`;
  const body = records.map((record) => JSON.stringify(record)).join('\n');
  const stored = await host.objects.put(name, body);
  if (stored.err) return;
  await Promise.all(batches.map(advanceRow));
}

function collectBatches(keepers: Keeper[]): GrantBatch[] {
  let remaining = MAX_RECORDS_PER_SEGMENT;
  const batches: GrantBatch[] = [];
  keepers.forEach((keeper) => {
    const records = keeper.unsettledRecords().slice(0, remaining);
    remaining -= records.length;
    if (records.length > 0) batches.push({ keeper, records });
  });
  return batches;
}

async function advanceRow({ keeper, records }: GrantBatch): Promise<void> {
  const last = records[records.length - 1];
  if (last) await keeper.advanceRow(last.grant, last.ordinal);
}

/** Parses the records of a segment, one JSON object per line. Throws if a line is malformed. */
export function parseUsageSegment(body: string): SettledRecord[] {
  return body
    .split('\n')
    .filter((line) => line !== '')
    .map((line) => JSON.parse(line) as SettledRecord);
}
