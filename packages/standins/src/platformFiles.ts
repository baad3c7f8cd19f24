import { MS_PER_SECOND } from '@pomeloroad/core';
import { REPLICA_TTL_MS } from './replicas';

/** Bounds of the platform that instances and checks share, in milliseconds where not named. */
export const PlatformBounds = {
  drain: 2000,
  grace: 8000,
  configurationApply: 2000,
  settle: 1500,
  retryWindow: 10_000,
  retryRatio: 0.2,
  retryExtra: 56,
} as const;

/** Ports for connections between instances. */
const FIRST_PEER_PORT = 7340;
const LAST_PEER_PORT = 7355;

/** What differs between the settings files of two instances. */
export interface InstanceSettings {
  instance: string;
  dataCentre: string;
  ip: string;
  callersAddress: string;
  readinessAddress: string;
  storeAddress: string;
}

/** Returns the text of an instance's settings file. */
export function renderSettings(settings: InstanceSettings): string {
  return `node_name = "${settings.instance}"
role = "entry"
ip = "${settings.ip}"
zone = "${settings.dataCentre}"
port_range = [${FIRST_PEER_PORT},${LAST_PEER_PORT}]
[listen]
front = "${settings.callersAddress}"
readiness = "${settings.readinessAddress}"
[bounds]
drain_ms = ${PlatformBounds.drain}
grace_s = ${PlatformBounds.grace / MS_PER_SECOND}
config_apply_ms = ${PlatformBounds.configurationApply}
retry_ratio = ${PlatformBounds.retryRatio}
retry_window_s = ${PlatformBounds.retryWindow / MS_PER_SECOND}
retry_extra = ${PlatformBounds.retryExtra}
settle_ms = ${PlatformBounds.settle}
[platform]
address = "${settings.storeAddress}"
`;
}

/** A client account of the configuration. */
export interface ConfiguredAccount {
  name: string;
  keys: string[];
  prepaid: number;
}

/** A route of the configuration; its prefix is its name between slashes. */
export interface ConfiguredRoute {
  name: string;
  kind: 'idempotent' | 'non-idempotent' | 'streaming';
  isResumable: boolean;
  attempts: number;
  service: string;
}

/** Settings of a configuration. */
export interface PlatformConfiguration {
  version: number;
  host: string;
  routes: ConfiguredRoute[];
  accounts: ConfiguredAccount[];
  tokensPerEvent: number;
  /** Time in milliseconds after which instances may close callers' idle connections. */
  idleTimeout: number;
  /** Services whose endpoints replicate runs. */
  replicatedServices?: string[];
}

const ROUTE_TIMEOUT_MS = 6000;
const ROUTE_OBJECTIVE_MS = 500;
const BODY_MAX_BYTES = 100_000;
/** What the configuration says of a service whose endpoints replicate runs. */
const REPLICATION = {
  moves: true,
  backups: true,
  handle_ttl_s: REPLICA_TTL_MS / MS_PER_SECOND,
  kv_token_bytes: 1000,
};

/** Returns the text of the row that holds a configuration. */
export function renderPlatformConfiguration(configuration: PlatformConfiguration): string {
  const services = new Set(configuration.routes.map((route) => route.service));
  return JSON.stringify({
    version: configuration.version,
    routes: configuration.routes.map((route) => ({
      name: route.name,
      host: configuration.host,
      prefix: `/${route.name}/`,
      route_kind: route.kind === 'non-idempotent' ? 'non_idempotent' : route.kind,
      ...(route.isResumable ? { resumable: true } : {}),
      timeout_ms: ROUTE_TIMEOUT_MS,
      slo_ms: ROUTE_OBJECTIVE_MS,
      priority: 1,
      service: route.service,
      attempts: route.attempts,
    })),
    services: [...services].map((name) => ({
      name,
      engine: {
        stride: configuration.tokensPerEvent,
        ...(configuration.replicatedServices?.includes(name) ? REPLICATION : {}),
      },
    })),
    tenants: configuration.accounts.map(({ name, keys, prepaid }) => ({
      name,
      api_keys: keys,
      prepaid,
    })),
    limits: { max_body_bytes: BODY_MAX_BYTES, idle_timeout_ms: configuration.idleTimeout },
  });
}
