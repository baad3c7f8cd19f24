/** Label names and values of one sample of a metric. */
export type Labels = Record<string, string>;

/** A sum that only grows, one for each combination of labels. */
export interface Counter {
  add(amount?: number, labels?: Labels): void;
}

/** A distribution of values. */
export interface Histogram {
  record(value: number): void;
  /** Returns the value at a percentile from 0 to 100. */
  percentile(percentile: number): number;
}

/** Registry of the metrics of one process. */
export interface Metrics {
  /** Registers a counter; its name ends in `_total`. */
  counter(name: string, help: string): Counter;
  /** Registers a value that is read whenever the metrics are rendered. */
  gauge(name: string, help: string, read: () => number): void;
  /** Registers a histogram, rendered as a summary; its name ends in the unit of the values. */
  histogram(name: string, help: string): Histogram;
  /** Renders all metrics in the Prometheus text exposition format. */
  render(): string;
}
