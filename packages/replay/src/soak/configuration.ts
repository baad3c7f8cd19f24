import { CONFIGURATION_TABLE, putRow, renderPlatformConfiguration } from '@pomeloroad/standins';
import type { ConfiguredAccount, ConfiguredRoute } from '@pomeloroad/standins';

/** Host name of all routes. */
export const HOST = 'soak.example';
/** Tokens that one event of a stream counts as. */
export const TOKENS_PER_EVENT = 5;
/** Time after which an instance may close an idle connection of a caller. */
export const IDLE_TIMEOUT_MS = 2500;
const FIRST_BUDGET_TOKENS = 2000;
const TOP_UP_TOKENS = 300;
const LARGE_BUDGET_TOKENS = 100_000_000;

/** Routes of every configuration, one for each kind of request. */
export const ROUTES: ConfiguredRoute[] = [
  { name: 'stream', kind: 'streaming', isResumable: true, attempts: 3, service: 'model' },
  { name: 'stream-once', kind: 'streaming', isResumable: false, attempts: 1, service: 'model' },
  { name: 'often', kind: 'idempotent', isResumable: false, attempts: 3, service: 'board' },
  { name: 'once', kind: 'non-idempotent', isResumable: false, attempts: 1, service: 'board' },
];

/** Returns the service of a route; probes are idempotent requests. */
export function getService(route: string): string {
  return ROUTES.find(({ name }) => name === route)?.service ?? 'board';
}

/** Returns the name of the route that only the configuration with this version holds. */
export function getProbeRoute(version: number): string {
  return `probe-${version}`;
}

/** Returns the key of the account `rich` that only the configuration with this version holds. */
export function getProbeKey(version: number): string {
  return `key-of-probe-${version}`;
}

/** Returns the client accounts of a version. The budget of `poor` grows with it and runs out. */
export function createAccounts(version: number): ConfiguredAccount[] {
  const tokens = FIRST_BUDGET_TOKENS + TOP_UP_TOKENS * version;
  const keys = ['key-of-rich', getProbeKey(version)];
  return [
    { name: 'rich', keys, prepaid: LARGE_BUDGET_TOKENS },
    { name: 'poor', keys: ['key-of-poor'], prepaid: tokens },
  ];
}

/** What differs between configurations besides their version. */
export interface ConfigurationVariant {
  /** Whether the service of the streams replicates runs. */
  hasReplicas: boolean;
  /** Whether the routes of the streams name the other service. */
  hasMovedStreams: boolean;
}

/** Writes the configuration with the version; resolves to whether the store acknowledged it. */
export function putConfiguration(
  store: string,
  version: number,
  { hasReplicas, hasMovedStreams }: ConfigurationVariant,
): Promise<boolean> {
  const route = { kind: 'idempotent', isResumable: false, attempts: 3, service: 'board' } as const;
  const routes = hasMovedStreams ? ROUTES.map((each) => ({ ...each, service: 'board' })) : ROUTES;
  const text = renderPlatformConfiguration({
    version,
    host: HOST,
    routes: [...routes, { name: getProbeRoute(version), ...route }],
    accounts: createAccounts(version),
    tokensPerEvent: TOKENS_PER_EVENT,
    idleTimeout: IDLE_TIMEOUT_MS,
    replicatedServices: hasReplicas ? ['model'] : [],
  });
  return putRow(store, CONFIGURATION_TABLE, 'config', text);
}
