import { Ok } from 'ts-results';
import type { ObjectStore } from './types';

/** Creates an empty object store in memory. */
export function createMemoryObjects(): ObjectStore {
  const objects = new Map<string, string>();
  return {
    async put(name, body) {
      objects.set(name, body);
      return Ok.EMPTY;
    },
    get: async (name) => Ok(objects.get(name)),
    list: async (prefix) =>
      Ok([...objects.keys()].filter((name) => name.startsWith(prefix)).sort()),
  };
}
