import type { Clock, Identity } from '@pomeloroad/core';
import type { ObjectStore } from '@pomeloroad/storage';
import type { Keeper } from './keeperTypes';
import type { SettledRecord } from './types';

/** Prefix of the names of usage segments in the object store. */
export const USAGE_SEGMENT_PREFIX = 'usage/';

const MAX_RECORDS_PER_SEGMENT = 5000;

/** Dependencies of settlement. */
export interface SettlementHost {
  clock: Clock;
  self: Identity;
  objects: ObjectStore;
  /** Returns a unique id, which becomes the last part of a segment's name. */
  createSegmentId(): string;
}

/** Usage records of one keeper's grant that go into the same segment, by ascending ordinal. */
interface GrantBatch {
  keeper: Keeper;
  records: SettledRecord[];
}

/**
 * Stores unsettled usage records of the keepers as one segment of limited size, then updates the
 * rows of their grants to cover them. A record is billed only once its grant's row covers it.
 * If the segment cannot be stored, its records stay unsettled until a later call.
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

// Updates the grant's row to cover the records of the batch.
async function advanceRow({ keeper, records }: GrantBatch): Promise<void> {
  const last = records[records.length - 1];
  if (last) await keeper.advanceRow(last.grant, last.ordinal);
}

/** Parses the records of a segment, one JSON object per line. Throws if a line is invalid JSON. */
export function parseUsageSegment(body: string): SettledRecord[] {
  return body
    .split('\n')
    .filter((line) => line !== '')
    .map((line) => JSON.parse(line) as SettledRecord);
}
