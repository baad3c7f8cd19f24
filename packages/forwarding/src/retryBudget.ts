import type { Clock, Milliseconds } from '@pomeloroad/core';

const WINDOW_BUCKETS = 10;
/** Fraction of the allowance that is used, because the instances' windows do not align. */
const ALLOWANCE_RATIO = 0.9;

/** Number of retries that the whole fleet may send to a service. */
export interface RetryAllowance {
  window: Milliseconds;
  /** Retries per request in the window. */
  ratio: number;
  /** Additional retries of the whole fleet per window. */
  extra: number;
}

/** This instance's share of the retries that the fleet may send to each service. */
export interface RetryBudget {
  countRequest(service: string): void;
  /** Takes one retry; returns false if none is left. */
  take(service: string): boolean;
}

/** Counts per bucket, newest first; `bucket` is the index of the newest. */
interface Usage {
  requests: number[];
  repeats: number[];
  bucket: number;
}

/** Creates a retry budget; `countInstances` returns how many instances share the extra retries. */
export function createRetryBudget(
  clock: Clock,
  getAllowance: () => RetryAllowance,
  countInstances: () => number,
): RetryBudget {
  const usages = new Map<string, Usage>();

  function getCurrentUsage(service: string): Usage {
    const usage = usages.get(service) ?? { requests: [0], repeats: [0], bucket: getBucketIndex() };
    usages.set(service, usage);
    const passed = Math.min(getBucketIndex() - usage.bucket, WINDOW_BUCKETS + 1);
    for (let count = 0; count < passed; count += 1) {
      usage.requests = [0, ...usage.requests].slice(0, WINDOW_BUCKETS);
      // Keeps one more bucket, part of which may still be within the window.
      usage.repeats = [0, ...usage.repeats].slice(0, WINDOW_BUCKETS + 1);
    }
    usage.bucket = getBucketIndex();
    return usage;
  }

  function getBucketIndex(): number {
    return Math.floor((clock.elapsed() * WINDOW_BUCKETS) / getAllowance().window);
  }

  return {
    countRequest(service) {
      const { requests } = getCurrentUsage(service);
      requests[0] = (requests[0] ?? 0) + 1;
    },
    take(service) {
      const { ratio, extra } = getAllowance();
      const { requests, repeats } = getCurrentUsage(service);
      const allowed = ALLOWANCE_RATIO * (ratio * sum(requests) + extra / countInstances());
      if (sum(repeats) + 1 > allowed) return false;
      repeats[0] = (repeats[0] ?? 0) + 1;
      return true;
    },
  };
}

function sum(values: number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
