import type { DroppedLines, Milliseconds } from '@pomeloroad/core';
import type { StoreEra } from '@pomeloroad/storage';
import type { Metrics } from '@pomeloroad/telemetry';

/** State of an instance that its gauges show. */
export interface GaugeSources {
  /** `undefined` while no configuration is known. */
  getConfigurationVersion(): number | undefined;
  getConfigurationAge(): Milliseconds;
  getStoreEra(): StoreEra;
  getDroppedLines(): DroppedLines;
  /** Returns the endpoints that are only reached through other instances. */
  listCutPaths(): string[];
  listBlockedSuspects(): string[];
}

/** Registers the gauges of an instance, which read its state whenever the metrics are rendered. */
export function registerGauges(metrics: Metrics, sources: GaugeSources): void {
  metrics.gauge(
    'pomeloroad_configuration_version',
    'Version of the configuration in force; 0 while none is known.',
    () => sources.getConfigurationVersion() ?? 0,
  );
  metrics.gauge(
    'pomeloroad_configuration_age_milliseconds',
    'Time since the start of the latest read that confirmed the configuration.',
    sources.getConfigurationAge,
  );
  metrics.gauge(
    'pomeloroad_store_era',
    'How often the store came back from an older copy, as the feeds know.',
    sources.getStoreEra,
  );
  metrics.gauge(
    'pomeloroad_ordinary_lines_dropped',
    'Ordinary lines of the log that were dropped since the start.',
    () => sources.getDroppedLines().ordinary,
  );
  metrics.gauge(
    'pomeloroad_important_lines_dropped',
    'Important lines of the log that were dropped since the start.',
    () => sources.getDroppedLines().important,
  );
  metrics.gauge(
    'pomeloroad_cut_paths',
    'Endpoints that are only reached through other instances.',
    () => sources.listCutPaths().length,
  );
  metrics.gauge(
    'pomeloroad_blocked_suspects',
    'Requests and parts of prompts that are blocked because endpoints crash under them.',
    () => sources.listBlockedSuspects().length,
  );
}
