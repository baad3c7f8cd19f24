import { checkDefined, getOwner, groupBy, hashText } from '@pomeloroad/core';
import type { Milliseconds } from '@pomeloroad/core';
import type { RowKey } from '@pomeloroad/storage';
import { isText, parseList } from '../store/rowFields';
import type { RecordedOrigin } from './originMemory';
import { STREAM_TIME_MAX_MS } from './versionHistory';

const ORIGIN_TABLE = 'origins';
/** Several, because the store serialises the transactions of each partition. */
const PARTITIONS: readonly string[] = ['0', '1', '2', '3'];
/** Value of a row without origins. */
export const EMPTY_ROW = '[]';
/** Hexadecimal digits of a stream's name in a row. */
const STREAM_NAME_DIGITS = 16;

/** Age of a row from which on it says nothing of the versions that serve, however late readings come. */
const ROW_AGE_MAX_MS: Milliseconds = STREAM_TIME_MAX_MS + 60_000;
/** Earlier builds write the time of day only, and read the first time only. */
const TIMES_PATTERN = /^\[(\d+),(?:(\d+),)?/;

/** One moment by two clocks. */
export interface RowTime {
  timeOfDay: Date;
  storeTime: Milliseconds;
}

/** Ends the group of streams that are doubted; earlier builds read no further than the names. */
const DOUBTED = 'doubted';

/** Origins of streams by their names in rows. */
export type OriginsByName = Map<string, RecordedOrigin[]>;

/** Returns the partitions of the table, each of which holds rows of some instances. */
export function getOriginPartitions(): Pick<RowKey, 'table' | 'partition'>[] {
  return PARTITIONS.map((partition) => ({ table: ORIGIN_TABLE, partition }));
}

/** Returns the key of the row in which an instance records where its streams began. */
export function getOriginKey(instance: string): RowKey {
  const partition = checkDefined(getOwner(instance, PARTITIONS), 'there is no partition');
  return { table: ORIGIN_TABLE, partition, key: instance };
}

/** Returns the name of a stream in rows: of one length, whatever a caller's id is. */
export function getStreamName(stream: string): string {
  return hashText(stream).slice(0, STREAM_NAME_DIGITS);
}

/**
 * Encodes the time of writing and the origins of streams by name: for each origin its service, version
 * and streams, and whether these are doubted.
 */
export function encodeOrigins(
  streams: [name: string, origin: RecordedOrigin][],
  { timeOfDay, storeTime }: RowTime,
): string {
  if (streams.length === 0) return EMPTY_ROW;
  const groups = groupBy(streams, ([, { service, version, isDoubted }]) =>
    JSON.stringify([service, version ?? null, ...(isDoubted ? [DOUBTED] : [])]),
  );
  const origins = [...groups].map(([key, group]) => {
    const [service, version, ...doubt] = JSON.parse(key);
    return [service, version, group.map(([name]) => name), ...doubt];
  });
  return JSON.stringify([timeOfDay.getTime(), Math.round(storeTime), ...origins]);
}

/**
 * Returns whether an encoded row was written lately; one that does not tell counts as such. The time of
 * day of an instance may jump, so it decides only where a row does not tell the store's time.
 */
export function isRecentRow(value: string, now: RowTime): boolean {
  const [, timeOfDay, storeTime] = TIMES_PATTERN.exec(value) ?? [];
  if (timeOfDay === undefined) return true;
  const age =
    storeTime === undefined
      ? now.timeOfDay.getTime() - Number(timeOfDay)
      : now.storeTime - Number(storeTime);
  return age < ROW_AGE_MAX_MS;
}

/** Adds the origins of a row; one that can't be read adds none. */
export function decodeOrigins(value: string, origins: OriginsByName): void {
  parseList(value).forEach((group) => {
    if (!Array.isArray(group)) return;
    const [service, version, names, doubt] = group as unknown[];
    if (!isText(service) || !Array.isArray(names)) return;
    const isDoubted = doubt === DOUBTED;
    const origin = { service, version: isText(version) ? version : undefined, isDoubted };
    names.filter(isText).forEach((name) => {
      origins.set(name, [...(origins.get(name) ?? []), origin]);
    });
  });
}
