import { parseJson } from '@pomeloroad/core';

/** Returns the list that a row's value encodes; an empty one if it can't be read. */
export function parseList(value: string): unknown[] {
  const list = parseJson(value);
  return Array.isArray(list) ? list : [];
}

/** Whether a field of a row is a text. */
export function isText(field: unknown): field is string {
  return typeof field === 'string';
}
