import { build } from 'hdr-histogram-js';
import type { Counter, Histogram, Labels, Metrics } from './types';

const SIGNIFICANT_DIGITS = 2;
/** Larger values are counted as this one; in milliseconds, it is one hour. */
const HIGHEST_VALUE = 3_600_000;
/** Values are stored in thousandths, because the histogram holds integers only. */
const SCALE = 1000;
const QUANTILES = [0.5, 0.9, 0.95, 0.99, 0.999];
const PERCENT = 100;

type Collector = () => string[];

/** Creates a registry without metrics. */
export function createMetrics(): Metrics {
  const collectors: Collector[] = [];
  return {
    counter(name, help) {
      const { counter, collect } = createCounter(name);
      collectors.push(() => [...formatHeader(name, help, 'counter'), ...collect()]);
      return counter;
    },
    gauge(name, help, read) {
      collectors.push(() => [...formatHeader(name, help, 'gauge'), `${name} ${read()}`]);
    },
    histogram(name, help) {
      const { histogram, collect } = createHistogram(name);
      collectors.push(() => [...formatHeader(name, help, 'summary'), ...collect()]);
      return histogram;
    },
    render: () => `${collectors.flatMap((collect) => collect()).join('\n')}\n`,
  };
}

function formatHeader(name: string, help: string, type: string): string[] {
  return [`# HELP ${name} ${help}`, `# TYPE ${name} ${type}`];
}

function createCounter(name: string): { counter: Counter; collect: Collector } {
  const values = new Map<string, number>();
  return {
    counter: {
      add(amount = 1, labels = {}) {
        const key = formatLabels(labels);
        values.set(key, (values.get(key) ?? 0) + amount);
      },
    },
    collect: () => [...values].map(([labels, value]) => `${name}${labels} ${value}`),
  };
}

function createHistogram(name: string): { histogram: Histogram; collect: Collector } {
  const values = build({
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    highestTrackableValue: HIGHEST_VALUE * SCALE,
    autoResize: true,
  });
  let sum = 0;
  const percentile = (value: number) => values.getValueAtPercentile(value) / SCALE;
  return {
    histogram: {
      record(value) {
        values.recordValue(Math.round(Math.min(value, HIGHEST_VALUE) * SCALE));
        sum += value;
      },
      percentile,
    },
    collect: () => [
      ...QUANTILES.map((q) => `${name}{quantile="${q}"} ${percentile(q * PERCENT)}`),
      `${name}_sum ${sum}`,
      `${name}_count ${values.totalCount}`,
    ],
  };
}

function formatLabels(labels: Labels): string {
  const entries = Object.entries(labels);
  if (entries.length === 0) return '';
  const texts = entries.map(([label, value]) => `${label}="${escape(value)}"`);
  return `{${texts.join(',')}}`;
}

function escape(value: string): string {
  return value.replace(/\\/g, '\\\\').replace(/"/g, '\\"').replace(/\n/g, '\\n');
}
