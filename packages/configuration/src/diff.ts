import { isDeepStrictEqual } from 'node:util';
import type { Configuration } from './types';

/** A part of the configuration that differs between two versions. */
export interface ConfigurationChange {
  kind: 'added' | 'removed' | 'changed';
  /** Section and name of the part, such as `endpoints/tacoma-1`. */
  path: string;
}

/** Returns the parts that `next` adds, removes or changes compared to `old`. */
export function diffConfigurations(old: Configuration, next: Configuration): ConfigurationChange[] {
  return [
    ...diffParts('accounts', old.accounts, next.accounts, (account) => account.name),
    ...diffParts('pools', old.pools, next.pools, (pool) => pool.model),
    ...diffParts('services', old.services, next.services, (service) => service.name),
    ...diffParts('endpoints', old.endpoints, next.endpoints, (endpoint) => endpoint.name),
  ];
}

function diffParts<T>(
  section: string,
  old: T[],
  next: T[],
  getName: (part: T) => string,
): ConfigurationChange[] {
  const before = new Map(old.map((part) => [getName(part), part]));
  const after = new Map(next.map((part) => [getName(part), part]));
  const removed = [...before.keys()].filter((name) => !after.has(name));
  const added = [...after.keys()].filter((name) => !before.has(name));
  const changed = [...after.keys()].filter(
    (name) => before.has(name) && !isDeepStrictEqual(before.get(name), after.get(name)),
  );
  const toChanges = (kind: ConfigurationChange['kind'], names: string[]): ConfigurationChange[] =>
    names.map((name) => ({ kind, path: `${section}/${name}` }));
  return [
    ...toChanges('removed', removed),
    ...toChanges('added', added),
    ...toChanges('changed', changed),
  ];
}
