import type { Counter, Histogram, Metrics } from '@pomeloroad/telemetry';

/** Metrics of forwarded requests. */
export interface ForwardMetrics {
  /** Ended requests by outcome and route kind. */
  requests: Counter;
  /** Attempts on endpoints by outcome. */
  attempts: Counter;
  /** Ends of endpoints' streams by kind of end and framing. */
  streamEnds: Counter;
  /** Suspicious ends of endpoints' answers by reason and by what was done. */
  suspiciousEnds: Counter;
  /** Ends of answers within the second before their endpoint was lost, by what became of it. */
  endsBeforeLoss: Counter;
  /** Ends that were held until it was known what became of their endpoint, by that and by framing. */
  heldEnds: Counter;
  /** Endpoints that died without notice under requests of this instance. */
  crashes: Counter;
  /** Connections to endpoints by way and outcome. */
  connections: Counter;
  /** Resumptions within an answer by whether the version stays the same. */
  resumptions: Counter;
  /** Runs by whether another endpoint was found to copy them to. */
  copiedRuns: Counter;
  /** Requests to the holders of copies to go on with a run, by outcome and by the end of the run. */
  continuations: Counter;
  /** Streams that callers take up. */
  takeUps: Counter;
  /** What became of answers that were silent past their threshold. */
  silences: Counter;
  /** Retries denied by the retry budget. */
  repeatsDenied: Counter;
  /** Ended calls to the store by kind, table and outcome. */
  storeCalls: Counter;
  /** Milliseconds from the start of a call to the store to its end. */
  storeCall: Histogram;
  /** Milliseconds from the request to the first byte of the answer. */
  firstByte: Histogram;
  /** Milliseconds from the request to the end of the answer. */
  duration: Histogram;
}

/** Registers the metrics of forwarding. */
export function createForwardMetrics(metrics: Metrics): ForwardMetrics {
  return {
    requests: metrics.counter('pomeloroad_requests_total', 'Ended requests by outcome.'),
    attempts: metrics.counter('pomeloroad_attempts_total', 'Attempts on endpoints by outcome.'),
    streamEnds: metrics.counter(
      'pomeloroad_stream_ends_total',
      'Ends of endpoints’ streams by kind of end and framing of the answer.',
    ),
    suspiciousEnds: metrics.counter(
      'pomeloroad_suspicious_ends_total',
      'Ends in order that may not be the end of the answer, by reason and outcome.',
    ),
    endsBeforeLoss: metrics.counter(
      'pomeloroad_ends_before_loss_total',
      'Ends in order within the second before their endpoint was lost, by what became of it.',
    ),
    heldEnds: metrics.counter(
      'pomeloroad_held_ends_total',
      'Ends of streams held until it was known what became of their endpoint, by verdict and framing.',
    ),
    crashes: metrics.counter(
      'pomeloroad_endpoint_crashes_total',
      'Endpoints that died without notice under requests of this instance.',
    ),
    connections: metrics.counter(
      'pomeloroad_connections_total',
      'Connections to endpoints by way, own or through a relay, and outcome.',
    ),
    resumptions: metrics.counter(
      'pomeloroad_stream_resumptions_total',
      'Resumptions of streams within an answer by version: same or other.',
    ),
    copiedRuns: metrics.counter(
      'pomeloroad_copied_runs_total',
      'Runs of services that copy runs, by whether another endpoint was found to copy them to.',
    ),
    continuations: metrics.counter(
      'pomeloroad_run_continuations_total',
      'Requests to go on with a run from its copy, by outcome and by the end of the run.',
    ),
    takeUps: metrics.counter(
      'pomeloroad_stream_take_ups_total',
      'Streams that callers took up in a new request.',
    ),
    silences: metrics.counter(
      'pomeloroad_silent_answers_total',
      'Turns of answers that were silent past their threshold.',
    ),
    repeatsDenied: metrics.counter(
      'pomeloroad_repeats_denied_total',
      'Repeats that the retry budget did not allow.',
    ),
    storeCalls: metrics.counter('pomeloroad_store_calls_total', 'Ended calls to the store.'),
    storeCall: metrics.histogram(
      'pomeloroad_store_call_milliseconds',
      'Time from the start of a call to the store to its end.',
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
