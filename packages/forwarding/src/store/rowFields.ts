/** Returns the list that a row's value encodes; an empty one if it can't be read. */
export function parseList(value: string): unknown[] {
  try {
    const list: unknown = JSON.parse(value);
    return Array.isArray(list) ? list : [];
  } catch {
    return [];
  }
}

/** Whether a field of a row is a text. */
export function isText(field: unknown): field is string {
  return typeof field === 'string';
}
