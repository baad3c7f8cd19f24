import type { Clock, Milliseconds } from '@pomeloroad/core';

/** Number of buckets into which the sliding window is divided. */
const WINDOW_BUCKETS = 10;
/** Fraction of the allowance to use; a margin because the instances' windows do not align. */
const ALLOWANCE_RATIO = 0.9;

/** Fraction of the retries that may be taken for what others may need more. */
const SPARE_RATIO = 0.25;

/** Limit on the retries that the whole fleet may send to a service in a sliding window. */
export interface RetryAllowance {
  /** Length of the window. */
  window: Milliseconds;
  /** Allowed retries per request counted in the window. */
  ratio: number;
  /** Additional retries of the whole fleet per window. */
  extra: number;
}

/** This instance's share of the retries that the fleet may send to each service. */
export interface RetryBudget {
  /** Counts a new request, which raises the number of allowed retries. */
  countRequest(service: string): void;
  /** Takes one retry; returns false if none is left in the window. */
  take(service: string): boolean;
  /** Takes one retry if more than three quarters of them are left in the window. */
  takeSpare(service: string): boolean;
  /** Gives a retry back that was taken and sent to no endpoint. */
  giveBack(service: string): void;
}

/** Requests and retries per bucket, newest first; `bucket` is the index of the newest. */
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
    // After `WINDOW_BUCKETS + 1` steps every count is 0, so further steps change nothing.
    const passed = Math.min(getBucketIndex() - usage.bucket, WINDOW_BUCKETS + 1);
    for (let count = 0; count < passed; count += 1) {
      usage.requests = [0, ...usage.requests].slice(0, WINDOW_BUCKETS);
      // Keeps one more bucket of retries, because part of it may still be within the window.
      usage.repeats = [0, ...usage.repeats].slice(0, WINDOW_BUCKETS + 1);
    }
    usage.bucket = getBucketIndex();
    return usage;
  }

  function getBucketIndex(): number {
    return Math.floor((clock.elapsed() * WINDOW_BUCKETS) / getAllowance().window);
  }

  function takeWithin(service: string, share: number): boolean {
    const { ratio, extra } = getAllowance();
    const { requests, repeats } = getCurrentUsage(service);
    const allowed = ALLOWANCE_RATIO * (ratio * sum(requests) + extra / countInstances());
    if (sum(repeats) + 1 > share * allowed) return false;
    repeats[0] = (repeats[0] ?? 0) + 1;
    return true;
  }

  return {
    countRequest(service) {
      const { requests } = getCurrentUsage(service);
      requests[0] = (requests[0] ?? 0) + 1;
    },
    take: (service) => takeWithin(service, 1),
    takeSpare: (service) => takeWithin(service, SPARE_RATIO),
    giveBack(service) {
      const { repeats } = getCurrentUsage(service);
      // The oldest one, so that none that was sent is forgotten before its time.
      const oldest = repeats.map((count) => count > 0).lastIndexOf(true);
      if (oldest >= 0) repeats[oldest] = (repeats[oldest] ?? 0) - 1;
    },
  };
}

function sum(values: number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
