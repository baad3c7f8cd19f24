import type { Milliseconds } from '@pomeloroad/core';
import { createMetrics } from '@pomeloroad/telemetry';
import type { RefusalCode } from '@pomeloroad/requests';

/** Values that the gauges read whenever the metrics are collected. */
export interface MetricsSource {
  running(): number;
  waiting(): number;
  answers(): number;
  pendingSettlements(): number;
  configurationVersion(): number;
  connectedPeers(): number;
}

/** Metrics of an instance. */
export interface InstanceMetrics {
  /** Counts a refusal. */
  refused(code: RefusalCode): void;
  /** Counts a request that ended and records its duration. */
  finished(took: Milliseconds): void;
  /** Registers the gauges that read from the source. */
  addGauges(source: MetricsSource): void;
  /** Returns all metrics in the text exposition format. */
  render(): string;
}

/** Creates the metrics of an instance without its gauges. */
export function createInstanceMetrics(): InstanceMetrics {
  const metrics = createMetrics();
  const requests = metrics.counter('pomeloroad_requests_total', 'Requests of callers that ended.');
  const refusals = metrics.counter('pomeloroad_refusals_total', 'Refusals before a request ran.');
  const duration = metrics.histogram(
    'pomeloroad_request_duration_milliseconds',
    'Time from a request to the end of its answer.',
  );
  return {
    refused: (code) => refusals.add(1, { code }),
    finished(took) {
      requests.add();
      duration.record(took);
    },
    addGauges(source) {
      const { gauge } = metrics;
      gauge('pomeloroad_running_requests', 'Requests that run here.', source.running);
      gauge('pomeloroad_waiting_requests', 'Requests that wait for an endpoint.', source.waiting);
      gauge('pomeloroad_answers', 'Answers held in memory.', source.answers);
      gauge(
        'pomeloroad_pending_settlements',
        'Settlements that no budget keeper has confirmed.',
        source.pendingSettlements,
      );
      gauge(
        'pomeloroad_configuration_version',
        'Version of the configuration in force.',
        source.configurationVersion,
      );
      gauge('pomeloroad_connected_peers', 'Peers that answer heartbeats.', source.connectedPeers);
    },
    render: metrics.render,
  };
}
