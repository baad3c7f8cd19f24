import { Diagnostics } from '@pomeloroad/core';
import type { Milliseconds } from '@pomeloroad/core';
import type { StoreEra, VersionedRow } from '@pomeloroad/storage';
import { followTable } from './follow';
import type { FollowHost } from './follow';
import { createRouteTable } from './routeTable';
import type { RouteTable } from './routeTable';
import type { ForwardConfiguration } from '../types';

const POLL_DELAY_MS: Milliseconds = 100;

/** Dependencies of following the configuration. */
export interface ConfigurationHost extends FollowHost {
  /** Name of the configuration's table. */
  table: string;
  /** Decodes a row of the table; `undefined` if it holds no configuration. */
  decode(row: VersionedRow): ForwardConfiguration | undefined;
  /** Returns the time within which an accepted configuration is to be in force. */
  getDelayLimit(): Milliseconds;
  /** Called with each configuration that comes into force. */
  onAccepted(table: RouteTable): void;
}

/** The configuration in force, and how well it is known. */
export interface ConfigurationFeed {
  /** Returns the configuration in force; `undefined` until one is known. */
  getTable(): RouteTable | undefined;
  /** Time since the start of the latest read that confirmed the configuration. */
  getAge(): Milliseconds;
  /** Whether that time is short enough to deny what the configuration lacks. */
  isCurrent(): boolean;
  /** Whether a read takes longer than the limit: the link to the store is overloaded. */
  isLate(): boolean;
  getEra(): StoreEra;
  /** Reads the configuration again; false if the store failed. */
  refresh(): Promise<boolean>;
}

/** Follows the configuration until the signal is aborted. Its version only rises. */
export function followConfiguration(host: ConfigurationHost): ConfigurationFeed {
  const { log } = host;
  let table: RouteTable | undefined;
  let wasLate = false;

  const feed = followTable(host, {
    table: host.table,
    partitions: [''],
    pause: POLL_DELAY_MS,
    onView: (view) => view.rows.forEach(apply),
    onChanges: (changes) =>
      changes.forEach(({ value, ...row }) => {
        if (value !== undefined) apply({ ...row, value });
      }),
    onUnavailable: () => undefined,
    onAvailable: () => undefined,
  });

  function apply(row: VersionedRow): void {
    const configuration = host.decode(row);
    if (!configuration) return;
    const current = table?.configuration.version ?? -Infinity;
    if (configuration.version <= current) return;
    table = createRouteTable(configuration);
    host.onAccepted(table);
    log(Diagnostics.configurationAccepted, {
      configuration: configuration.version,
      row: row.version,
      routes: configuration.routes.length,
      accounts: configuration.accounts.length,
    });
  }

  // Logs the changes too: readiness is asked for each second, and by each answer.
  function isLate(): boolean {
    const callTime = feed.getCallTime();
    const isNow = callTime > host.getDelayLimit();
    if (isNow !== wasLate) {
      log(isNow ? Diagnostics.configurationLate : Diagnostics.configurationOnTime, {
        configuration: table?.configuration.version,
        callTime: Math.round(callTime),
      });
    }
    wasLate = isNow;
    return isNow;
  }

  return {
    getTable: () => table,
    getAge: feed.getAge,
    isCurrent: () => feed.getAge() <= host.getDelayLimit(),
    isLate,
    getEra: feed.getEra,
    refresh: feed.refresh,
  };
}
