import type { Counter, Histogram, Metrics } from '@pomeloroad/telemetry';

/** What forwarding counts. */
export interface ForwardMetrics {
  /** Ended requests by outcome. */
  requests: Counter;
  /** Attempts on endpoints by outcome. */
  attempts: Counter;
  /** Repeats that the retry budget did not allow. */
  repeatsDenied: Counter;
  /** From the request to the first byte of the answer. */
  firstByte: Histogram;
  /** From the request to the end of the answer. */
  duration: Histogram;
}

/** Adds forwarding's metrics to a set. */
export function createForwardMetrics(metrics: Metrics): ForwardMetrics {
  return {
    requests: metrics.counter('pomeloroad_requests_total', 'Ended requests by outcome.'),
    attempts: metrics.counter('pomeloroad_attempts_total', 'Attempts on endpoints by outcome.'),
    repeatsDenied: metrics.counter(
      'pomeloroad_repeats_denied_total',
      'Repeats that the retry budget did not allow.',
    ),
    firstByte: metrics.histogram(
      'pomeloroad_first_byte_milliseconds',
      'Time from the request to the first byte of its answer.',
    ),
    duration: metrics.histogram(
      'pomeloroad_request_milliseconds',
      'Time from the request to the end of its answer.',
    ),
  };
}
