import { CONFIGURATION_TABLE, putRow, renderPlatformConfiguration } from '@pomeloroad/standins';
import type { ConfiguredAccount, ConfiguredRoute } from '@pomeloroad/standins';

/** Host name of all routes. */
export const HOST = 'soak.example';
/** Tokens that one event of a stream counts as. */
export const TOKENS_PER_EVENT = 5;

/** Routes of the configuration, one for each kind of request. */
export const ROUTES: ConfiguredRoute[] = [
  { name: 'stream', kind: 'streaming', isResumable: true, attempts: 3, service: 'model' },
  { name: 'stream-once', kind: 'streaming', isResumable: false, attempts: 1, service: 'model' },
  { name: 'often', kind: 'idempotent', isResumable: false, attempts: 3, service: 'board' },
  { name: 'once', kind: 'non-idempotent', isResumable: false, attempts: 1, service: 'board' },
];

/** Client accounts of the configuration. The budget of the last one runs out. */
export const ACCOUNTS: ConfiguredAccount[] = [
  { name: 'rich', keys: ['key-of-rich'], prepaid: 10_000_000 },
  { name: 'poor', keys: ['key-of-poor'], prepaid: 20_000 },
];

/** Writes the configuration with the version; resolves to whether the store acknowledged it. */
export function putConfiguration(store: string, version: number): Promise<boolean> {
  const text = renderPlatformConfiguration({
    version,
    host: HOST,
    routes: ROUTES,
    accounts: ACCOUNTS,
    tokensPerEvent: TOKENS_PER_EVENT,
  });
  return putRow(store, CONFIGURATION_TABLE, 'config', text);
}
