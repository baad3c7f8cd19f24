/** Labels of a metric's sample. */
export type Labels = Record<string, string>;

/** A value that only grows. */
export interface Counter {
  add(amount?: number, labels?: Labels): void;
}

/** A distribution of values. */
export interface Histogram {
  record(value: number): void;
  /** The value at a percentile from 0 to 100. */
  percentile(percentile: number): number;
}

/** Metrics of one process. */
export interface Metrics {
  /** A counter; its name ends in `_total`. */
  counter(name: string, help: string): Counter;
  /** A value read when the metrics are collected. */
  gauge(name: string, help: string, read: () => number): void;
  /** A histogram of values of this unit; its name ends in the unit. */
  histogram(name: string, help: string): Histogram;
  /** All metrics in the text exposition format. */
  render(): string;
}
