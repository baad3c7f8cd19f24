import type { Clock, Identity } from '@pomeloroad/core';
import type { ObjectStore } from '@pomeloroad/storage';
import type { Keeper } from './keeperTypes';
import type { SettledRecord } from './types';

/** The prefix of the names of usage segments. */
export const SEGMENT_PREFIX = 'usage/';

const RECORDS_PER_SEGMENT = 5000;

/** What settlement needs from its surroundings. */
export interface SettlementHost {
  clock: Clock;
  self: Identity;
  objects: ObjectStore;
  /** A new name part for a segment. */
  segmentId(): string;
}

interface Progress {
  keeper: Keeper;
  records: SettledRecord[];
}

/**
 * Stores the usage records of all keepers as one segment, then moves each grant's row forward.
 * A segment counts only as far as the rows reach, so a row that was not written bills nothing.
 */
export async function settleKeepers(host: SettlementHost, keepers: Keeper[]): Promise<void> {
  const progress = takeRecords(keepers);
  if (progress.length === 0) return;
  const records = progress.flatMap((entry) => entry.records);
  const day = host.clock.now().toISOString().slice(0, 10);
  const { dataCentre, instance } = host.self;
  const name = `${SEGMENT_PREFIX}${day}/${dataCentre}/${instance}/${host.segmentId()}`;
  const body = records.map((record) => JSON.stringify(record)).join('\n');
  const stored = await host.objects.put(name, body);
  if (stored.err) return;
  await Promise.all(progress.map(settleRow));
}

function takeRecords(keepers: Keeper[]): Progress[] {
  let room = RECORDS_PER_SEGMENT;
  const progress: Progress[] = [];
  keepers.forEach((keeper) => {
    const records = keeper.unsettled().slice(0, room);
    room -= records.length;
    if (records.length > 0) progress.push({ keeper, records });
  });
  return progress;
}

async function settleRow({ keeper, records }: Progress): Promise<void> {
  const last = records[records.length - 1];
  if (last) await keeper.settleRow(last.grant, last.ordinal);
}

/** Reads the records of a segment. */
export function parseSegment(body: string): SettledRecord[] {
  return body
    .split('\n')
    .filter((line) => line !== '')
    .map((line) => JSON.parse(line) as SettledRecord);
}
